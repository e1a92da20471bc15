package system

import (
	"sort"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/mirror"
)

// members provides the data nodes to the ledger. It implements membership.Source.
type members struct {
	self       mirror.Node
	agent      *mirror.Agent
	evacuating func() map[string]bool
}

var _ membership.Source = (*members)(nil)

// View implements membership.Source.
func (m *members) View() *membership.View {
	nodes := m.agent.Nodes()
	evacuating := m.evacuating()
	view := &membership.View{Members: make([]membership.Member, 0, len(nodes))}
	for _, node := range nodes {
		view.Members = append(view.Members, member(node, evacuating[node.Name]))
	}
	sort.Slice(view.Members, func(i, j int) bool { return view.Members[i].Name < view.Members[j].Name })
	return view
}

// Self implements membership.Source.
func (m *members) Self() membership.Member {
	return member(m.self, m.evacuating()[m.self.Name])
}

func member(node mirror.Node, leaving bool) membership.Member {
	state := membership.StateAlive
	if leaving {
		state = membership.StateLeaving
	}
	return membership.Member{
		Name: node.Name, Address: node.Address, Zone: node.Zone, Region: node.Region,
		Incarnation: uint64(node.Started), State: state, HasData: true,
	}
}
