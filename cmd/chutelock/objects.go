package main

import (
	"context"
	"os"

	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/system"
	"chutelock.dev/chutelock/platform"
)

// serveObjects runs a node on a platform of objects until the signals' end,
// then drains it.
func serveObjects(signals context.Context, hangups <-chan os.Signal, settings *config.Node, load func() (*config.Node, error)) error {
	running, err := system.Open(settings, platform.NewAdapter(settings.Platform.Address))
	if err != nil {
		return err
	}
	if err := running.Start(); err != nil {
		return err
	}
	followSettings(signals, hangups, settings, load, running.Reload)
	bounded, cancel := context.WithTimeout(context.Background(), settings.Drain.Timeout)
	defer cancel()
	running.Drain(bounded)
	return nil
}
