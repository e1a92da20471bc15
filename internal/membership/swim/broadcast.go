package swim

import (
	"math/bits"
	"sort"

	"chutelock.dev/chutelock/internal/membership"
)

// update is a changed record to be gossiped to other members.
type update struct {
	member membership.Member
	sent   int
}

// broadcasts holds the latest change of each member until it has been sent often
// enough. Its size is bounded by the number of members.
type broadcasts struct {
	updates map[string]*update
	// unpushed is set when a change was added since the last push.
	unpushed bool
}

func (b *broadcasts) add(member membership.Member) {
	b.updates[member.Name] = &update{member: member}
	b.unpushed = true
}

// encodeNext encodes the least often sent changes that fit into maxUpdateBytes, and
// drops those sent limit times.
func (b *broadcasts) encodeNext(limit int) []byte {
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

// retransmits returns the number of times that a node sends a change.
func retransmits(factor, zoneSize int) int {
	return factor * bits.Len(uint(zoneSize+1))
}
