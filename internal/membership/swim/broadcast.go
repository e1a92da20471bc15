package swim

import (
	"math/bits"
	"sort"

	"chutelock.dev/chutelock/internal/membership"
)

// update is a change on its way to the other members.
type update struct {
	member membership.Member
	sent   int
}

// broadcasts holds the newest change of each member until it was carried
// often enough. Its size is bounded by the number of members.
type broadcasts struct {
	updates map[string]*update
	// fresh says that a change was added that no member was told of at once.
	fresh bool
}

func (b *broadcasts) add(member membership.Member) {
	b.updates[member.Name] = &update{member: member}
	b.fresh = true
}

// take encodes the least often carried changes that fit, and drops those
// that were carried limit times.
func (b *broadcasts) take(limit int) []byte {
	if len(b.updates) == 0 {
		return nil
	}
	queue := make([]*update, 0, len(b.updates))
	for _, candidate := range b.updates {
		queue = append(queue, candidate)
	}
	sort.Slice(queue, func(i, j int) bool {
		if queue[i].sent != queue[j].sent {
			return queue[i].sent < queue[j].sent
		}
		return queue[i].member.Name < queue[j].member.Name
	})
	var out []byte
	for _, candidate := range queue {
		extended := appendMember(out, &candidate.member)
		if len(extended) > maxUpdateBytes {
			break
		}
		out = extended
		candidate.sent++
		if candidate.sent >= limit {
			delete(b.updates, candidate.member.Name)
		}
	}
	return out
}

// retransmits is the number of times that a change is carried in a zone.
func retransmits(factor, zoneSize int) int {
	return factor * bits.Len(uint(zoneSize+1))
}
