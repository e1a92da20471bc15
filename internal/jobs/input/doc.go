// Package input validates the JSONL input of batch jobs line by line. Memory is
// bounded by one chunk of lines and an eight-byte hash per line.
package input
