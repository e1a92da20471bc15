// Package dispatch runs the items of batch jobs on the engines that this node
// is home of.
//
// scheduler is the decision logic, without I/O, clock or goroutine: it takes
// events and the time and returns actions. It asks a batch.Policy how much
// each engine may run, and decides which item runs, when to lease more, and
// what becomes of an attempt that ended. Dispatcher is the shell around it.
//
// Rules that scheduler keeps:
//
//   - An item starts only while its job's leases were renewed within the last
//     command.StartValidity, so that a node that is cut off stops by itself.
//   - A non-repeatable item is sent once, after its start was committed; it is
//     neither suspended nor moved.
//   - When a job is revoked, its streams are cancelled at once.
package dispatch
