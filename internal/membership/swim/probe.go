package swim

import (
	"net/netip"
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/transport"
)

// probe is an unanswered probe sent by this node.
type probe struct {
	target         string
	sent           time.Time
	indirect       bool // was retried through relays
	relaysAsked    int  // probe requests sent
	relaysAccepted int  // probe requests confirmed by relays
}

// relay is an unanswered probe sent on behalf of another node.
type relay struct {
	requester transport.Address
	sequence  uint32 // of the requester's probe
	expires   time.Time
}

// Tick runs the timers that are due and returns the messages to send.
func (n *Node) Tick(now time.Time) []Output {
	n.detectPause(now)
	n.checkProbes(now)
	n.checkSuspicions(now)
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.config.ProbeInterval)
		n.probeNext(now)
	}
	n.exchangeDigests(now)
	return n.flush(now)
}

// detectPause extends deadlines after a delayed tick and discards probes after a
// pause, because a node that did not run could not receive answers.
func (n *Node) detectPause(now time.Time) {
	gap := now.Sub(n.lastTick)
	n.lastTick = now
	if delay := gap - TickInterval; gap <= n.config.ProbeInterval {
		if delay > TickInterval {
			n.shiftDeadlines(delay)
		}
		return
	}
	n.statistics.Pauses++
	clear(n.outstanding)
	clear(n.relayed)
	for _, known := range n.table.entries {
		if !known.suspectUntil.IsZero() {
			known.suspectUntil = now.Add(n.scaleTimeout(n.config.SuspicionTimeout))
		}
	}
}

// shiftDeadlines extends the deadlines of probes and suspicions.
func (n *Node) shiftDeadlines(delay time.Duration) {
	for _, pending := range n.outstanding {
		pending.sent = pending.sent.Add(delay)
	}
	for _, known := range n.table.entries {
		if !known.suspectUntil.IsZero() {
			known.suspectUntil = known.suspectUntil.Add(delay)
		}
	}
}

func (n *Node) checkProbes(now time.Time) {
	for _, sequence := range sortedKeys(n.outstanding) {
		pending := n.outstanding[sequence]
		age := now.Sub(pending.sent)
		switch {
		case age >= n.scaleTimeout(n.config.FailTimeout):
			delete(n.outstanding, sequence)
			n.handleProbeFailure(now, pending)
		case age >= n.scaleTimeout(n.config.ProbeTimeout) && !pending.indirect:
			pending.indirect = true
			n.retryProbe(sequence, pending)
		}
	}
	for sequence, request := range n.relayed {
		if now.After(request.expires) {
			delete(n.relayed, sequence)
		}
	}
}

// sortedKeys returns the sequence numbers in order, which keeps outputs
// deterministic.
func sortedKeys(probes map[uint32]*probe) []uint32 {
	keys := make([]uint32, 0, len(probes))
	for key := range probes {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// retryProbe repeats a probe directly and through other members.
func (n *Node) retryProbe(sequence uint32, pending *probe) {
	known, exists := n.table.entries[pending.target]
	if !exists || n.config.IndirectProbes < 0 {
		return
	}
	n.statistics.Indirect++
	target := nameHash(pending.target)
	n.enqueue(known.member.Address, header{Type: typeProbe, Sequence: sequence, Target: target}, nil)
	body := []byte(encodeAddress(string(known.member.Address)))
	for _, peer := range n.sample(n.config.IndirectProbes, pending.target) {
		pending.relaysAsked++
		n.enqueue(peer.Address, header{Type: typeProbeRequest, Sequence: sequence, Target: target}, body)
	}
}

// handleProbeFailure suspects the target. If no relay answered either, this node
// may be at fault, and its timeouts grow.
func (n *Node) handleProbeFailure(now time.Time, pending *probe) {
	if pending.relaysAsked > 0 && pending.relaysAccepted == 0 {
		n.localHealthMultiplier = min(n.localHealthMultiplier+1, maxLocalHealthMultiplier)
	}
	known, exists := n.table.entries[pending.target]
	if !exists || known.member.State == membership.StateDead || !known.suspectUntil.IsZero() {
		return
	}
	n.statistics.Suspicions++
	if known.member.State == membership.StateLeaving {
		known.suspectUntil = now.Add(n.scaleTimeout(n.config.SuspicionTimeout))
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

// probeNext probes the ring successor and the next shuffled member alternately.
func (n *Node) probeNext(now time.Time) {
	n.probeSuccessor = !n.probeSuccessor
	target, found := n.successor()
	if !n.probeSuccessor {
		target, found = n.nextShuffled()
	}
	if !found {
		return
	}
	n.statistics.Probes++
	n.sequence++
	n.outstanding[n.sequence] = &probe{target: target, sent: now}
	member := &n.table.entries[target].member
	n.enqueue(member.Address, header{Type: typeProbe, Sequence: n.sequence, Target: nameHash(target)}, nil)
}

// successor returns the next member of the zone by name.
func (n *Node) successor() (string, bool) {
	names := n.table.byZone[n.self.Zone]
	if len(names) == 0 {
		return "", false
	}
	index := sort.SearchStrings(names, n.self.Name)
	return names[index%len(names)], true
}

func (n *Node) nextShuffled() (string, bool) {
	for {
		if len(n.shuffled) == 0 {
			n.shuffled = append(n.shuffled, n.table.byZone[n.self.Zone]...)
			n.random.Shuffle(len(n.shuffled), func(i, j int) { n.shuffled[i], n.shuffled[j] = n.shuffled[j], n.shuffled[i] })
			if len(n.shuffled) == 0 {
				return "", false
			}
		}
		name := n.shuffled[len(n.shuffled)-1]
		n.shuffled = n.shuffled[:len(n.shuffled)-1]
		if known, exists := n.table.entries[name]; exists && known.member.State != membership.StateDead {
			return name, true
		}
	}
}

// HandleDatagram processes a datagram and returns the messages to send. It returns
// an error and changes nothing if the datagram is malformed.
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
		n.handleProbe(from, message)
	case typeProbeRequest:
		n.handleProbeRequest(now, from, message)
	case typeAck:
		n.handleAck(message)
	case typeRelayAccepted:
		if pending, exists := n.outstanding[message.Sequence]; exists {
			pending.relaysAccepted++
		}
	case typeDigest:
		n.handleDigest(now, from, message.body)
	}
	return n.flush(now), nil
}

func (n *Node) handleProbe(from transport.Address, message datagram) {
	if message.Target == nameHash(n.self.Name) {
		n.enqueue(from, header{Type: typeAck, Sequence: message.Sequence, Target: message.Target}, nil)
	}
}

func (n *Node) handleProbeRequest(now time.Time, from transport.Address, message datagram) {
	var target netip.AddrPort
	if err := target.UnmarshalBinary(message.body); err != nil {
		return
	}
	n.sequence++
	n.relayed[n.sequence] = relay{requester: from, sequence: message.Sequence, expires: now.Add(n.config.FailTimeout)}
	n.enqueue(from, header{Type: typeRelayAccepted, Sequence: message.Sequence}, nil)
	n.enqueue(transport.Address(target.String()),
		header{Type: typeProbe, Sequence: n.sequence, Target: message.Target}, nil)
}

func (n *Node) handleAck(message datagram) {
	if request, exists := n.relayed[message.Sequence]; exists {
		delete(n.relayed, message.Sequence)
		n.enqueue(request.requester, header{Type: typeAck, Sequence: request.sequence, Target: message.Target}, nil)
		return
	}
	pending, exists := n.outstanding[message.Sequence]
	if exists && nameHash(pending.target) == message.Target {
		delete(n.outstanding, message.Sequence)
		n.localHealthMultiplier = max(n.localHealthMultiplier-1, 0)
	}
}
