package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-resty/resty/v2"

	"chutelock.dev/chutelock/internal/httpconn"
)

// Exit codes of the subcommands, besides exitUsage.
const (
	exitOK          = 0
	exitFailure     = 1 // the request failed, or its outcome is unknown
	exitRefused     = 3 // the server refused the request (4xx)
	exitUnavailable = 4 // the server was unreachable or responded not_run
	exitIncomplete  = 5 // the job ended with failed, expired or cancelled items
)

// Formats of the -o flag.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Environment variables with defaults of the connection flags.
const (
	environmentServer = "CHUTELOCK_SERVER"
	environmentKey    = "CHUTELOCK_KEY"
)

const (
	defaultServer  = "http://127.0.0.1:8080"
	requestTimeout = 60 * time.Second
)

// connection holds the flags for the server and the output format.
type connection struct {
	server string
	key    string
	output string
}

// register declares -server, -key and -o.
func (c *connection) register(flags *flag.FlagSet) {
	flags.StringVar(&c.server, "server", environmentOr(environmentServer, defaultServer), "base URL of any node")
	flags.StringVar(&c.key, "key", os.Getenv(environmentKey), "key of the caller; default $"+environmentKey)
	flags.StringVar(&c.output, "o", outputTable, "output format: table or json")
}

// parse parses the arguments and checks the output format; if ok is false, the
// subcommand must return code.
func (c *connection) parse(flags *flag.FlagSet, arguments []string) (code int, ok bool) {
	if err := flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK, false
		}
		return exitUsage, false
	}
	if c.output != outputTable && c.output != outputJSON {
		fmt.Fprintf(os.Stderr, "-o %q: want %s or %s\n", c.output, outputTable, outputJSON)
		return exitUsage, false
	}
	return exitOK, true
}

// client returns an HTTP client for the server that sends the key.
func (c *connection) client() *resty.Client {
	client := resty.New().SetTransport(httpconn.NewTransport()).SetBaseURL(c.server).SetTimeout(requestTimeout)
	if c.key != "" {
		client.SetAuthToken(c.key)
	}
	return client
}

// print writes value as JSON, or as a table with a header and rows.
func (c *connection) print(to io.Writer, value any, header string, rows []string) error {
	if c.output == outputJSON {
		encoder := json.NewEncoder(to)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(to, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, header)
	for _, row := range rows {
		fmt.Fprintln(table, row)
	}
	return table.Flush()
}

// errorBody is an error response in OpenAI's format.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Param   string `json:"param"`
	} `json:"error"`
}

// responseExitCode returns the exit code for a response, and writes a failure to
// standard error.
func responseExitCode(step string, response *resty.Response, err error) int {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", step, err)
		return exitUnavailable
	}
	if response.IsSuccess() {
		return exitOK
	}
	var body errorBody
	if json.Unmarshal(response.Body(), &body) != nil || body.Error.Message == "" {
		body.Error.Message = string(response.Body())
	}
	fmt.Fprintf(os.Stderr, "%s: %s: %s %s\n", step, response.Status(), body.Error.Code, body.Error.Message)
	switch {
	case body.Error.Code == "not_run":
		return exitUnavailable
	case response.StatusCode() < 500:
		return exitRefused
	default:
		return exitFailure
	}
}

func environmentOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}
