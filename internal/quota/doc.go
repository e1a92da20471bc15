// Package quota enforces per-tenant request limits across many nodes.
//
// Each front node counts the requests it admits per tenant, in a sliding window, and
// reports the counts to its relay: the data node that also takes its load reports.
// Relays exchange the sums of their zones and answer each report with the counts of
// all other front nodes. A Limiter runs on a front node and decides from its own and
// the others' counts; a Collector runs on a data node and aggregates reports and shares.
// Both are free of I/O and clocks: messages and times are passed in, decisions returned.
//
// Nodes know each other's counts with a delay of some tenths of a second. A Limiter
// therefore allows for requests that others admit in the meantime, in proportion to the
// demand; an isolated one keeps to its own part of the limit as of its last contact.
// Counts outlive the node that reported them and expire with the window, so that a
// restarted node gains no new allowance.
//
// See docs/design/014-tenants-and-limits.md.
package quota
