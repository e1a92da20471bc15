package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"chutelock.dev/chutelock/internal/standin/process"
)

// standinFlags holds the flags that both stand-ins have.
type standinFlags struct {
	set       *flag.FlagSet
	config    string
	readyFile string
	name      string
	listen    string
	control   string
	truthLog  string
}

func newStandinFlags(subcommand string) *standinFlags {
	flags := &standinFlags{set: flag.NewFlagSet(subcommand, flag.ContinueOnError)}
	flags.set.StringVar(&flags.config, "config", "", "settings `file` in YAML; without one the defaults hold")
	flags.set.StringVar(&flags.readyFile, "ready-file", "", "`file` that gets the addresses as JSON once the stand-in serves")
	flags.set.StringVar(&flags.name, "name", "", "name, over the settings file")
	flags.set.StringVar(&flags.listen, "listen", "", "`address` of the protocol, over the settings file; port 0 takes a free one")
	flags.set.StringVar(&flags.control, "control", "", "`address` of the control endpoint, over the settings file")
	flags.set.StringVar(&flags.truthLog, "truth-log", "", "`file` to which what really happened is appended as JSON lines")
	return flags
}

// override sets target to a flag's value, if the flag is set.
func override(target *string, flagValue string) {
	if flagValue != "" {
		*target = flagValue
	}
}

// parse parses the command line. If done is true, the program exits with code.
func (f *standinFlags) parse(arguments []string) (code int, done bool) {
	err := f.set.Parse(arguments)
	switch {
	case err == flag.ErrHelp:
		return exitOK, true
	case err != nil:
		return exitUsage, true
	case f.set.NArg() > 0:
		fmt.Fprintf(os.Stderr, "%s: unexpected argument %q\n", f.set.Name(), f.set.Arg(0))
		return exitUsage, true
	}
	return exitOK, false
}

func (f *standinFlags) fail(err error) int {
	fmt.Fprintf(os.Stderr, "chutelock-lab %s: %v\n", f.set.Name(), err)
	return exitFailure
}

// stopContext returns a context that ends at SIGTERM or SIGINT. It must be called
// before the ready file is written, since a signal may follow at once.
func stopContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// waitStopped waits until stopped is done, or returns the error that ended serving.
func waitStopped(stopped context.Context, host *process.Host) error {
	select {
	case <-stopped.Done():
		return nil
	case err := <-host.Failed():
		return err
	}
}
