// Package objecthttp is the platform.Store, platform.Leases and
// platform.Machines for a platform that speaks HTTP with JSON in the
// Kubernetes API conventions, as docs/operating/stand-ins.md describes it.
//
// No call is repeated here: an error other than the named ones leaves open
// whether the call took effect, and only the caller can tell whether trying
// again is safe.
package objecthttp
