// Package scheduler simulates the scheduler of an inference engine with continuous
// batching. It is a deterministic state machine without clock, goroutines or I/O:
// the caller calls Step for each engine step, waits for the step's duration in real
// or virtual time, and delivers the tokens that the step emitted.
//
// A step processes running and waiting sequences in order of priority (lower value
// first) and then of submission. Each uses as much of the remaining token budget as
// it can: one token in decode, a chunk of its context in prefill. A sequence whose
// whole context has been computed emits one token at the end of the step.
//
// KV memory is counted in blocks. Full prompt blocks stay in a prefix cache after
// use and are evicted in LRU order. If that does not free enough blocks, suspended
// sequences lose theirs, the longest suspended first. After that, the last running
// sequence in scheduling order is preempted: it loses its blocks, keeps its place in
// the order, and is prefilled again later without repeating emitted tokens.
//
// A Scheduler is not safe for concurrent use.
package scheduler
