// Package engine simulates a model engine: an OpenAI-compatible HTTP server on
// top of package scheduler. Its output is a function of model and prompt (see
// package truth), so tests detect wrong, mixed-up or incomplete responses.
// docs/operating/stand-ins.md describes the protocol.
//
// One goroutine (Server.Run) drives the scheduler in real time. Each handler
// waits on its own stream, which that goroutine advances after each step.
package engine
