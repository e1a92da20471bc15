package swim

import (
	"net/netip"
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// probe is a question of this node that is not answered yet.
type probe struct {
	target   string
	asked    time.Time
	indirect bool // others were asked
	relays   int  // others that were asked
	relaying int  // others that took the request
}

// relay is a probe on behalf of another node.
type relay struct {
	asker    transport.Address
	sequence uint32 // the asker's
	expires  time.Time
}

// Tick does what is due and returns what to send.
func (n *Node) Tick(now time.Time) []Output {
	n.noticePause(now)
	n.checkProbes(now)
	n.checkSuspicions(now)
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.config.ProbeInterval)
		n.probeNext(now)
	}
	n.exchangeDigests(now)
	return n.flush(now)
}

// noticePause shifts deadlines by a gap in this node's own time: while it was
// paused it heard nobody, which says nothing of the others.
func (n *Node) noticePause(now time.Time) {
	gap := now.Sub(n.lastTick)
	n.lastTick = now
	if late := gap - TickInterval; gap <= n.config.ProbeInterval {
		if late > TickInterval {
			n.shiftDeadlines(late)
		}
		return
	}
	n.statistics.Pauses++
	clear(n.outstanding)
	clear(n.relayed)
	for _, known := range n.table.entries {
		if !known.suspectUntil.IsZero() {
			known.suspectUntil = now.Add(n.scaled(n.config.SuspicionTimeout))
		}
	}
}

// shiftDeadlines gives all that is awaited as much longer as this node ran late.
func (n *Node) shiftDeadlines(late time.Duration) {
	for _, pending := range n.outstanding {
		pending.asked = pending.asked.Add(late)
	}
	for _, known := range n.table.entries {
		if !known.suspectUntil.IsZero() {
			known.suspectUntil = known.suspectUntil.Add(late)
		}
	}
}

func (n *Node) checkProbes(now time.Time) {
	for _, sequence := range sortedKeys(n.outstanding) {
		pending := n.outstanding[sequence]
		age := now.Sub(pending.asked)
		switch {
		case age >= n.scaled(n.config.FailTimeout):
			delete(n.outstanding, sequence)
			n.probeFailed(now, pending)
		case age >= n.scaled(n.config.ProbeTimeout) && !pending.indirect:
			pending.indirect = true
			n.probeAgain(sequence, pending)
		}
	}
	for sequence, request := range n.relayed {
		if now.After(request.expires) {
			delete(n.relayed, sequence)
		}
	}
}

// sortedKeys makes the order of outputs independent of the map's.
func sortedKeys(probes map[uint32]*probe) []uint32 {
	keys := make([]uint32, 0, len(probes))
	for key := range probes {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// probeAgain repeats a probe directly and through other members.
func (n *Node) probeAgain(sequence uint32, pending *probe) {
	known, exists := n.table.entries[pending.target]
	if !exists || n.config.IndirectProbes < 0 {
		return
	}
	n.statistics.Indirect++
	target := nameHash(pending.target)
	n.emit(known.member.Address, header{Type: typeProbe, Sequence: sequence, Target: target}, nil)
	body := []byte(encodeAddress(string(known.member.Address)))
	for _, helper := range n.sample(n.config.IndirectProbes, pending.target) {
		pending.relays++
		n.emit(helper.Address, header{Type: typeProbeRequest, Sequence: sequence, Target: target}, body)
	}
}

// probeFailed suspects the target. Where none of the relays answered either,
// the fault may be this node's own, and its timeouts grow.
func (n *Node) probeFailed(now time.Time, pending *probe) {
	if pending.relays > 0 && pending.relaying == 0 {
		n.health = min(n.health+1, maxHealth)
	}
	known, exists := n.table.entries[pending.target]
	if !exists || known.member.State == membership.StateDead || !known.suspectUntil.IsZero() {
		return
	}
	n.statistics.Suspicions++
	if known.member.State == membership.StateLeaving {
		known.suspectUntil = now.Add(n.scaled(n.config.SuspicionTimeout))
		return
	}
	suspect := known.member
	suspect.State = membership.StateSuspect
	n.apply(now, suspect)
}

func (n *Node) checkSuspicions(now time.Time) {
	for _, name := range append([]string(nil), n.table.byZone[n.self.Zone]...) {
		known := n.table.entries[name]
		if known.suspectUntil.IsZero() || now.Before(known.suspectUntil) {
			continue
		}
		n.statistics.Deaths++
		dead := known.member
		dead.State = membership.StateDead
		n.apply(now, dead)
	}
}

// probeNext probes the ring successor and a member of the shuffled round in turn.
func (n *Node) probeNext(now time.Time) {
	n.ringTurn = !n.ringTurn
	target, found := n.successor()
	if !n.ringTurn {
		target, found = n.nextInRound()
	}
	if !found {
		return
	}
	n.statistics.Probes++
	n.sequence++
	n.outstanding[n.sequence] = &probe{target: target, asked: now}
	member := &n.table.entries[target].member
	n.emit(member.Address, header{Type: typeProbe, Sequence: n.sequence, Target: nameHash(target)}, nil)
}

// successor is the next member of the zone by name.
func (n *Node) successor() (string, bool) {
	names := n.table.byZone[n.self.Zone]
	if len(names) == 0 {
		return "", false
	}
	index := sort.SearchStrings(names, n.self.Name)
	return names[index%len(names)], true
}

func (n *Node) nextInRound() (string, bool) {
	for {
		if len(n.round) == 0 {
			n.round = append(n.round, n.table.byZone[n.self.Zone]...)
			n.random.Shuffle(len(n.round), func(i, j int) { n.round[i], n.round[j] = n.round[j], n.round[i] })
			if len(n.round) == 0 {
				return "", false
			}
		}
		name := n.round[len(n.round)-1]
		n.round = n.round[:len(n.round)-1]
		if known, exists := n.table.entries[name]; exists && known.member.State != membership.StateDead {
			return name, true
		}
	}
}

// HandleDatagram takes a datagram of a peer and returns what to send. A
// malformed one is an error and changes nothing.
func (n *Node) HandleDatagram(now time.Time, from transport.Address, payload []byte) ([]Output, error) {
	message, err := decodeDatagram(payload)
	if err != nil {
		return nil, err
	}
	for _, member := range message.updates {
		n.apply(now, member)
	}
	switch message.Type {
	case typeProbe:
		n.answerProbe(from, message)
	case typeProbeRequest:
		n.relayProbe(now, from, message)
	case typeAck:
		n.takeAck(message)
	case typeRelaying:
		if pending, exists := n.outstanding[message.Sequence]; exists {
			pending.relaying++
		}
	case typeDigest:
		n.compareDigest(now, from, message.body)
	}
	return n.flush(now), nil
}

func (n *Node) answerProbe(from transport.Address, message datagram) {
	if message.Target == nameHash(n.self.Name) {
		n.emit(from, header{Type: typeAck, Sequence: message.Sequence, Target: message.Target}, nil)
	}
}

func (n *Node) relayProbe(now time.Time, from transport.Address, message datagram) {
	var target netip.AddrPort
	if err := target.UnmarshalBinary(message.body); err != nil {
		return
	}
	n.sequence++
	n.relayed[n.sequence] = relay{asker: from, sequence: message.Sequence, expires: now.Add(n.config.FailTimeout)}
	n.emit(from, header{Type: typeRelaying, Sequence: message.Sequence}, nil)
	n.emit(transport.Address(target.String()),
		header{Type: typeProbe, Sequence: n.sequence, Target: message.Target}, nil)
}

func (n *Node) takeAck(message datagram) {
	if request, exists := n.relayed[message.Sequence]; exists {
		delete(n.relayed, message.Sequence)
		n.emit(request.asker, header{Type: typeAck, Sequence: request.sequence, Target: message.Target}, nil)
		return
	}
	pending, exists := n.outstanding[message.Sequence]
	if exists && nameHash(pending.target) == message.Target {
		delete(n.outstanding, message.Sequence)
		n.health = max(n.health-1, 0)
	}
}
