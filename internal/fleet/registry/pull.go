package registry

import (
	"errors"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// ErrIncompleteView is returned by a peer that has no complete view yet.
var ErrIncompleteView = errors.New("registry: this node's view is incomplete")

// HandlePull answers with the zone's engines, or with the requested ones only.
func (r *Registry) HandlePull(now time.Time, payload []byte) ([]byte, error) {
	zone, ids, err := decodePull(payload)
	if err != nil {
		return nil, err
	}
	if zone != r.version.Zone {
		return r.answerFromStore(zone)
	}
	if len(ids) > 0 {
		return r.answerSelected(now, ids)
	}
	if !r.ready {
		return nil, trace.Wrap(ErrIncompleteView)
	}
	var entries []byte
	for _, name := range r.names {
		e := r.entryOf(now, r.engines[EngineID(name)])
		entries = appendEntry(entries, &e)
	}
	fields := [][]byte{entries}
	for _, id := range r.sampleIDs() {
		fields = append(fields, r.summaryOf(now, r.samples[id]))
	}
	answer := pullAnswer{Revision: r.version.Revision, ListHash: r.version.Hash, Content: contentView}
	return wire.Marshal(messageVersion, answer, fields...)
}

// summaryOf encodes what is known of another zone now, including updates newer
// than its last summary.
func (r *Registry) summaryOf(now time.Time, sample *zoneSample) []byte {
	s := summary{zone: sample.zone, models: sample.models}
	for _, state := range sample.engines {
		s.sample = append(s.sample, r.entryOf(now, state))
	}
	sort.Slice(s.sample, func(i, j int) bool { return s.sample[i].spec.Name < s.sample[j].spec.Name })
	return encodeSummary(&s)
}

func (r *Registry) sampleIDs() []uint64 {
	ids := make([]uint64, 0, len(r.samples))
	for id := range r.samples {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// answerFromStore answers with another zone's list, on a reader.
func (r *Registry) answerFromStore(zone uint64) ([]byte, error) {
	for _, list := range r.readerLists {
		if list.version.Zone != zone {
			continue
		}
		var entries []byte
		for _, spec := range list.specs {
			e := entry{spec: spec, record: loadRecord{Engine: EngineID(spec.Name)}}
			entries = appendEntry(entries, &e)
		}
		answer := pullAnswer{Revision: list.version.Revision, ListHash: list.version.Hash, Content: contentList}
		return wire.Marshal(messageVersion, answer, entries)
	}
	return nil, trace.Wrap(ErrIncompleteView)
}

func (r *Registry) answerSelected(now time.Time, ids []uint64) ([]byte, error) {
	var entries []byte
	for _, id := range ids {
		if state, known := r.engines[id]; known {
			e := r.entryOf(now, state)
			entries = appendEntry(entries, &e)
		}
	}
	answer := pullAnswer{Revision: r.version.Revision, ListHash: r.version.Hash, Content: contentSelected}
	return wire.Marshal(messageVersion, answer, entries)
}

// HandlePullAnswer processes a peer's answer to a pull.
func (r *Registry) HandlePullAnswer(now time.Time, from transport.Address, payload []byte) (Output, error) {
	var answer pullAnswer
	fields, err := wire.Unmarshal(payload, messageVersion, &answer, -1)
	if err != nil {
		return Output{}, err
	}
	if len(fields) == 0 || answer.Content < contentSelected || answer.Content > contentView {
		return Output{}, trace.Wrap(errRecord)
	}
	entries, err := decodeEntries(fields[0])
	if err != nil {
		return Output{}, err
	}
	peer := r.nameAt(from)
	if answer.Content != contentSelected {
		specs := make([]fleet.Spec, 0, len(entries))
		for i := range entries {
			specs = append(specs, entries[i].spec)
		}
		list := newZoneList(r.self.Zone, answer.Revision, specs)
		if list.version.Hash != answer.ListHash {
			return Output{}, trace.Wrap(errRecord)
		}
		r.adoptList(now, list, peer)
	}
	for i := range entries {
		r.mergeEntry(now, &entries[i], peer)
	}
	for _, raw := range fields[1:] {
		r.mergePulledSummary(now, raw)
	}
	if answer.Content == contentView {
		r.becomeReady()
	}
	return r.takeOutput(), nil
}

// clockTolerance is the age difference of two copies of one report that delays
// may cause.
const clockTolerance = time.Second

// mergeEntry merges a peer's entry, unless this node has a newer report or is
// the engine's home and has polled it.
func (r *Registry) mergeEntry(now time.Time, e *entry, peer string) {
	state, known := r.engines[e.record.Engine]
	if !known || !e.record.Measured && e.record.Sources == 0 {
		return
	}
	received := stateOf(now, e)
	if received.load.At.Before(state.load.At.Add(-clockTolerance)) {
		return
	}
	if r.isHome(state) && !state.heard.IsZero() {
		return
	}
	state.load = received.load
	state.metadata = metadataHash(&received.load)
	if e.record.Sources&SourceList != 0 {
		state.listedAt = now
	}
	r.setSources(state, e.record.Sources, peer)
	r.invalidate(state)
}

// mergePulledSummary adopts a peer's summary of a zone that has none here yet.
func (r *Registry) mergePulledSummary(now time.Time, raw []byte) {
	received, err := decodeSummary(raw)
	if err != nil {
		return
	}
	id := zoneID(received.zone)
	if _, exists := r.samples[id]; exists || id == r.version.Zone {
		return
	}
	r.newSample(now, &received)
}
