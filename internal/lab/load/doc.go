// Package load sends open-loop traffic to servers of the OpenAI HTTP API and
// measures latencies and outcomes on the client side.
//
// Requests are sent at their scheduled arrival, however many are in flight, and
// latencies count from the scheduled arrival, which avoids coordinated omission.
package load
