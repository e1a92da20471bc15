package main

import (
	"context"
	"os"

	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/system"
	"chutelock.dev/chutelock/platform"
)

// serveObjects runs a node on a platform that stores configuration and engines
// as objects until ctx is done, then drains it.
func serveObjects(ctx context.Context, hangups <-chan os.Signal, settings *config.Node, load func() (*config.Node, error)) error {
	n, err := system.Open(settings, platform.NewAdapter(settings.Platform.Address))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	watchSettings(ctx, hangups, settings, load, n.Reload)
	drainCtx, cancel := context.WithTimeout(context.Background(), settings.Drain.Timeout)
	defer cancel()
	n.Drain(drainCtx)
	return nil
}
