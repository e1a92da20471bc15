package main

import (
	"fmt"
	"os"
	"time"

	"github.com/go-resty/resty/v2"
)

// Paths of the batch API.
const (
	pathFiles   = "/v1/files"
	pathBatches = "/v1/batches"
)

// batchObject holds the fields of an OpenAI batch that are shown.
type batchObject struct {
	ID               string            `json:"id"`
	Status           string            `json:"status"`
	Endpoint         string            `json:"endpoint"`
	Model            string            `json:"model"`
	InputFileID      string            `json:"input_file_id"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CompletionWindow string            `json:"completion_window"`
	CreatedAt        int64             `json:"created_at"`
	ExpiresAt        int64             `json:"expires_at"`
	RequestCounts    batchCounts       `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type batchCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// final reports whether the status can't change any more.
func (b *batchObject) final() bool { return b.Status != "in_progress" && b.Status != "validating" }

// exitCode returns the exit code for a final batch.
func (b *batchObject) exitCode() int {
	if b.RequestCounts.Completed == b.RequestCounts.Total {
		return exitOK
	}
	return exitIncomplete
}

const batchHeader = "BATCH\tSTATUS\tMODEL\tTOTAL\tDONE\tFAILED\tCREATED\tDEADLINE"

func (b *batchObject) row() string {
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s", b.ID, b.Status, b.Model, b.RequestCounts.Total,
		b.RequestCounts.Completed, b.RequestCounts.Failed, clockTime(b.CreatedAt), clockTime(b.ExpiresAt))
}

func clockTime(seconds int64) string {
	return time.Unix(seconds, 0).UTC().Format(time.RFC3339)
}

// printBatches writes batches as a table, or value as JSON, to standard output.
func printBatches(conn *connection, value any, batches ...batchObject) int {
	rows := make([]string, 0, len(batches))
	for i := range batches {
		rows = append(rows, batches[i].row())
	}
	if err := conn.print(os.Stdout, value, batchHeader, rows); err != nil {
		fmt.Fprintf(os.Stderr, "print: %v\n", err)
		return exitFailure
	}
	return exitOK
}

// getBatch reads a batch; the code is exitOK on success.
func getBatch(client *resty.Client, id string) (batchObject, int) {
	var found batchObject
	response, err := client.R().SetResult(&found).SetPathParam("id", id).Get(pathBatches + "/{id}")
	return found, responseExitCode("get batch "+id, response, err)
}

const (
	minPollInterval = 200 * time.Millisecond
	maxPollInterval = 5 * time.Second
)

// waitForBatch polls a batch until it is final or the timeout passes, and shows
// progress on standard error. It keeps polling while the server is unavailable.
func waitForBatch(client *resty.Client, id string, timeout time.Duration) (batchObject, int) {
	deadline := time.Now().Add(timeout)
	shown := ""
	for interval := minPollInterval; ; interval = min(interval*3/2, maxPollInterval) {
		found, code := getBatch(client, id)
		if code != exitOK && code != exitUnavailable {
			return found, code
		}
		if code == exitOK {
			shown = showProgress(&found, shown)
		}
		if code == exitOK && found.final() {
			return found, found.exitCode()
		}
		if time.Now().After(deadline) {
			fmt.Fprintf(os.Stderr, "%s is not final after %s\n", id, timeout)
			return found, exitFailure
		}
		time.Sleep(interval)
	}
}

// showProgress writes a progress line if it differs from shown, and returns it.
func showProgress(found *batchObject, shown string) string {
	counts := found.RequestCounts
	progress := fmt.Sprintf("%s: %s, %d of %d done, %d failed", found.ID, found.Status, counts.Completed, counts.Total,
		counts.Failed)
	if progress != shown {
		fmt.Fprintln(os.Stderr, progress)
	}
	return progress
}

// progressReader reads a file and reports progress every progressInterval.
type progressReader struct {
	file      *os.File
	size      int64
	read      int64
	lastShown time.Time
}

const progressInterval = time.Second

// Read implements io.Reader.
func (p *progressReader) Read(into []byte) (int, error) {
	count, err := p.file.Read(into)
	p.read += int64(count)
	if time.Since(p.lastShown) >= progressInterval {
		p.lastShown = time.Now()
		fmt.Fprintf(os.Stderr, "uploaded %d of %d bytes\n", p.read, p.size)
	}
	return count, err
}
