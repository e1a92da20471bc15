// Package logstory tells the story of one request, item or batch job from the
// log lines of several processes.
//
// In: JSON lines as package telemetry writes them, with or without a prefix
// that names the process. Out: the lines that name the identifier, in order of
// time, and beside them what their process believed: the configuration and the
// engines before, and what happened to the engines that took part. Pure but
// for reading its inputs.
package logstory
