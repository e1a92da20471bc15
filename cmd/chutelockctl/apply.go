package main

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"

	"github.com/google/uuid"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/settings/command"
	"chutelock.dev/chutelock/internal/settings/operator"
	"chutelock.dev/chutelock/internal/settings/tree"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{Name: "apply", Summary: "write settings from YAML files", Run: runApply})
}

const applyUsage = `usage: chutelockctl apply -f FILE-OR-FOLDER [-f ...] [-dry-run] [-wait]

Writes nodes of the settings tree. Each YAML document is one node:

  path: fleet/ulaanbaatar/placement/drafting/caseworkers
  kind: tenant                # folder, service or tenant
  keys: [secret-key]          # hashed before it leaves this machine
  priority: 0                 # fields that are left out inherit

A document replaces the whole node: to make a field inherit again, leave it
out. With "revision: N", as ` + "`chutelockctl get -yaml`" + ` prints it, the node is written
only if nobody else changed it since. The whole is checked before any node is
written, and every problem is named. -server is a node's operator address.

  chutelockctl apply -f examples/nairamdal/settings -dry-run
  chutelockctl apply -f examples/nairamdal/settings -wait

-recover-store writes what is in force to a store that had gone back (an old
copy was restored), and makes all nodes take the store's word again.`

// fileList is a repeatable flag.
type fileList []string

// String implements flag.Value.
func (l *fileList) String() string { return fmt.Sprint(*l) }

// Set implements flag.Value.
func (l *fileList) Set(value string) error {
	*l = append(*l, value)
	return nil
}

func runApply(arguments []string) int {
	flags := flag.NewFlagSet("apply", flag.ContinueOnError)
	var change changeFlags
	var files fileList
	change.register(flags)
	flags.Var(&files, "f", "YAML `file`, or folder of files; may be repeated")
	recover := flags.Bool("recover-store", false, "write what is in force to a store that went back")
	setUsage(flags, applyUsage)
	if code, ok := change.parse(flags, arguments); !ok {
		return code
	}
	if *recover {
		return change.recover()
	}
	if len(files) == 0 || flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "apply: give the files with -f; `chutelockctl apply -h` explains")
		return exitUsage
	}
	nodes, code := readNodes(files)
	if code != exitOK {
		return code
	}
	return change.apply(operator.ApplyRequest{Nodes: nodes})
}

// readNodes reads and validates the nodes of all files; the code is exitOK on success.
func readNodes(files []string) ([]operator.NodeBody, int) {
	var bodies []operator.NodeBody
	for _, file := range files {
		nodes, problems, err := tree.ReadFolder(file)
		if errors.Is(err, fs.ErrNotExist) {
			fmt.Fprintf(os.Stderr, "%s: no such file or folder\n", file)
			return nil, exitUsage
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return nil, exitUsage
		}
		if len(problems) > 0 {
			fmt.Fprintln(os.Stderr, &tree.InvalidError{Problems: problems})
			return nil, exitRefused
		}
		for _, node := range nodes {
			spec, err := tree.Encode(node)
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				return nil, exitUsage
			}
			bodies = append(bodies, operator.NodeBody{Path: node.Path, Revision: node.Revision, Spec: spec})
		}
	}
	return bodies, exitOK
}

func (c *changeFlags) recover() int {
	if c.id == "" {
		c.id = uuid.NewString()
	}
	var recovery command.Recovery
	if code := c.send(operator.PathRecover, operator.RecoverRequest{ID: c.id, By: c.by}, &recovery); code != exitOK {
		return code
	}
	rows := []string{fmt.Sprintf("%d\t%d\t%d", recovery.Epoch, len(recovery.Written), len(recovery.Removed))}
	if err := c.print(os.Stdout, recovery, "EPOCH\tWRITTEN AGAIN\tREMOVED", rows); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}
