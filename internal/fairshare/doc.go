// Package fairshare divides room among tenants that ask for more than there is.
//
// A tenant that asks for no more than its share gets all it asks for, and what it leaves is
// divided among the others (max-min fairness). Shares are proportional to weights. The package
// is free of I/O and clocks.
//
// MaxMin divides any amount once. A Gate divides the rate of the engines among tenants of online
// requests: for each one that its tenant's limit admits, its owner calls Count, Update if the last
// one is older than UpdateInterval, and Decide, before an engine is sought.
//
// See docs/design/028-shares-of-tenants.md.
package fairshare
