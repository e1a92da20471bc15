// Package relay tracks a caller's request across its attempts: it decides which
// tokens reach the caller, whether to retry after a failed attempt, and which
// final response the caller gets.
//
// It performs no I/O: the caller of the package starts attempts, reports their
// tokens and results, and acts on the values returned. A Call is not safe for
// concurrent use and has to be guarded by a lock.
//
// Invariants:
//
//   - each token is delivered at most once and in order of index, whichever
//     attempt produced it;
//   - only a live attempt that owns the call delivers tokens: the first to
//     produce a new token becomes the owner, and the others must be cancelled;
//   - a call that is not repeatable is retried only if all earlier attempts
//     certainly did not run;
//   - there is exactly one final response, and it reports "not run" only if every
//     attempt certainly did not run.
package relay
