// Package membership defines the members of a chutelock cluster, their states,
// and the selection of members for keys and roles. Each zone detects its own
// failures at a constant cost per node; other zones receive the results.
package membership

import "chutelock.dev/chutelock/internal/transport"

// State is a member's liveness state.
type State uint8

// Member states. At equal incarnations, a later state overrides an earlier one.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving // announced its planned stop; still answers messages
	StateDead
)

// Member describes one node.
type Member struct {
	Name        string
	Address     transport.Address // port for other nodes
	Callers     string            // port for clients, "ip:port"
	Zone        string
	Region      string
	Incarnation uint64
	State       State
	// HasData reports whether the node stores ledger replicas.
	HasData bool
}

// View is an immutable snapshot of the known members, ordered by name.
type View struct {
	Members []Member
}

// Source provides the latest view, which is never nil, without blocking, and the
// local node's own record.
type Source interface {
	View() *View
	Self() Member
}
