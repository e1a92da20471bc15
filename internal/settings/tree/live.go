package tree

import (
	"sync/atomic"

	"chutelock.dev/chutelock/internal/settings"
)

// Live is a settings.Source whose snapshot is replaced as a whole. Reading
// takes no lock.
type Live struct {
	current atomic.Pointer[settings.Snapshot]
}

var _ settings.Source = (*Live)(nil)

// NewLive starts with a snapshot, which may be nil.
func NewLive(snapshot *settings.Snapshot) *Live {
	live := &Live{}
	live.current.Store(snapshot)
	return live
}

// Current implements settings.Source.
func (l *Live) Current() *settings.Snapshot { return l.current.Load() }

// Publish puts a snapshot in force. The caller publishes rising revisions only.
func (l *Live) Publish(snapshot *settings.Snapshot) { l.current.Store(snapshot) }
