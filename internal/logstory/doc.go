// Package logstory collects the log lines of several processes that concern one
// request, item or batch job, and summarizes logs by intervals.
//
// It reads the JSON lines that package telemetry writes, with or without a
// prefix that names the process. The lines of a request come in order of time
// with their context: the last known state of their process before, and recent
// events of the engines involved.
package logstory
