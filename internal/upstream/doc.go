// Package upstream keeps connections to model engines and exchanges requests on them over
// HTTP/1.1.
//
// An exchange returns either the response to its request, or an error whose Fate tells
// whether the engine may have run the request. A late response to another request is
// recognized by its identifier and skipped, and a connection with unread bytes is not
// reused.
//
// A Dialect defines the headers; this package knows only framing, connections and time. It
// doesn't retry.
package upstream
