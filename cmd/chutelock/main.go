// Command chutelock runs a node, which serves requests, tracks engines and,
// with a data folder, stores ledger replicas.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"k8s.io/klog/v2"

	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/node"
	"chutelock.dev/chutelock/internal/telemetry"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1 // the node could not start
	exitSettings = 2 // the command line or the settings file is invalid
)

// dataNodeGCPercent limits heap growth from the store's compaction buffers,
// which are most of what a data node allocates.
const dataNodeGCPercent = 50

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	hangups := notifyHangups()
	flags := flag.NewFlagSet("chutelock", flag.ContinueOnError)
	klog.InitFlags(flags)
	settingsFile := flags.String("config", "", "settings `file` (see docs/OPERATING.md)")
	checkOnly := flags.Bool("check", false, "check the settings, say what is in force, and exit")
	readyFile := flags.String("ready-file", "", "`file` to which the addresses are written as JSON once the node is ready")
	overrides := config.RegisterFlags(flags)
	if err := flags.Parse(arguments); err != nil {
		return exitSettings
	}
	settings, err := config.Load(*settingsFile, overrides)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chutelock:", err)
		return exitSettings
	}
	if *checkOnly {
		config.Describe(os.Stdout, settings)
		return exitOK
	}
	output := telemetry.NewOutput(os.Stdout)
	telemetry.SetJSONLogger(output)
	defer output.Close()
	if err := serve(settings, hangups, *readyFile, func() (*config.Node, error) { return config.Load(*settingsFile, overrides) }); err != nil {
		fmt.Fprintln(os.Stderr, "chutelock:", err)
		return exitFailure
	}
	return exitOK
}

// serve runs the node until SIGTERM or SIGINT, then drains it. Unless the
// platform stores objects, a second signal ends the process at once.
func serve(settings *config.Node, hangups <-chan os.Signal, readyFile string, load func() (*config.Node, error)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	debug.SetMemoryLimit(settings.Memory.SoftBytes())
	if settings.Data.Folder != "" {
		debug.SetGCPercent(dataNodeGCPercent)
	}
	if settings.Platform.Dialect == config.DialectObjects {
		return serveObjects(ctx, hangups, settings, load)
	}
	n, err := node.Open(settings)
	if err != nil {
		return err
	}
	n.Start()
	if err := n.WaitReady(ctx); err == nil && readyFile != "" {
		if err := node.WriteReadyFile(readyFile, n.Addresses()); err != nil {
			n.Close()
			return err
		}
	}
	<-ctx.Done()
	stop()
	drainCtx, cancel := context.WithTimeout(context.Background(), settings.Drain.Timeout)
	defer cancel()
	n.Drain(drainCtx)
	return nil
}
