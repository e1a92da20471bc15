// Package scheduler models how a continuously batching model engine runs
// sequences. It is a pure state machine: the caller gives the time, calls Step
// for each engine step, waits for the step's duration (in real or virtual
// time), and hands on the tokens that the step emitted. Nothing here reads a
// clock, starts a goroutine or does I/O, and the same calls always give the
// same results.
//
// One step walks the running and the waiting sequences together in order of
// priority (lower value first) and then of submission. Each gets as much of
// the step's token budget as it can use: one token when it is decoding, a
// chunk of its context while it is being prefilled. A sequence whose whole
// context has been computed emits one token at the end of the step.
//
// KV memory is counted in blocks. Full blocks of a prompt are kept in a prefix
// cache after use and evicted least recently used first; then suspended
// sequences lose their blocks, oldest first. When memory is still short, a
// running sequence that comes later in the order is preempted: it loses its
// blocks, keeps its place in the order, and is prefilled again later. No
// sequence ever loses or repeats an emitted token.
//
// A Scheduler is not safe for concurrent use.
package scheduler
