package main

import (
	"context"

	"chutelock.dev/chutelock/internal/commandline"
	"chutelock.dev/chutelock/internal/standin/engine"
	"chutelock.dev/chutelock/internal/standin/process"
	"chutelock.dev/chutelock/internal/standin/truth"
)

func init() {
	subcommands = append(subcommands, commandline.Subcommand{
		Name:    "engine",
		Summary: "run one stand-in of a model engine",
		Run:     runEngine,
	})
}

func runEngine(arguments []string) int {
	flags := newStandinFlags("engine")
	platformAddress := flags.set.String("platform", "", "`address` of the platform, over the settings file")
	if code, done := flags.parse(arguments); done {
		return code
	}
	config := engine.DefaultConfig()
	if err := process.LoadConfig(flags.config, &config); err != nil {
		return flags.fail(err)
	}
	override(&config.Name, flags.name)
	override(&config.Listen, flags.listen)
	override(&config.Control, flags.control)
	override(&config.TruthLog, flags.truthLog)
	override(&config.Platform, *platformAddress)
	log, err := truth.OpenLog(config.TruthLog, config.Name)
	if err != nil {
		return flags.fail(err)
	}
	defer func() { _ = log.Close() }()
	if err := serveEngine(config, log, flags.readyFile); err != nil {
		return flags.fail(err)
	}
	return exitOK
}

// serveEngine runs the engine until a stop signal. It then reports that it drains,
// and waits at most config.DrainTime for the requests in flight.
func serveEngine(config engine.Config, log *truth.Log, readyFile string) error {
	stopped, stop := stopContext()
	defer stop()
	server, err := engine.New(config, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go server.Run(ctx)
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
	registerCtx, deregister := context.WithCancel(ctx)
	deregistered := make(chan struct{})
	go func() {
		defer close(deregistered)
		server.Register(registerCtx, ready.Address)
	}()
	if err := process.WriteReadyFile(readyFile, ready); err != nil {
		deregister()
		return err
	}
	engine.EventReady.Info("engine", config.Name, "address", ready.Address, "control", ready.Control)
	err = waitStopped(stopped, host)
	server.Drain(true)
	drainCtx, cancelDrain := context.WithTimeout(ctx, config.DrainTime)
	defer cancelDrain()
	server.WaitIdle(drainCtx)
	host.Shutdown(drainCtx)
	deregister()
	<-deregistered
	engine.EventStopped.Info("engine", config.Name)
	return err
}
