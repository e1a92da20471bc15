package storage

import (
	"fmt"

	"k8s.io/klog/v2"
)

// verboseLevel is the klog level of pebble's own lines.
const verboseLevel = 4

// storeLogger takes pebble's log lines. It implements pebble.Logger.
type storeLogger struct {
	store *Store
}

// Infof implements pebble.Logger.
func (l *storeLogger) Infof(format string, args ...any) {
	klog.V(verboseLevel).Infof(format, args...)
}

// Errorf implements pebble.Logger.
func (l *storeLogger) Errorf(format string, args ...any) {
	klog.V(verboseLevel).Infof(format, args...)
}

// Fatalf implements pebble.Logger. Pebble's state is not sound after it, so
// that the calling goroutine must not go on: it is parked, and the store's
// users are released through Failed.
func (l *storeLogger) Fatalf(format string, args ...any) {
	l.store.fail(fmt.Errorf(format, args...))
	select {}
}
