// Package online admits online requests to the engines' slots: per-tenant
// rate and concurrency limits, and one bounded priority queue for each service.
//
// Controller is the decision logic: it takes tickets and time and returns
// verdicts, without I/O, clock or goroutine. Gate runs it for HTTP handlers.
//
// Invariants:
//
//   - every submitted ticket gets exactly one verdict, unless it is abandoned;
//   - tickets admitted and not yet finished never exceed the service's
//     capacity at the time of admission, nor the tenant's MaxConcurrent;
//   - a waiting ticket of a better priority is admitted before one of a worse;
//     within a priority the order is that of arrival;
//   - a ticket that can't be served in its time is refused as soon as that is
//     known, with the time at which to come back, and never held until its
//     deadline.
package online
