// Package relay decides what happens to one caller's request over its
// attempts: which chunks reach the caller, whether a failed attempt may be
// followed by another, and what the final answer says.
//
// It is pure: the shell starts attempts, feeds chunks and endings with the
// attempt's number, and does what is returned. A Call is not safe for
// concurrent use; the shell holds its lock.
//
// Invariants:
//
//   - a token is delivered at most once and in order of its index, whichever
//     attempt it came from;
//   - only an attempt that is live and owns the call delivers: the first to
//     bring a new token becomes the owner, and the others are to be cancelled;
//   - a call that is not repeatable has a second attempt only when all earlier
//     ones certainly did not run;
//   - exactly one final answer is given, and it says "not run" only when every
//     attempt certainly did not run.
package relay
