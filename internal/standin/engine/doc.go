// Package engine is the stand-in of a model engine: an OpenAI-compatible HTTP
// server before the scheduler of the package below. Its output is a function
// of model and prompt (package truth), so that a wrong, crossed or incomplete
// answer is seen at once. docs/operating/stand-ins.md describes the protocol.
//
// One goroutine (run) drives the scheduler in real time. A handler waits on its
// own stream, which the goroutine advances at the end of each step.
package engine
