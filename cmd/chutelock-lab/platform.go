package main

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/standin/platform"
	"chutelock.dev/chutelock/internal/standin/process"
	"chutelock.dev/chutelock/internal/standin/truth"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{
		Name:    "platform",
		Summary: "run the stand-in of the platform's services",
		Run:     runPlatform,
	})
}

// platformShutdownTimeout bounds a shutdown; open watches are closed after it.
const platformShutdownTimeout = 500 * time.Millisecond

func runPlatform(arguments []string) int {
	flags := newStandinFlags("platform")
	folder := flags.set.String("folder", "", "`folder` that keeps the state, over the settings file")
	if code, done := flags.parse(arguments); done {
		return code
	}
	config := platform.DefaultConfig()
	if err := process.LoadConfig(flags.config, &config); err != nil {
		return flags.fail(err)
	}
	override(&config.Name, flags.name)
	override(&config.Listen, flags.listen)
	override(&config.Control, flags.control)
	override(&config.TruthLog, flags.truthLog)
	override(&config.Folder, *folder)
	log, err := truth.OpenLog(config.TruthLog, config.Name)
	if err != nil {
		return flags.fail(err)
	}
	defer func() { _ = log.Close() }()
	if err := servePlatform(config, log, flags.readyFile); err != nil {
		return flags.fail(err)
	}
	return exitOK
}

func servePlatform(config platform.Config, log *truth.Log, readyFile string) error {
	stopped, stop := stopContext()
	defer stop()
	server, err := platform.New(config, log)
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	host, err := process.Start(process.Service{
		Name:           config.Name,
		Listen:         config.Listen,
		Control:        config.Control,
		Handler:        server.Handler(),
		ControlHandler: server.ControlHandler(),
		Injector:       server.Injector(),
	})
	if err != nil {
		return err
	}
	defer host.Close()
	ready := host.Ready()
	if err := process.WriteReadyFile(readyFile, ready); err != nil {
		return err
	}
	platform.EventReady.Info("platform", config.Name, "address", ready.Address, "control", ready.Control)
	err = waitStopped(stopped, host)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), platformShutdownTimeout)
	defer cancel()
	host.Shutdown(shutdownCtx)
	platform.EventStopped.Info("platform", config.Name)
	return err
}
