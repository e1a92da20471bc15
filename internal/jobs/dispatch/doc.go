// Package dispatch runs the items of batch jobs on the engines whose home is
// this node.
//
// scheduler makes the decisions, without I/O, clock or goroutines: it takes
// events with their time and returns actions. A batch.Policy sets how much each
// engine may run; scheduler selects the items, requests leases and handles the
// outcome of attempts. Dispatcher executes the actions.
//
// Invariants of scheduler:
//
//   - An item starts only while its job's leases were renewed within the last
//     command.StartValidity, so that a partitioned node stops starting items.
//   - A non-repeatable item is sent once, after its start was committed; it is
//     neither suspended nor moved.
//   - When a job is revoked, its streams are cancelled immediately.
package dispatch
