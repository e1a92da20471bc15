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

// requestDuePolls requests the due polls of this home's engines.
func (r *Registry) requestDuePolls(now time.Time) {
	for _, name := range r.names {
		state := r.engines[EngineID(name)]
		if !r.isHome(state) || state.polling || now.Before(state.nextPoll) {
			continue
		}
		state.polling = true
		r.output.Polls = append(r.output.Polls, Poll{Endpoint: r.endpointOf(state)})
	}
}

// pollInterval returns the interval that honors PollsPerSecond.
func (r *Registry) pollInterval() time.Duration {
	own := 0
	for _, state := range r.engines {
		if r.isHome(state) {
			own++
		}
	}
	paced := time.Duration(float64(own) / r.config.PollsPerSecond * float64(time.Second))
	return max(r.config.PollInterval, min(paced, MaxPollInterval))
}

// HandleLoad processes the result of a poll.
func (r *Registry) HandleLoad(now time.Time, name string, load engine.Load, err error) Output {
	state, known := r.engines[EngineID(name)]
	if !known {
		return r.takeOutput()
	}
	state.polling = false
	if !r.isHome(state) {
		return r.takeOutput()
	}
	if err != nil {
		r.pollFailed(now, state, err)
	} else {
		r.pollAnswered(now, state, load)
	}
	return r.takeOutput()
}

func (r *Registry) pollAnswered(now time.Time, state *engineState, load engine.Load) {
	interval := r.pollInterval()
	state.nextPoll = now.Add(interval*9/10 + r.jitter(interval/5))
	state.failures = 0
	state.localFault = false
	if state.verifying {
		state.verifying = false
		r.decide(Decision{Kind: DecidedNotConfirmed, Engine: state.spec.Name, Zone: state.spec.Zone})
	}
	if load.At.IsZero() {
		load.At = now
	}
	state.load = load
	state.metadata = metadataHash(&load)
	state.heard = now
	r.invalidate(state)
	sources := state.sources &^ (SourceFailure | SourceReport)
	if load.Draining {
		sources |= SourceReport
	}
	if r.setSources(state, sources, r.self.Name) {
		r.startUpdate(now, state)
	}
	r.emitHomeEvent(fleet.HomeEvent{Kind: fleet.HomeLoad, Load: load}, state)
}

// pollFailed marks an engine after failureThreshold failures in a row. While
// all engines time out at once, this node suspects its own network and marks
// none, unless a gateway reported the engine too.
func (r *Registry) pollFailed(now time.Time, state *engineState, err error) {
	state.failures++
	state.nextPoll = now.Add(pollRetryDelay)
	refused := isRefused(err)
	if state.failures < failureThreshold {
		if !refused {
			r.pollAllNow(now)
		}
		return
	}
	state.nextPoll = now.Add(r.pollInterval())
	if !refused && !state.verifying && r.suspectsLocalFault() {
		if !state.localFault {
			state.localFault = true
			r.decide(Decision{Kind: DecidedLocalFault, Engine: state.spec.Name, Zone: state.spec.Zone})
		}
		return
	}
	state.verifying = false
	if r.setSources(state, state.sources|SourceFailure, r.self.Name) {
		r.startUpdate(now, state)
	}
}

// pollAllNow polls all of this home's healthy engines, to tell the failure of
// one engine from a local network fault.
func (r *Registry) pollAllNow(now time.Time) {
	for _, state := range r.engines {
		if r.isHome(state) && state.failures == 0 {
			state.nextPoll = now
		}
	}
	r.requestDuePolls(now)
}

// isRefused reports whether the engine's host refused the connection.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (r *Registry) suspectsLocalFault() bool {
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
	return own >= minLocalFaultEngines && silent == own
}

// EngineFailed asks the home of an engine that failed in this node's own
// traffic to poll it at once.
func (r *Registry) EngineFailed(now time.Time, name string) Output {
	state, known := r.engines[EngineID(name)]
	if !known || state.sources&SourceFailure != 0 {
		return r.takeOutput()
	}
	if r.isHome(state) {
		r.verify(now, state)
		return r.takeOutput()
	}
	if home, ok := r.view.Member(state.home); ok {
		r.datagram(home.Address, datagramHeader{Type: typeVerify, Zone: r.version.Zone}, encodeIDs([]uint64{state.id}))
	}
	return r.takeOutput()
}

func (r *Registry) verify(now time.Time, state *engineState) {
	if !state.verifying {
		state.verifying = true
		state.nextPoll = now
	}
}

func (r *Registry) recordOf(now time.Time, state *engineState) loadRecord {
	return encodeLoad(now, state.id, &state.load, state.metadata, state.sources)
}

// digestInterval returns the interval that keeps digests within DigestBudget.
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

// sendDigests sends the loads of this home's engines to the zone.
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

// startUpdate sends a leaving update at once and schedules its repeats.
func (r *Registry) startUpdate(now time.Time, state *engineState) {
	r.updates = slices.DeleteFunc(r.updates, func(update leavingUpdate) bool { return update.engine == state.id })
	r.updates = append(r.updates, leavingUpdate{engine: state.id, remaining: updateRepeats, due: now, wait: updateDelay})
	r.sendDueUpdates(now)
}

func (r *Registry) sendDueUpdates(now time.Time) {
	kept := r.updates[:0]
	for _, update := range r.updates {
		state, known := r.engines[update.engine]
		if !known || !r.isHome(state) {
			continue
		}
		if !now.Before(update.due) {
			r.sendUpdate(now, state)
			update.remaining--
			update.due = now.Add(update.wait)
			update.wait *= 2
		}
		if update.remaining > 0 {
			kept = append(kept, update)
		}
	}
	r.updates = kept
}

// sendUpdate sends an engine's record to the zone, and to one delegate of each
// other zone for forwarding.
func (r *Registry) sendUpdate(now time.Time, state *engineState) {
	record := r.recordOf(now, state)
	body := appendLoad(nil, &record)
	for _, peer := range r.peers {
		r.datagram(peer.Address, r.header(typeUpdate), body)
	}
	head := datagramHeader{Type: typeUpdate, Flags: flagForward, Zone: r.version.Zone}
	for _, zone := range r.view.Zones() {
		if zone == r.self.Zone {
			continue
		}
		if receivers := r.delegatesOf(zone); len(receivers) > 0 {
			r.datagram(receivers[r.random.IntN(len(receivers))].Address, head, body)
		}
	}
}

// HandleDatagram processes a peer's datagram. A malformed one is an error and
// changes nothing.
func (r *Registry) HandleDatagram(now time.Time, from transport.Address, payload []byte) (Output, error) {
	head, body, err := decodeDatagram(payload)
	if err != nil {
		return Output{}, err
	}
	switch head.Type {
	case typeDigest, typeUpdate:
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
	return r.takeOutput(), err
}

func (r *Registry) handleLoads(now time.Time, from transport.Address, head datagramHeader, body []byte) error {
	records, err := decodeLoads(body)
	if err != nil {
		return err
	}
	if head.Zone != r.version.Zone {
		r.handleRemoteUpdate(now, head, records, body)
		return nil
	}
	sender := r.nameAt(from)
	var stale []uint64
	for i := range records {
		if r.mergeRecord(now, sender, &records[i]) {
			stale = append(stale, records[i].Engine)
		}
	}
	r.compareList(now, from, listVersion{Zone: head.Zone, Revision: head.Revision, Hash: head.ListHash})
	if len(stale) > 0 && reservePull(now, &r.pulls.metadata) {
		r.output.Pulls = append(r.output.Pulls, Pull{To: from, Payload: encodePull(head.Zone, stale)})
	}
	return nil
}

// mergeRecord merges a load record from a peer and reports whether the
// engine's metadata must be pulled. Records of engines whose home is this node
// are ignored; records from a node that is not the engine's home count only if
// their report is newer.
func (r *Registry) mergeRecord(now time.Time, sender string, record *loadRecord) (metadataStale bool) {
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
		state.listedAt = now
	}
	r.setSources(state, record.Sources, sender)
	r.invalidate(state)
	return record.Measured && record.Metadata != state.metadata
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
	r.requestDuePolls(now)
	return err
}

func (r *Registry) handleListLeaving(now time.Time, from transport.Address, body []byte) error {
	ids, err := decodeIDs(body)
	r.applyListLeaving(now, ids, r.nameAt(from))
	return err
}

// Status is an engine's state as shown to operators.
type Status struct {
	Endpoint *fleet.Endpoint
	Sources  Sources
	Heard    time.Time
	Sampled  bool // known from another zone's summary
}

// Statuses returns all known engines by name, even if the view is incomplete.
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
