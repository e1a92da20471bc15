// Package upstream keeps connections to model engines and exchanges requests
// on them over HTTP/1.1.
//
// An exchange either yields an answer that belongs to the request, or an error
// whose Fate says what is known: nothing was sent, or the engine may have run
// the request. Bytes that belong to another request never become an answer: a
// late surplus answer is recognised by its identifier and skipped, and a
// connection with anything unread is not used again.
//
// Names of headers and their meaning come from a Dialect; this package knows
// framing, connections and time only. It decides nothing about retries.
package upstream
