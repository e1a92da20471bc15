package registry

import (
	"sort"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/membership"
)

const (
	// sampleTotal is shared among the other zones, so that what a node keeps
	// and receives of them does not grow with their number.
	sampleTotal = 48
	sampleLeast = 4
	sampleMost  = 8
	// maxSummaryBytes keeps a summary within one datagram.
	maxSummaryBytes = 1250
	// treeFanout is the number of members to whom each passes a summary on.
	treeFanout = 2
)

// summaryInterval is the time between two summaries of a zone.
func (r *Registry) summaryInterval() time.Duration {
	return max(r.config.SummaryInterval, time.Duration(len(r.view.Zones()))*summaryShare)
}

// sampleSize is the number of engines in a summary.
func (r *Registry) sampleSize() int {
	zones := len(r.view.Zones())
	return min(max(sampleTotal/max(zones-1, 1), sampleLeast), sampleMost)
}

// sendSummaries makes a delegate of this zone tell the other zones its
// capacity and a sample of its best engines, another one for each.
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
		// The delegates share the zones, and change over with each summary.
		turn++
		speakers := r.delegatesOf(zone)
		if len(speakers) == 0 {
			continue
		}
		if (turn+int(now.UnixMilli()/r.summaryInterval().Milliseconds()))%len(r.delegatesOf(r.self.Zone)) != rank {
			continue
		}
		one := summary{zone: r.self.Zone, models: capacities, sample: r.sampleFor(now)}
		body := encodeSummary(&one)
		for len(body) > maxSummaryBytes && len(one.sample) > 0 {
			one.sample = one.sample[:len(one.sample)-1]
			body = encodeSummary(&one)
		}
		head := datagramHeader{Type: typeSummary, Zone: r.version.Zone, Sequence: r.sequence}
		r.datagram(speakers[r.random.IntN(len(speakers))].Address, head, body)
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

// capacities sums up the zone's engines for each model.
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

// sampleFor picks engines that take work, at random and the less loaded of
// two each time, so that zones don't herd on the same few.
func (r *Registry) sampleFor(now time.Time) []entry {
	var free []*engineState
	for _, name := range r.names {
		if state := r.engines[EngineID(name)]; state.sources == 0 {
			free = append(free, state)
		}
	}
	r.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	size := min(r.sampleSize(), len(free))
	for i := range size {
		other := size + i
		if other < len(free) && onlineLoad(free[other]) < onlineLoad(free[i]) {
			free[i], free[other] = free[other], free[i]
		}
	}
	sample := make([]entry, 0, size)
	for _, state := range free[:size] {
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

// handleSummary keeps another zone's newest summary and passes it on.
func (r *Registry) handleSummary(now time.Time, head datagramHeader, body []byte) error {
	one, err := decodeSummary(body)
	if err != nil {
		return err
	}
	if head.Zone == r.version.Zone || zoneID(one.zone) != head.Zone {
		return nil
	}
	known, exists := r.samples[head.Zone]
	if exists && head.Sequence <= known.sequence && now.Sub(known.heard) < 2*r.summaryInterval() {
		// The tree's root has a place in the tree too.
		if head.Sequence == known.sequence && head.Position > known.position {
			known.position = head.Position
			r.passOn(head, body)
		}
		return nil
	}
	sample := r.newSample(now, &one)
	sample.sequence, sample.position = head.Sequence, head.Position
	r.passOn(head, body)
	return nil
}

// newSample puts another zone's summary in place of what was known of it.
func (r *Registry) newSample(now time.Time, one *summary) *zoneSample {
	sample := &zoneSample{zone: one.zone, heard: now, models: one.models, engines: map[uint64]*engineState{}}
	for i := range one.sample {
		state := stateOf(now, &one.sample[i])
		state.home = r.remoteHome(&state.spec)
		if marked, exists := r.remote[state.id]; exists {
			state.sources = marked.sources
		}
		sample.engines[state.id] = state
	}
	r.samples[zoneID(one.zone)] = sample
	r.dirty = true
	return sample
}

// remoteHome computes another zone's home of an engine from the members known.
func (r *Registry) remoteHome(spec *fleet.Spec) string {
	owner, _ := membership.Owner("engine/"+spec.Name, r.view.LiveInZone(spec.Zone))
	return owner.Name
}

func stateOf(now time.Time, one *entry) *engineState {
	facts := engine.Load{Models: one.models, Adapters: one.adapters, FencingToken: one.token}
	return &engineState{
		id: one.record.Engine, spec: one.spec, sources: one.record.Sources, heard: now,
		load: decodeLoad(now, &one.record, facts), facts: one.record.Facts,
	}
}

// passOn hands a summary to the next members of a tree over the zone, whose
// order is another one for each summary, so that all carry the same share.
func (r *Registry) passOn(head datagramHeader, body []byte) {
	order := r.treeOrder(head)
	first, last := children(int(head.Position), len(order))
	for position := first; position < last; position++ {
		next := head
		next.Position = uint16(position)
		r.datagram(order[position-1].Address, next, body)
	}
}

// children returns the positions, first to last-1, that the one at position
// hands a summary to, in a tree over positions 1 to size. Position 0 is the
// delegate that another zone sent it to: it has more to carry than others, and
// hands it to the tree's root only.
func children(position, size int) (first, last int) {
	if position == 0 {
		return 1, min(1, size) + 1
	}
	first = treeFanout*(position-1) + 2
	return first, min(first+treeFanout, size+1)
}

// treeOrder is the zone's live members in an order that depends on the
// summary; order[i] is at position i+1.
func (r *Registry) treeOrder(head datagramHeader) []membership.Member {
	role := []byte("summary/")
	for shift := 0; shift < 32; shift += 8 {
		role = append(role, byte(head.Sequence>>shift), byte(head.Zone>>shift))
	}
	order := membership.Elect(string(role), r.view.LiveInZone(r.self.Zone), len(r.view.Members))
	return order
}

// handleRemoteMark takes in a mark of another zone's engine and passes it on.
func (r *Registry) handleRemoteMark(now time.Time, head datagramHeader, records []loadRecord, body []byte) {
	for i := range records {
		r.remote[records[i].Engine] = remoteMark{sources: records[i].Sources, until: now.Add(remoteMarkExpiry)}
	}
	if sample, exists := r.samples[head.Zone]; exists {
		r.markSample(now, sample, records)
	}
	if head.Flags&flagForward == 0 {
		return
	}
	head.Flags &^= flagForward
	for _, peer := range r.peers {
		r.datagram(peer.Address, head, body)
	}
}

func (r *Registry) markSample(now time.Time, sample *zoneSample, records []loadRecord) {
	for i := range records {
		state, known := sample.engines[records[i].Engine]
		if !known {
			continue
		}
		state.load = decodeLoad(now, &records[i], state.load)
		r.touch(state)
		r.setSources(state, records[i].Sources, sample.zone)
	}
}

// ZoneCapacity is what is known of a zone's capacity.
type ZoneCapacity struct {
	Zone   string          `json:"zone"`
	Heard  time.Time       `json:"heard"`
	Models []ModelCapacity `json:"models"`
}

// Capacities lists this zone's capacity and what the others said last.
func (r *Registry) Capacities(now time.Time) []ZoneCapacity {
	list := []ZoneCapacity{{Zone: r.self.Zone, Heard: now, Models: r.capacities()}}
	for _, sample := range r.samples {
		list = append(list, ZoneCapacity{Zone: sample.zone, Heard: sample.heard, Models: sample.models})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Zone < list[j].Zone })
	return list
}
