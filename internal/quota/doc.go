// Package quota keeps limits on tenants' requests that many nodes share.
//
// A front node counts the requests of each limited tenant that it lets through, in a
// window that slides, and reports the counts to the data node that its load reports
// go to. Data nodes that take reports send each other sums by zone, and each front
// node hears what all others let through. A Limiter (front node) decides by its own
// count and the others'; a Collector (data node) adds reports and shares up. Both are
// pure: messages and time in, decisions out.
//
// What the nodes know of each other is some tenths of a second old. So a Limiter
// expects others to let requests through meanwhile, as far as callers ask; and one
// that hears from nobody keeps to the part of the limit that was its own when it
// last heard. Counts outlive the node that reported them: they run out with the
// window, so that a restarted node brings no new allowance.
//
// See docs/design/014-tenants-and-limits.md.
package quota
