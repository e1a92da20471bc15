// Package online admits online requests to the engines' slots: per-tenant
// rate and concurrency limits, and one bounded priority queue for each service.
//
// Controller decides: it takes tickets and the time and returns verdicts, without
// I/O, clocks or goroutines. Gate runs it for concurrent HTTP handlers.
//
// Invariants:
//
//   - every submitted ticket gets exactly one verdict, unless it is abandoned;
//   - a ticket is admitted only if those in flight are fewer than the service's
//     capacity and the tenant's MaxConcurrent;
//   - waiting tickets are admitted by priority, and within a priority in order
//     of arrival;
//   - a ticket that isn't expected to be admitted in time is refused as soon as
//     this is known, with a RetryAfter, and not held until its deadline.
package online
