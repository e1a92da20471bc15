package system

import "chutelock.dev/chutelock/internal/config"

// overloadActive reports whether the decisions for callers that compete for room and for
// engines that differ in speed are in force; see config.Overload.
func (c *core) overloadActive() bool {
	switch c.settings.Overload.Mode {
	case config.OverloadOn:
		return true
	case config.OverloadAuto:
		return c.adapter.Contended(c.settings.Platform.Contracts) || c.balancer.EnginesShareMachines()
	}
	return false
}
