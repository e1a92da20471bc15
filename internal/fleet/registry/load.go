package registry

import (
	"errors"
	"slices"
	"sort"
	"syscall"
	"time"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/transport"
)

// pollDue asks for the polls that are due at this node's engines.
func (r *Registry) pollDue(now time.Time) {
	for _, name := range r.names {
		state := r.engines[EngineID(name)]
		if !r.isHome(state) || state.polling || now.Before(state.nextPoll) {
			continue
		}
		state.polling = true
		r.output.Polls = append(r.output.Polls, Poll{Endpoint: r.endpointOf(state)})
	}
}

// pollInterval keeps all polls of this home within their rate.
func (r *Registry) pollInterval() time.Duration {
	own := 0
	for _, state := range r.engines {
		if r.isHome(state) {
			own++
		}
	}
	paced := time.Duration(float64(own) / r.config.PollsPerSecond * float64(time.Second))
	return max(r.config.PollInterval, min(paced, MostPollInterval))
}

// HandleLoad takes the result of a poll.
func (r *Registry) HandleLoad(now time.Time, name string, load engine.Load, err error) Output {
	state, known := r.engines[EngineID(name)]
	if !known {
		return r.take()
	}
	state.polling = false
	if !r.isHome(state) {
		return r.take()
	}
	if err != nil {
		r.pollFailed(now, state, err)
	} else {
		r.pollAnswered(now, state, load)
	}
	return r.take()
}

func (r *Registry) pollAnswered(now time.Time, state *engineState, load engine.Load) {
	interval := r.pollInterval()
	state.nextPoll = now.Add(interval*9/10 + r.jitter(interval/5))
	state.failures = 0
	state.doubted = false
	if state.asked {
		state.asked = false
		r.decide(Decision{Kind: DecidedNotConfirmed, Engine: state.spec.Name, Zone: state.spec.Zone})
	}
	if load.At.IsZero() {
		load.At = now
	}
	state.load = load
	state.facts = factsHash(&load)
	state.heard = now
	r.touch(state)
	sources := state.sources &^ (SourceFailure | SourceReport)
	if load.Draining {
		sources |= SourceReport
	}
	if r.setSources(state, sources, r.self.Name) {
		r.addMark(now, state)
	}
	r.tellHome(fleet.HomeEvent{Kind: fleet.HomeLoad, Load: load}, state)
}

// pollFailed marks an engine that failed twice in a row. While all engines
// time out at once, this node doubts itself and tells nobody, unless a gateway
// saw the engine fail too.
func (r *Registry) pollFailed(now time.Time, state *engineState, err error) {
	state.failures++
	state.nextPoll = now.Add(retryPoll)
	refused := isRefused(err)
	if state.failures < failuresToMark {
		if !refused {
			r.pollAll(now)
		}
		return
	}
	state.nextPoll = now.Add(r.pollInterval())
	if !refused && !state.asked && r.doubtsItself() {
		if !state.doubted {
			state.doubted = true
			r.decide(Decision{Kind: DecidedSelfDoubt, Engine: state.spec.Name, Zone: state.spec.Zone})
		}
		return
	}
	state.asked = false
	if r.setSources(state, state.sources|SourceFailure, r.self.Name) {
		r.addMark(now, state)
	}
}

// pollAll looks at all of this home's engines at once, so that it can tell the
// silence of one from its own.
func (r *Registry) pollAll(now time.Time) {
	for _, state := range r.engines {
		if r.isHome(state) && state.failures == 0 {
			state.nextPoll = now
		}
	}
	r.pollDue(now)
}

// isRefused says that the engine's machine answered that nothing listens.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (r *Registry) doubtsItself() bool {
	own, silent := 0, 0
	for _, state := range r.engines {
		if !r.isHome(state) {
			continue
		}
		own++
		if state.failures > 0 {
			silent++
		}
	}
	return own >= selfDoubtEngines && silent == own
}

// EngineFailed notes that this node's own traffic saw an engine fail: its
// home is asked to look at once.
func (r *Registry) EngineFailed(now time.Time, name string) Output {
	state, known := r.engines[EngineID(name)]
	if !known || state.sources&SourceFailure != 0 {
		return r.take()
	}
	if r.isHome(state) {
		r.verify(now, state)
		return r.take()
	}
	if home, ok := r.view.Member(state.home); ok {
		r.datagram(home.Address, datagramHeader{Type: typeVerify, Zone: r.version.Zone}, encodeIDs([]uint64{state.id}))
	}
	return r.take()
}

func (r *Registry) verify(now time.Time, state *engineState) {
	if !state.asked {
		state.asked = true
		state.nextPoll = now
	}
}

func (r *Registry) recordOf(now time.Time, state *engineState) loadRecord {
	return encodeLoad(now, state.id, &state.load, state.facts, state.sources)
}

// digestInterval keeps the digests' bytes a second within their budget.
func (r *Registry) digestInterval() time.Duration {
	own := 0
	for _, state := range r.engines {
		if r.isHome(state) {
			own++
		}
	}
	bytes := float64(len(r.peers)) * float64(datagramOverhead+own*loadRecordSize)
	paced := time.Duration(bytes / r.config.DigestBudget * float64(time.Second))
	return max(r.config.DigestInterval, paced)
}

// sendDigests tells the zone the loads of this node's engines.
func (r *Registry) sendDigests(now time.Time) {
	var own []uint64
	for _, name := range r.names {
		if state := r.engines[EngineID(name)]; r.isHome(state) {
			own = append(own, state.id)
		}
	}
	for first := true; first || len(own) > 0; first = false {
		batch := own[:min(len(own), maxRecordsPerDigest)]
		own = own[len(batch):]
		var body []byte
		for _, id := range batch {
			record := r.recordOf(now, r.engines[id])
			body = appendLoad(body, &record)
		}
		for _, peer := range r.peers {
			r.datagram(peer.Address, r.header(typeDigest), body)
		}
	}
}

func (r *Registry) header(kind messageType) datagramHeader {
	return datagramHeader{Type: kind, Zone: r.version.Zone, Revision: r.version.Revision, ListHash: r.version.Hash}
}

// addMark shares at once that an engine leaves, or is back, and repeats it.
func (r *Registry) addMark(now time.Time, state *engineState) {
	r.marks = slices.DeleteFunc(r.marks, func(one mark) bool { return one.engine == state.id })
	r.marks = append(r.marks, mark{engine: state.id, left: markRepeats, due: now, wait: markDelay})
	r.repeatMarks(now)
}

func (r *Registry) repeatMarks(now time.Time) {
	kept := r.marks[:0]
	for _, one := range r.marks {
		state, known := r.engines[one.engine]
		if !known || !r.isHome(state) {
			continue
		}
		if !now.Before(one.due) {
			r.sendMark(now, state)
			one.left--
			one.due = now.Add(one.wait)
			one.wait *= 2
		}
		if one.left > 0 {
			kept = append(kept, one)
		}
	}
	r.marks = kept
}

// sendMark tells the zone, and one delegate of each other zone to pass it on.
func (r *Registry) sendMark(now time.Time, state *engineState) {
	record := r.recordOf(now, state)
	body := appendLoad(nil, &record)
	for _, peer := range r.peers {
		r.datagram(peer.Address, r.header(typeMark), body)
	}
	head := datagramHeader{Type: typeMark, Flags: flagForward, Zone: r.version.Zone}
	for _, zone := range r.view.Zones() {
		if zone == r.self.Zone {
			continue
		}
		if speakers := r.delegatesOf(zone); len(speakers) > 0 {
			r.datagram(speakers[r.random.IntN(len(speakers))].Address, head, body)
		}
	}
}

// HandleDatagram takes a peer's datagram. A malformed one is an error and
// changes nothing.
func (r *Registry) HandleDatagram(now time.Time, from transport.Address, payload []byte) (Output, error) {
	head, body, err := decodeDatagram(payload)
	if err != nil {
		return Output{}, err
	}
	switch head.Type {
	case typeDigest, typeMark:
		err = r.handleLoads(now, from, head, body)
	case typeSummary:
		err = r.handleSummary(now, head, body)
	case typeListAnnounce:
		err = r.handleListAnnounce(now, from, body)
	case typeVerify:
		err = r.handleVerify(now, body)
	case typeListLeaving:
		err = r.handleListLeaving(now, from, body)
	}
	return r.take(), err
}

func (r *Registry) handleLoads(now time.Time, from transport.Address, head datagramHeader, body []byte) error {
	records, err := decodeLoads(body)
	if err != nil {
		return err
	}
	if head.Zone != r.version.Zone {
		r.handleRemoteMark(now, head, records, body)
		return nil
	}
	sender := r.nameAt(from)
	var stale []uint64
	for i := range records {
		if r.takeRecord(now, sender, &records[i]) {
			stale = append(stale, records[i].Engine)
		}
	}
	r.compareList(now, from, listVersion{Zone: head.Zone, Revision: head.Revision, Hash: head.ListHash})
	if len(stale) > 0 && due(now, &r.pulls.facts) {
		r.output.Pulls = append(r.output.Pulls, Pull{To: from, Payload: encodePull(head.Zone, stale)})
	}
	return nil
}

// takeRecord takes in a home's record and reports whether the facts behind it
// are not known here. Its own engines a home knows best; from others the
// present home's word counts, or a newer one's.
func (r *Registry) takeRecord(now time.Time, sender string, record *loadRecord) (factsStale bool) {
	state, known := r.engines[record.Engine]
	if !known || r.isHome(state) {
		return false
	}
	load := decodeLoad(now, record, state.load)
	if sender != state.home && !load.At.After(state.load.At) {
		return false
	}
	state.load = load
	state.heard = now
	if record.Sources&SourceList != 0 {
		state.listMark = now
	}
	r.setSources(state, record.Sources, sender)
	r.touch(state)
	return record.Measured && record.Facts != state.facts
}

func (r *Registry) nameAt(address transport.Address) string {
	for i := range r.peers {
		if r.peers[i].Address == address {
			return r.peers[i].Name
		}
	}
	return string(address)
}

func (r *Registry) handleListAnnounce(now time.Time, from transport.Address, body []byte) error {
	versions, err := decodeVersions(body)
	for _, version := range versions {
		r.compareList(now, from, version)
	}
	return err
}

func (r *Registry) handleVerify(now time.Time, body []byte) error {
	ids, err := decodeIDs(body)
	for _, id := range ids {
		if state, known := r.engines[id]; known && r.isHome(state) {
			r.verify(now, state)
		}
	}
	r.pollDue(now)
	return err
}

func (r *Registry) handleListLeaving(now time.Time, from transport.Address, body []byte) error {
	ids, err := decodeIDs(body)
	r.applyListLeaving(now, ids, r.nameAt(from))
	return err
}

// Status is what an operator sees of one engine.
type Status struct {
	Endpoint *fleet.Endpoint
	Sources  Sources
	Heard    time.Time
	Sampled  bool // known from another zone's summary
}

// Statuses lists all engines known, by name, whether the view is whole or not.
func (r *Registry) Statuses() []Status {
	var statuses []Status
	for _, state := range r.engines {
		statuses = append(statuses, Status{Endpoint: r.endpointOf(state), Sources: state.sources, Heard: state.heard})
	}
	for _, sample := range r.samples {
		for _, state := range sample.engines {
			statuses = append(statuses, Status{Endpoint: r.endpointOf(state), Sources: state.sources, Heard: sample.heard, Sampled: true})
		}
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Endpoint.Name < statuses[j].Endpoint.Name })
	return statuses
}
