package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/settings/operator"
	"chutelock.dev/chutelock/internal/settings/tree"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{Name: "get", Summary: "show nodes of the settings tree as they are set", Run: runGet})
}

const getUsage = `usage: chutelockctl get [flags] [PATH]

Shows a node as it is set in the tree, without what it inherits; -r shows all
below it as well, and no PATH the whole tree. -yaml prints documents to edit
and give to apply; their revision guards against racing another operator.
Keys are shown hashed. See explain for effective values.

  chutelockctl get -r -yaml fleet/iceland > iceland.yaml`

func runGet(arguments []string) int {
	flags := flag.NewFlagSet("get", flag.ContinueOnError)
	var conn connection
	conn.register(flags)
	recursive := flags.Bool("r", false, "show all below the path as well")
	asYAML := flags.Bool("yaml", false, "print YAML documents for apply")
	setUsage(flags, getUsage)
	if code, ok := conn.parse(flags, arguments); !ok {
		return code
	}
	if flags.NArg() > 1 {
		fmt.Fprintln(os.Stderr, "get: name at most one path; `chutelockctl get -h` explains")
		return exitUsage
	}
	request := conn.client().R().SetQueryParam("path", flags.Arg(0))
	if *recursive || flags.Arg(0) == "" {
		request.SetQueryParam("recursive", "1")
	}
	var list operator.NodesAnswer
	response, err := request.SetResult(&list).Get(operator.PathNodes)
	if err != nil || !response.IsSuccess() {
		return settingsFailure(response, err, "")
	}
	if err := printNodes(&conn, &list, *asYAML); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

func printNodes(conn *connection, list *operator.NodesAnswer, asYAML bool) error {
	if !asYAML {
		return conn.print(os.Stdout, list, "PATH\tREVISION\tSETS", nodeRows(list))
	}
	for _, body := range list.Nodes {
		text, err := tree.FormatYAML(body.Path, body.Revision, body.Spec)
		if err != nil {
			return err
		}
		fmt.Printf("%s---\n", text)
	}
	return nil
}

// nodeRows lists the fields that each node sets, without its change metadata.
func nodeRows(list *operator.NodesAnswer) []string {
	var rows []string
	for _, body := range list.Nodes {
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(body.Spec, &fields); err != nil {
			fields = map[string]json.RawMessage{"unreadable": body.Spec}
		}
		delete(fields, "change")
		delete(fields, "deleted")
		text, err := json.Marshal(fields)
		if err != nil {
			text = body.Spec
		}
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s", body.Path, body.Revision, strings.Trim(string(text), "{}")))
	}
	return rows
}
