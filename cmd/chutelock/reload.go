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

// reloadInterval is how often the settings file is read without a SIGHUP.
const reloadInterval = 3 * time.Second

// notifyHangups catches SIGHUP for the life of the process, because an uncaught
// SIGHUP would end it, also during startup and drain.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings loads the settings at each SIGHUP and every reloadInterval until ctx is
// done. It applies them after a SIGHUP, or if they changed.
func watchSettings(
	ctx context.Context, hangups <-chan os.Signal, current *config.Node, load func() (*config.Node, error), apply func(*config.Node),
) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signaled = true
		case <-ticker.C:
		}
		loaded, err := load()
		switch {
		case err != nil && signaled:
			system.EventSettingsRefused.Error(err)
		case err == nil && (signaled || !reflect.DeepEqual(loaded, current)):
			current = loaded
			apply(loaded)
		}
	}
}
