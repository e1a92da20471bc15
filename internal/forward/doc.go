// Package forward forwards a caller's request to an engine and the response to the caller.
//
// A Forwarder takes a Request, whose bytes it doesn't change, and its Route, runs the
// exchanges with engines and gives exactly one response to a Sink. Attempts decides after
// each exchange whether the request is retried at another engine.
//
// Invariants: a request that must not be repeated is sent again only after an exchange
// that did not run it; VerdictNotRun is given only if no engine may have run the request;
// a stream is resumed at another engine only after the previous connection is closed; only
// whole events are forwarded; an aborted response never looks complete. The package must
// not import adapters of external systems.
package forward
