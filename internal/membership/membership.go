// Package membership tells which chutelock nodes are alive. Detection is
// scoped to a zone at constant cost a node; other zones and regions are seen
// through summaries (docs/design on membership).
package membership

import "chutelock.dev/chutelock/internal/transport"

// State of a member.
type State uint8

// States of a member, in the order in which they override each other at one
// incarnation.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving // announced its planned stop; still answers
	StateDead
)

// Member is one node.
type Member struct {
	Name        string
	Address     transport.Address // peers' port
	Callers     string            // callers' port, "ip:port"
	Zone        string
	Region      string
	Incarnation uint64
	State       State
	// HasData says that the node keeps ledger replicas.
	HasData bool
}

// View is the members known at one moment, ordered by name; immutable.
type View struct {
	Members []Member
}

// Source gives the newest view without blocking; never nil.
type Source interface {
	View() *View
	Self() Member
}
