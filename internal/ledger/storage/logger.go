package storage

import (
	"fmt"

	"k8s.io/klog/v2"
)

// verboseLevel is the klog verbosity at which pebble's log lines are shown.
const verboseLevel = 4

// storeLogger forwards pebble's log lines to klog. It implements pebble.Logger.
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

// Fatalf implements pebble.Logger. Pebble's state is undefined after it, so it
// never returns; the store fails, which releases its users through Failed.
func (l *storeLogger) Fatalf(format string, args ...any) {
	l.store.fail(fmt.Errorf(format, args...))
	select {}
}
