// Command chutelock is the node: gateway, home of engines and, with a data
// folder, keeper of ledger replicas.
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
	exitSettings = 2 // the command line or the settings file is wrong
)

// dataNodeGCPercent keeps the collector close behind the store's compactions,
// whose buffers are most of what a data node allocates.
const dataNodeGCPercent = 50

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	hangups := takeHangups()
	flags := flag.NewFlagSet("chutelock", flag.ContinueOnError)
	klog.InitFlags(flags)
	path := flags.String("config", "", "settings `file` (see docs/OPERATING.md)")
	checkOnly := flags.Bool("check", false, "check the settings, say what is in force, and exit")
	readyFile := flags.String("ready-file", "", "`file` to which the addresses are written as JSON once the node is ready")
	overrides := config.RegisterFlags(flags)
	if err := flags.Parse(arguments); err != nil {
		return exitSettings
	}
	settings, err := config.Load(*path, overrides)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chutelock:", err)
		return exitSettings
	}
	if *checkOnly {
		config.Describe(os.Stdout, settings)
		return exitOK
	}
	output := telemetry.NewOutput(os.Stdout)
	telemetry.LogJSON(output)
	defer output.Close()
	if err := serve(settings, hangups, *readyFile, func() (*config.Node, error) { return config.Load(*path, overrides) }); err != nil {
		fmt.Fprintln(os.Stderr, "chutelock:", err)
		return exitFailure
	}
	return exitOK
}

// serve runs the node until SIGTERM or SIGINT, then drains it. A second
// signal ends the process at once.
func serve(settings *config.Node, hangups <-chan os.Signal, readyFile string, load func() (*config.Node, error)) error {
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	debug.SetMemoryLimit(settings.Memory.SoftBytes())
	if settings.Data.Folder != "" {
		debug.SetGCPercent(dataNodeGCPercent)
	}
	if settings.Platform.Dialect == config.DialectObjects {
		return serveObjects(signals, hangups, settings, load)
	}
	running, err := node.Open(settings)
	if err != nil {
		return err
	}
	running.Start()
	if err := running.WaitReady(signals); err == nil && readyFile != "" {
		if err := node.WriteReadyFile(readyFile, running.Addresses()); err != nil {
			running.Close()
			return err
		}
	}
	<-signals.Done()
	stop()
	bounded, cancel := context.WithTimeout(context.Background(), settings.Drain.Timeout)
	defer cancel()
	running.Drain(bounded)
	return nil
}
