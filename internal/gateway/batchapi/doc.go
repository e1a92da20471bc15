// Package batchapi serves OpenAI's HTTP API for files and batches. It validates
// and converts requests, which packages jobs/command and jobs/query carry out.
package batchapi
