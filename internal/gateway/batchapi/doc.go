// Package batchapi serves OpenAI's HTTP API of files and batches. It checks
// and translates; the work is done by packages jobs/command and jobs/query.
package batchapi
