package replica

import (
	"fmt"
	"sort"
	"strings"

	"chutelock.dev/chutelock/internal/ledger/replication"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// findMember returns the member with a name; view.Members is sorted by name.
func findMember(view *membership.View, name string) (membership.Member, bool) {
	at := sort.Search(len(view.Members), func(i int) bool { return view.Members[i].Name >= name })
	if at == len(view.Members) || view.Members[at].Name != name {
		return membership.Member{}, false
	}
	return view.Members[at], true
}

// dataMembers returns the live nodes that can hold replicas, including this one.
func dataMembers(view *membership.View, self membership.Member) []membership.Member {
	var members []membership.Member
	seen := false
	for _, member := range view.Members {
		if !member.HasData || member.State > membership.StateSuspect {
			continue
		}
		seen = seen || member.Name == self.Name
		members = append(members, member)
	}
	if !seen && self.HasData {
		members = append(members, self)
		sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	}
	return members
}

// addressOf returns the address of a replica's node from membership, or else the
// last one in the roster. The caller holds the mutex.
func (s *Shard) addressOf(id replication.ReplicaID) (transport.Address, bool) {
	entry, known := s.roster[id]
	if !known {
		address, heard := s.learnedAddresses[id]
		return address, heard
	}
	if member, found := findMember(s.service.options.Members.View(), entry.Node); found && member.Address != "" {
		return member.Address, true
	}
	return entry.Address, entry.Address != ""
}

// describeMembers formats the members for an operator; the caller holds the mutex.
func (s *Shard) describeMembers() string {
	configuration := s.core.Status().Configuration
	parts := make([]string, 0, len(configuration.Members()))
	for _, id := range configuration.Members() {
		entry := s.roster[id]
		parts = append(parts, fmt.Sprintf("%s on %s (%s)", id, entry.Node, entry.Zone))
	}
	return strings.Join(parts, ", ")
}
