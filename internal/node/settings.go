package node

import (
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	settingsagent "chutelock.dev/chutelock/internal/settings/agent"
	"chutelock.dev/chutelock/internal/settings/command"
	settingsoperator "chutelock.dev/chutelock/internal/settings/operator"
)

// openSettings creates the settings agent. With a data folder, it keeps the
// settings in force on disk.
func (n *Node) openSettings() error {
	config := settingsagent.Config{
		Members:  n.members,
		Sender:   n.peers,
		Receiver: n.peers,
		Store:    n.platform,
		Registry: n.registry,
	}
	if n.config.Data.Folder != "" {
		config.Folder = filepath.Join(n.config.Data.Folder, "settings")
	}
	var err error
	n.settings, err = settingsagent.New(config)
	return trace.Wrap(err, "opening the settings")
}

// serveSettings registers the operators' commands and queries for settings.
func (n *Node) serveSettings() {
	writer := command.NewWriter(n.platform, n.settings, time.Now)
	settingsoperator.Register(n.operators, n.settings, writer)
}
