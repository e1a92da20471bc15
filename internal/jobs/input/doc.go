// Package input checks the JSONL input of batch jobs line by line, in bounded
// memory: one chunk of lines and eight bytes of hash for each line.
package input
