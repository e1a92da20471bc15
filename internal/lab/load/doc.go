// Package load drives real processes that speak OpenAI's HTTP API with
// open-loop traffic and measures what callers see.
//
// Open loop: a request is sent at its scheduled arrival whether or not earlier
// ones have been answered, and latencies count from the scheduled arrival, so
// that a slow server can't slow its own measurement down.
package load
