package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"chutelock.dev/chutelock/internal/commandline"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{Name: "results", Summary: "write the results of a batch job", Run: runResults})
}

func runResults(arguments []string) int {
	var conn connection
	flags := flag.NewFlagSet("results", flag.ContinueOnError)
	conn.register(flags)
	errorsOnly := flags.Bool("errors", false, "write the error file: items that failed, expired or were cancelled")
	target := flags.String("f", "", "file to write; default standard output")
	if code, ok := conn.parse(flags, arguments); !ok {
		return code
	}
	if flags.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "usage: chutelockctl results [flags] JOB")
		return exitUsage
	}
	found, code := getBatch(conn.client(), flags.Arg(0))
	if code != exitOK {
		return code
	}
	if !found.final() {
		fmt.Fprintf(os.Stderr, "%s is %s: these are the results so far\n", found.ID, found.Status)
	}
	fileID := found.OutputFileID
	if *errorsOnly {
		fileID = found.ErrorFileID
	}
	if fileID == "" {
		fmt.Fprintln(os.Stderr, "there are none")
		return exitOK
	}
	return download(&conn, fileID, *target)
}

// download writes a file's content to standard output or, atomically, to target.
func download(conn *connection, fileID, target string) int {
	client := conn.client().SetTimeout(uploadTimeout)
	response, err := client.R().SetDoNotParseResponse(true).SetPathParam("id", fileID).Get(pathFiles + "/{id}/content")
	if err != nil {
		return responseExitCode("read results", response, err)
	}
	content := response.RawBody()
	defer func() { _ = content.Close() }()
	if response.IsError() {
		body, _ := io.ReadAll(io.LimitReader(content, maxErrorBody))
		fmt.Fprintf(os.Stderr, "read results: %s: %s\n", response.Status(), body)
		return exitRefused
	}
	if target == "" {
		_, err = io.Copy(os.Stdout, content)
	} else {
		err = writeAtomically(target, content)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "read results: %v\n", err)
		return exitFailure
	}
	return exitOK
}

// maxErrorBody is the maximum length of an error that is shown, in bytes.
const maxErrorBody = 4 << 10

// writeAtomically creates or replaces target only after all content is read.
func writeAtomically(target string, content io.Reader) error {
	temporary, err := os.CreateTemp(filepath.Dir(target), ".results-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // fails harmlessly after the rename
	if _, err := io.Copy(temporary, content); err != nil {
		_ = temporary.Close()
		return err
	}
	if err := temporary.Close(); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), target)
}
