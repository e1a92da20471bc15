package main

import (
	"context"

	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/system"
	"chutelock.dev/chutelock/platform/callers"
	"chutelock.dev/chutelock/platform/engines"
	"chutelock.dev/chutelock/platform/facts"
	"chutelock.dev/chutelock/platform/objectstore"
)

// serveObjects runs a node on a platform of objects until the signals' end,
// then drains it.
func serveObjects(signals context.Context, settings *config.Node, load func() (*config.Node, error)) error {
	running, err := system.Open(settings, objectsAdapter(settings.Platform.Address))
	if err != nil {
		return err
	}
	if err := running.Start(); err != nil {
		return err
	}
	followSettings(signals, settings, load, running.Reload)
	bounded, cancel := context.WithTimeout(context.Background(), settings.Drain.Timeout)
	defer cancel()
	running.Drain(bounded)
	return nil
}

func objectsAdapter(address string) *system.Adapter {
	store := objectstore.New(address)
	return &system.Adapter{
		Store: store, Registry: store, Ledger: objectstore.LedgerStore{Client: store}, Evacuations: store,
		Engines: engines.Dialect{}, Callers: callers.Dialect{}, ReadyPath: callers.PathReady,
		ConfigurationKind: objectstore.KindConfig, ConfigurationName: facts.MainConfiguration,
		EnginesKind: objectstore.KindServers, EvacuationsKind: objectstore.KindRetirements,
		Configuration: facts.Configuration, EngineList: facts.Engines,
	}
}
