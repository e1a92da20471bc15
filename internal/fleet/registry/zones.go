package registry

import (
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/membership"
)

const (
	// sampleTotal is divided among the other zones, so that the state and
	// traffic for them do not grow with their number.
	sampleTotal   = 48
	minSampleSize = 4
	maxSampleSize = 8
	// maxSummaryBytes keeps a summary within one datagram.
	maxSummaryBytes = 1250
	// treeFanout is the number of children in a forwarding tree.
	treeFanout = 2
)

// summaryInterval returns the interval between summaries of a zone.
func (r *Registry) summaryInterval() time.Duration {
	return max(r.config.SummaryInterval, time.Duration(len(r.view.Zones()))*summaryIntervalPerZone)
}

// sampleSize returns the number of engines in a summary.
func (r *Registry) sampleSize() int {
	zones := len(r.view.Zones())
	return min(max(sampleTotal/max(zones-1, 1), minSampleSize), maxSampleSize)
}

// sendSummaries sends, on a delegate, the zone's capacity and a sample of its
// engines to this delegate's share of the other zones. Each zone gets a
// different sample.
func (r *Registry) sendSummaries(now time.Time) {
	rank := r.delegateRank()
	if rank < 0 || !r.ready {
		return
	}
	r.sequence = uint32(now.UnixMilli())
	capacities := r.capacities()
	turn := 0
	for _, zone := range r.view.Zones() {
		if zone == r.self.Zone {
			continue
		}
		// The delegates divide the zones, and rotate with each summary.
		turn++
		receivers := r.delegatesOf(zone)
		if len(receivers) == 0 {
			continue
		}
		if (turn+int(now.UnixMilli()/r.summaryInterval().Milliseconds()))%len(r.delegatesOf(r.self.Zone)) != rank {
			continue
		}
		s := summary{zone: r.self.Zone, models: capacities, sample: r.sampleFor(now)}
		body := encodeSummary(&s)
		for len(body) > maxSummaryBytes && len(s.sample) > 0 {
			s.sample = s.sample[:len(s.sample)-1]
			body = encodeSummary(&s)
		}
		head := datagramHeader{Type: typeSummary, Zone: r.version.Zone, Sequence: r.sequence}
		r.datagram(receivers[r.random.IntN(len(receivers))].Address, head, body)
	}
}

func (r *Registry) delegateRank() int {
	for rank, delegate := range r.delegatesOf(r.self.Zone) {
		if delegate.Name == r.self.Name {
			return rank
		}
	}
	return -1
}

// capacities returns the zone's capacity by model, leaving engines excluded.
func (r *Registry) capacities() []ModelCapacity {
	byModel := map[string]*ModelCapacity{}
	for _, state := range r.engines {
		if state.sources != 0 {
			continue
		}
		for _, model := range r.endpointOf(state).Load.Models {
			capacity, known := byModel[model]
			if !known {
				capacity = &ModelCapacity{Model: model}
				byModel[model] = capacity
			}
			capacity.Engines++
			capacity.Running += state.load.Running
			capacity.Waiting += state.load.Waiting
		}
	}
	capacities := make([]ModelCapacity, 0, len(byModel))
	for _, capacity := range byModel {
		capacities = append(capacities, *capacity)
	}
	sort.Slice(capacities, func(i, j int) bool { return capacities[i].Model < capacities[j].Model })
	return capacities
}

// sampleFor picks random engines that take work, the less loaded of two each
// time, so that other zones do not all pick the same few.
func (r *Registry) sampleFor(now time.Time) []entry {
	var available []*engineState
	for _, name := range r.names {
		if state := r.engines[EngineID(name)]; state.sources == 0 {
			available = append(available, state)
		}
	}
	r.random.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	size := min(r.sampleSize(), len(available))
	for i := range size {
		other := size + i
		if other < len(available) && onlineLoad(available[other]) < onlineLoad(available[i]) {
			available[i], available[other] = available[other], available[i]
		}
	}
	sample := make([]entry, 0, size)
	for _, state := range available[:size] {
		sample = append(sample, r.entryOf(now, state))
	}
	return sample
}

func onlineLoad(state *engineState) int { return state.load.Running + 2*state.load.Waiting }

func (r *Registry) entryOf(now time.Time, state *engineState) entry {
	return entry{
		spec: state.spec, record: r.recordOf(now, state),
		models: state.load.Models, adapters: state.load.Adapters, token: state.load.FencingToken,
	}
}

// handleSummary adopts another zone's newest summary and forwards it.
func (r *Registry) handleSummary(now time.Time, head datagramHeader, body []byte) error {
	received, err := decodeSummary(body)
	if err != nil {
		return err
	}
	if head.Zone == r.version.Zone || zoneID(received.zone) != head.Zone {
		return nil
	}
	known, exists := r.samples[head.Zone]
	if exists && head.Sequence <= known.sequence && now.Sub(known.heard) < 2*r.summaryInterval() {
		// The delegate at position 0 has a second position.
		if head.Sequence == known.sequence && head.Position > known.position {
			known.position = head.Position
			r.forwardSummary(head, body)
		}
		return nil
	}
	sample := r.newSample(now, &received)
	sample.sequence, sample.position = head.Sequence, head.Position
	r.forwardSummary(head, body)
	return nil
}

// newSample replaces a zone's sample by a newer summary.
func (r *Registry) newSample(now time.Time, s *summary) *zoneSample {
	sample := &zoneSample{zone: s.zone, heard: now, models: s.models, engines: map[uint64]*engineState{}}
	for i := range s.sample {
		state := stateOf(now, &s.sample[i])
		state.home = r.remoteHome(&state.spec)
		if marked, exists := r.remoteUpdates[state.id]; exists {
			state.sources = marked.sources
		}
		sample.engines[state.id] = state
	}
	r.samples[zoneID(s.zone)] = sample
	r.dirty = true
	return sample
}

// remoteHome returns the home of another zone's engine.
func (r *Registry) remoteHome(spec *fleet.Spec) string {
	owner, _ := membership.Owner("engine/"+spec.Name, r.view.LiveInZone(spec.Zone))
	return owner.Name
}

func stateOf(now time.Time, e *entry) *engineState {
	metadata := engine.Load{Models: e.models, Adapters: e.adapters, FencingToken: e.token}
	return &engineState{
		id: e.record.Engine, spec: e.spec, sources: e.record.Sources, heard: now,
		load: decodeLoad(now, &e.record, metadata), metadata: e.record.Metadata,
	}
}

// forwardSummary sends a summary to this node's children in the forwarding
// tree, whose order differs for each summary to spread the traffic.
func (r *Registry) forwardSummary(head datagramHeader, body []byte) {
	order := r.treeOrder(head)
	first, last := children(int(head.Position), len(order))
	for position := first; position < last; position++ {
		next := head
		next.Position = uint16(position)
		r.datagram(order[position-1].Address, next, body)
	}
}

// children returns the positions, first to last-1, to which a position
// forwards a summary, in a tree over positions 1 to size. Position 0 is the
// delegate that received it from another zone; it sends to the root only, as
// it carries more traffic than other members.
func children(position, size int) (first, last int) {
	if position == 0 {
		return 1, min(1, size) + 1
	}
	first = treeFanout*(position-1) + 2
	return first, min(first+treeFanout, size+1)
}

// treeOrder returns the zone's live members in an order that depends on the
// summary; order[i] is at position i+1.
func (r *Registry) treeOrder(head datagramHeader) []membership.Member {
	role := []byte("summary/")
	for shift := 0; shift < 32; shift += 8 {
		role = append(role, byte(head.Sequence>>shift), byte(head.Zone>>shift))
	}
	order := membership.Elect(string(role), r.view.LiveInZone(r.self.Zone), len(r.view.Members))
	return order
}

// handleRemoteUpdate applies another zone's update and forwards it if asked.
func (r *Registry) handleRemoteUpdate(now time.Time, head datagramHeader, records []loadRecord, body []byte) {
	for i := range records {
		r.remoteUpdates[records[i].Engine] = remoteUpdate{sources: records[i].Sources, until: now.Add(remoteUpdateExpiry)}
	}
	if sample, exists := r.samples[head.Zone]; exists {
		r.updateSample(now, sample, records)
	}
	if head.Flags&flagForward == 0 {
		return
	}
	head.Flags &^= flagForward
	for _, peer := range r.peers {
		r.datagram(peer.Address, head, body)
	}
}

func (r *Registry) updateSample(now time.Time, sample *zoneSample, records []loadRecord) {
	for i := range records {
		state, known := sample.engines[records[i].Engine]
		if !known {
			continue
		}
		state.load = decodeLoad(now, &records[i], state.load)
		r.invalidate(state)
		r.setSources(state, records[i].Sources, sample.zone)
	}
}

// ZoneCapacity is a zone's capacity as last reported.
type ZoneCapacity struct {
	Zone   string          `json:"zone"`
	Heard  time.Time       `json:"heard"`
	Models []ModelCapacity `json:"models"`
}

// Capacities returns this zone's capacity and the others' last reported.
func (r *Registry) Capacities(now time.Time) []ZoneCapacity {
	list := []ZoneCapacity{{Zone: r.self.Zone, Heard: now, Models: r.capacities()}}
	for _, sample := range r.samples {
		list = append(list, ZoneCapacity{Zone: sample.zone, Heard: sample.heard, Models: sample.models})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Zone < list[j].Zone })
	return list
}
