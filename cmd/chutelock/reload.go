package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/system"
)

// reloadInterval is how often the settings file is looked at without a signal.
const reloadInterval = 3 * time.Second

// takeHangups takes SIGHUPs from now on for good: one that nobody takes ends the process,
// with all that it has under way, also before its settings are followed and while it
// stops.
func takeHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// followSettings reads the settings again at each hangup and now and then, and hands
// them on if they changed, until ctx ends.
func followSettings(
	ctx context.Context, hangups <-chan os.Signal, inForce *config.Node, load func() (*config.Node, error), apply func(*config.Node),
) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			asked = true
		case <-ticker.C:
		}
		read, err := load()
		switch {
		case err != nil && asked:
			system.EventSettingsRefused.Error(err)
		case err == nil && (asked || !reflect.DeepEqual(read, inForce)):
			inForce = read
			apply(read)
		}
	}
}
