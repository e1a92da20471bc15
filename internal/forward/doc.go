// Package forward takes one caller's request to an engine and its answer back.
//
// In: a Request whose bytes stay untouched, typed facts beside it, its Route,
// and a Sink for the answer. Out: exactly one answer at the Sink. Attempts
// (pure) decides after each exchange with an engine whether the request may
// and should go to another; Forwarder runs the exchanges.
//
// Invariants: a request that may run only once is sent again only after an
// exchange that certainly did not run it; NotRun is answered only if none may
// have run it; a stream is continued elsewhere only after the former
// connection is closed; whole events only are passed on; a broken answer never
// looks complete. The package must not import any adapter of an outside system.
package forward
