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

// ErrNotWhole says that a peer has no whole view to give yet.
var ErrNotWhole = errors.New("registry: this node's view is not whole")

// HandlePull answers a peer's pull: the zone's engines with all that is known
// of them, or some of them only.
func (r *Registry) HandlePull(now time.Time, payload []byte) ([]byte, error) {
	zone, ids, err := decodePull(payload)
	if err != nil {
		return nil, err
	}
	if zone != r.version.Zone {
		return r.answerFromStore(zone)
	}
	if len(ids) > 0 {
		return r.answerSome(now, ids)
	}
	if !r.ready {
		return nil, trace.Wrap(ErrNotWhole)
	}
	var entries []byte
	for _, name := range r.names {
		one := r.entryOf(now, r.engines[EngineID(name)])
		entries = appendEntry(entries, &one)
	}
	fields := [][]byte{entries}
	for _, id := range r.sampleIDs() {
		fields = append(fields, r.summaryOf(now, r.samples[id]))
	}
	answer := pullAnswer{Revision: r.version.Revision, ListHash: r.version.Hash, Content: contentWhole}
	return wire.Marshal(messageVersion, answer, fields...)
}

// summaryOf makes a summary of what is known of another zone now, with the
// marks that came after its own.
func (r *Registry) summaryOf(now time.Time, sample *zoneSample) []byte {
	one := summary{zone: sample.zone, models: sample.models}
	for _, state := range sample.engines {
		one.sample = append(one.sample, r.entryOf(now, state))
	}
	sort.Slice(one.sample, func(i, j int) bool { return one.sample[i].spec.Name < one.sample[j].spec.Name })
	return encodeSummary(&one)
}

func (r *Registry) sampleIDs() []uint64 {
	ids := make([]uint64, 0, len(r.samples))
	for id := range r.samples {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// answerFromStore gives another zone of the region its list, at a reader.
func (r *Registry) answerFromStore(zone uint64) ([]byte, error) {
	for _, list := range r.reader {
		if list.version.Zone != zone {
			continue
		}
		var entries []byte
		for _, spec := range list.specs {
			one := entry{spec: spec, record: loadRecord{Engine: EngineID(spec.Name)}}
			entries = appendEntry(entries, &one)
		}
		answer := pullAnswer{Revision: list.version.Revision, ListHash: list.version.Hash, Content: contentList}
		return wire.Marshal(messageVersion, answer, entries)
	}
	return nil, trace.Wrap(ErrNotWhole)
}

func (r *Registry) answerSome(now time.Time, ids []uint64) ([]byte, error) {
	var entries []byte
	for _, id := range ids {
		if state, known := r.engines[id]; known {
			one := r.entryOf(now, state)
			entries = appendEntry(entries, &one)
		}
	}
	answer := pullAnswer{Revision: r.version.Revision, ListHash: r.version.Hash, Content: contentSome}
	return wire.Marshal(messageVersion, answer, entries)
}

// HandlePullAnswer takes a peer's answer to a pull.
func (r *Registry) HandlePullAnswer(now time.Time, from transport.Address, payload []byte) (Output, error) {
	var answer pullAnswer
	fields, err := wire.Unmarshal(payload, messageVersion, &answer, -1)
	if err != nil {
		return Output{}, err
	}
	if len(fields) == 0 || answer.Content < contentSome || answer.Content > contentWhole {
		return Output{}, trace.Wrap(errRecord)
	}
	entries, err := decodeEntries(fields[0])
	if err != nil {
		return Output{}, err
	}
	peer := r.nameAt(from)
	if answer.Content != contentSome {
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
		r.takeEntry(now, &entries[i], peer)
	}
	for _, raw := range fields[1:] {
		r.takePulledSummary(now, raw)
	}
	if answer.Content == contentWhole {
		r.becomeReady()
	}
	return r.take(), nil
}

// clockTolerance is the difference in age that two ways of one report may
// show by their delays.
const clockTolerance = time.Second

// takeEntry takes in what a peer knows of an engine, unless it is known better.
func (r *Registry) takeEntry(now time.Time, one *entry, peer string) {
	state, known := r.engines[one.record.Engine]
	if !known || !one.record.Measured && one.record.Sources == 0 {
		return
	}
	facts := stateOf(now, one)
	if facts.load.At.Before(state.load.At.Add(-clockTolerance)) {
		return
	}
	if r.isHome(state) && !state.heard.IsZero() {
		return
	}
	state.load = facts.load
	state.facts = factsHash(&facts.load)
	if one.record.Sources&SourceList != 0 {
		state.listMark = now
	}
	r.setSources(state, one.record.Sources, peer)
	r.touch(state)
}

// takePulledSummary keeps another zone's summary that a peer had.
func (r *Registry) takePulledSummary(now time.Time, raw []byte) {
	one, err := decodeSummary(raw)
	if err != nil {
		return
	}
	id := zoneID(one.zone)
	if _, exists := r.samples[id]; exists || id == r.version.Zone {
		return
	}
	r.newSample(now, &one)
}
