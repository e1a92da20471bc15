package main

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-resty/resty/v2"

	"chutelock.dev/chutelock/internal/commandline"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{Name: "submit", Summary: "submit a JSONL file as a batch job", Run: runSubmit})
}

// submitOptions holds the flags of submit.
type submitOptions struct {
	connection
	window         string
	deadline       string
	idempotencyKey string
	endpoint       string
	notRepeatable  bool
	wait           bool
	waitTimeout    time.Duration
	metadata       metadataFlag
}

// metadataFlag is a repeatable NAME=VALUE flag.
type metadataFlag map[string]string

// String implements flag.Value.
func (m metadataFlag) String() string { return "" }

// Set implements flag.Value.
func (m metadataFlag) Set(text string) error {
	name, value, found := strings.Cut(text, "=")
	if !found || name == "" {
		return errors.New("want NAME=VALUE")
	}
	m[name] = value
	return nil
}

const (
	defaultWindow      = "24h"
	defaultWaitTimeout = 24 * time.Hour
	uploadTimeout      = 30 * time.Minute
	// maxSubmitAttempts bounds the attempts of an upload or a submission; the
	// idempotency key keeps a retry from creating a second job.
	maxSubmitAttempts = 8
	minRetryDelay     = 500 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
)

func runSubmit(arguments []string) int {
	options := submitOptions{metadata: metadataFlag{}}
	flags := flag.NewFlagSet("submit", flag.ContinueOnError)
	options.connection.register(flags)
	flags.StringVar(&options.window, "window", defaultWindow, "time to complete, such as 24h, 90m or 7d")
	flags.StringVar(&options.deadline, "deadline", "", "deadline as in RFC 3339; goes before -window")
	flags.StringVar(&options.idempotencyKey, "idempotency-key", "", "key that makes a resend the same job; default a fresh one")
	flags.StringVar(&options.endpoint, "endpoint", "", "path of the items; default that of the first line")
	flags.BoolVar(&options.notRepeatable, "not-repeatable", false, "send each item to an engine at most once")
	flags.BoolVar(&options.wait, "wait", false, "wait until the job is final, and show its progress")
	flags.DurationVar(&options.waitTimeout, "wait-timeout", defaultWaitTimeout, "longest wait with -wait")
	flags.Var(options.metadata, "metadata", "NAME=VALUE to keep with the job; may be repeated")
	if code, ok := options.connection.parse(flags, arguments); !ok {
		return code
	}
	if flags.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: chutelockctl submit [flags] FILE.jsonl")
		return exitUsage
	}
	return options.run(flags.Arg(0))
}

func (o *submitOptions) run(path string) int {
	if o.idempotencyKey == "" {
		o.idempotencyKey = rand.Text()
	}
	if o.endpoint == "" {
		var err error
		if o.endpoint, err = firstItemURL(path); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, err)
			return exitFailure
		}
	}
	client := o.client()
	fileID, code := o.upload(client, path)
	if code != exitOK {
		return code
	}
	batch, code := o.submit(client, fileID)
	if code != exitOK {
		return code
	}
	if !o.wait {
		return printBatches(&o.connection, batch, batch)
	}
	batch, code = waitForBatch(client, batch.ID, o.waitTimeout)
	if printed := printBatches(&o.connection, batch, batch); printed != exitOK {
		return printed
	}
	return code
}

// firstItemURL returns the url field of a file's first item.
func firstItemURL(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	var line struct {
		URL string `json:"url"`
	}
	if err := json.NewDecoder(file).Decode(&line); err != nil {
		return "", fmt.Errorf("line 1: %w", err)
	}
	if line.URL == "" {
		return "", errors.New("line 1: url: is missing")
	}
	return line.URL, nil
}

// upload stores the file. Retries are safe because files without a job are
// removed after a while.
func (o *submitOptions) upload(client *resty.Client, path string) (fileID string, code int) {
	for attempt := 1; ; attempt++ {
		fileID, code = uploadOnce(client, path)
		if code != exitUnavailable || attempt == maxSubmitAttempts {
			return fileID, code
		}
		time.Sleep(retryDelay(attempt))
	}
}

func retryDelay(attempt int) time.Duration {
	return min(minRetryDelay<<(attempt-1), maxRetryDelay)
}

func uploadOnce(client *resty.Client, path string) (fileID string, code int) {
	file, err := os.Open(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v\n", err)
		return "", exitFailure
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v\n", err)
		return "", exitFailure
	}
	var stored struct {
		ID string `json:"id"`
	}
	uploadClient := resty.NewWithClient(client.GetClient()).SetBaseURL(client.BaseURL).SetAuthToken(client.Token).
		SetTimeout(uploadTimeout)
	reader := &progressReader{file: file, size: info.Size(), lastShown: time.Now()}
	response, err := uploadClient.R().SetResult(&stored).
		SetMultipartFormData(map[string]string{"purpose": "batch"}).
		SetFileReader("file", filepath.Base(path), reader).
		Post(pathFiles)
	return stored.ID, responseExitCode("upload", response, err)
}

// submit creates the batch, and retries with the same key unless the server
// refuses it.
func (o *submitOptions) submit(client *resty.Client, fileID string) (batchObject, int) {
	body := map[string]any{"input_file_id": fileID, "endpoint": o.endpoint, "completion_window": o.window}
	if o.deadline != "" {
		o.metadata["deadline"] = o.deadline
	}
	if len(o.metadata) > 0 {
		body["metadata"] = o.metadata
	}
	var created batchObject
	code := exitFailure
	for attempt := 1; attempt <= maxSubmitAttempts; attempt++ {
		request := client.R().SetResult(&created).SetBody(body).SetHeader("Idempotency-Key", o.idempotencyKey)
		if o.notRepeatable {
			request.SetHeader("Chutelock-Repeatable", "false")
		}
		response, err := request.Post(pathBatches)
		code = responseExitCode("submit", response, err)
		if code == exitOK || code == exitRefused {
			return created, code
		}
		time.Sleep(retryDelay(attempt))
	}
	fmt.Fprintf(os.Stderr, "it is not known whether the job was accepted; submit again with -idempotency-key %s\n", o.idempotencyKey)
	return created, code
}
