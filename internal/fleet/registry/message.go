package registry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/wire"
)

const messageVersion = 1

type messageType uint8

const (
	typeDigest       messageType = iota + 1 // loads of the sender's engines and its list's version
	typeUpdate                              // an engine is leaving or back; may carry flagForward
	typeSummary                             // a zone's capacity and a sample of its engines
	typeListAnnounce                        // versions of the lists that a store reader holds
	typeVerify                              // a gateway asks the home to poll engines
	typeListLeaving                         // engines that the machine list reports as leaving
)

// flagForward asks a delegate to forward an update inside its zone.
const flagForward = 1

var errRecord = errors.New("registry: malformed record")

// datagramHeader is the fixed part of every datagram; the body follows.
type datagramHeader struct {
	Type     messageType
	Flags    uint8
	Zone     uint64 // hash of the zone that the message is about
	Revision uint64 // of the zone's list at the sender
	ListHash uint64
	Sequence uint32 // of a summary
	Position uint16 // of the receiver in the summary's forwarding tree
}

func encodeDatagram(head datagramHeader, body []byte) []byte {
	payload, err := wire.Marshal(messageVersion, head, body)
	if err != nil {
		panic(err) // datagramHeader is of fixed size
	}
	return payload
}

func decodeDatagram(payload []byte) (datagramHeader, []byte, error) {
	var head datagramHeader
	fields, err := wire.Unmarshal(payload, messageVersion, &head, 1)
	if err != nil {
		return head, nil, err
	}
	if head.Type < typeDigest || head.Type > typeListLeaving {
		return head, nil, fmt.Errorf("%w: datagram type %d", errRecord, head.Type)
	}
	return head, fields[0], nil
}

// Sources is the set of sources that report an engine as leaving.
type Sources uint8

// Sources of a leaving report; any one suffices.
const (
	SourceList    Sources = 1 << iota // the platform's machine list
	SourceReport                      // the engine's own report
	SourceFailure                     // the engine does not answer
)

// Names returns the names of the sources as shown to operators.
func (s Sources) Names() []string {
	var names []string
	for bit, name := range map[Sources]string{SourceList: "machine list", SourceReport: "engine report", SourceFailure: "no answer"} {
		if s&bit != 0 {
			names = append(names, name)
		}
	}
	return names
}

// loadRecord is an engine's load on the wire.
type loadRecord struct {
	Engine       uint64
	Running      uint16
	Waiting      uint16
	RunningBatch uint16
	WaitingBatch uint16
	AgeMS        uint16 // age of the engine's report when the record was sent
	StepTenths   uint16 // step time in tenths of a millisecond
	Tokens       uint16 // tokens per step, in sixteenths
	Metadata     uint16 // hash of models, adapters and fencing token, which change rarely
	KVUse        uint8  // in units of 1/255
	Sources      Sources
	Measured     bool // false while the home has no report yet
}

var loadRecordSize = binary.Size(loadRecord{})

func appendLoad(out []byte, record *loadRecord) []byte {
	out, err := binary.Append(out, binary.BigEndian, record)
	if err != nil {
		panic(err) // loadRecord is of fixed size
	}
	return out
}

func cutLoad(in []byte) (loadRecord, []byte, error) {
	var record loadRecord
	size, err := binary.Decode(in, binary.BigEndian, &record)
	if err != nil {
		return record, nil, fmt.Errorf("%w: %w", errRecord, err)
	}
	return record, in[size:], nil
}

func decodeLoads(in []byte) ([]loadRecord, error) {
	if len(in)%loadRecordSize != 0 {
		return nil, fmt.Errorf("%w: %d bytes of loads", errRecord, len(in))
	}
	records := make([]loadRecord, 0, len(in)/loadRecordSize)
	for len(in) > 0 {
		record, rest, err := cutLoad(in)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
		in = rest
	}
	return records, nil
}

func clamp16(value int) uint16 { return uint16(min(max(value, 0), 0xffff)) }

const (
	tokensScale = 16
	kvScale     = 255
	stepUnit    = 100 * time.Microsecond
)

// encodeLoad encodes a load with its age at now.
func encodeLoad(now time.Time, id uint64, load *engine.Load, metadata uint16, sources Sources) loadRecord {
	return loadRecord{
		Engine:       id,
		Running:      clamp16(load.Running),
		Waiting:      clamp16(load.Waiting),
		RunningBatch: clamp16(load.RunningBatch),
		WaitingBatch: clamp16(load.WaitingBatch),
		AgeMS:        clamp16(int(now.Sub(load.At).Milliseconds())),
		StepTenths:   clamp16(int(load.StepTime / stepUnit)),
		Tokens:       clamp16(int(load.TokensPerStep * tokensScale)),
		Metadata:     metadata,
		KVUse:        uint8(min(max(load.KVUse, 0), 1) * kvScale),
		Sources:      sources,
		Measured:     !load.At.IsZero(),
	}
}

// decodeLoad decodes a record; other fields are copied from previous.
func decodeLoad(now time.Time, record *loadRecord, previous engine.Load) engine.Load {
	load := previous
	load.At = time.Time{}
	if record.Measured {
		load.At = now.Add(-time.Duration(record.AgeMS) * time.Millisecond)
	}
	load.Running = int(record.Running)
	load.Waiting = int(record.Waiting)
	load.RunningBatch = int(record.RunningBatch)
	load.WaitingBatch = int(record.WaitingBatch)
	load.StepTime = time.Duration(record.StepTenths) * stepUnit
	load.TokensPerStep = float64(record.Tokens) / tokensScale
	load.KVUse = float64(record.KVUse) / kvScale
	load.Draining = record.Sources&SourceReport != 0
	return load
}

// metadataHash hashes what a load record does not carry.
func metadataHash(load *engine.Load) uint16 {
	var digest xxhash.Digest
	digest.Reset()
	for _, list := range [][]string{load.Models, load.Adapters} {
		for _, text := range list {
			_, _ = digest.WriteString(text)
			_, _ = digest.Write([]byte{0})
		}
		_, _ = digest.Write([]byte{1})
	}
	var token [8]byte
	binary.BigEndian.PutUint64(token[:], load.FencingToken)
	_, _ = digest.Write(token[:])
	return uint16(digest.Sum64())
}

// entry is an engine's specification, load and metadata on the wire.
type entry struct {
	spec     fleet.Spec
	record   loadRecord
	models   []string // the models that the engine reports as loaded
	adapters []string
	token    uint64
}

func appendEntry(out []byte, e *entry) []byte {
	out = appendLoad(out, &e.record)
	out = binary.BigEndian.AppendUint64(out, e.token)
	for _, text := range []string{e.spec.Name, e.spec.Address, e.spec.Zone, e.spec.Region} {
		out = appendString(out, text)
	}
	for _, list := range [][]string{e.spec.Models, e.models, e.adapters} {
		out = appendStrings(out, list)
	}
	return out
}

func cutEntry(in []byte) (entry, []byte, error) {
	var e entry
	var err error
	if e.record, in, err = cutLoad(in); err != nil {
		return e, nil, err
	}
	if len(in) < 8 {
		return e, nil, fmt.Errorf("%w: short entry", errRecord)
	}
	e.token, in = binary.BigEndian.Uint64(in), in[8:]
	for _, text := range []*string{&e.spec.Name, &e.spec.Address, &e.spec.Zone, &e.spec.Region} {
		if *text, in, err = cutString(in); err != nil {
			return e, nil, err
		}
	}
	for _, list := range []*[]string{&e.spec.Models, &e.models, &e.adapters} {
		if *list, in, err = cutStrings(in); err != nil {
			return e, nil, err
		}
	}
	if e.spec.Name == "" || e.record.Engine != EngineID(e.spec.Name) {
		return e, nil, fmt.Errorf("%w: entry's name and id differ", errRecord)
	}
	return e, in, nil
}

func decodeEntries(in []byte) ([]entry, error) {
	var entries []entry
	for len(in) > 0 {
		e, rest, err := cutEntry(in)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
		in = rest
	}
	return entries, nil
}

func appendString(out []byte, text string) []byte {
	text = text[:min(len(text), 255)]
	out = append(out, byte(len(text)))
	return append(out, text...)
}

func cutString(in []byte) (string, []byte, error) {
	if len(in) == 0 || len(in) < 1+int(in[0]) {
		return "", nil, fmt.Errorf("%w: short string", errRecord)
	}
	end := 1 + int(in[0])
	return string(in[1:end]), in[end:], nil
}

func appendStrings(out []byte, list []string) []byte {
	list = list[:min(len(list), 255)]
	out = append(out, byte(len(list)))
	for _, text := range list {
		out = appendString(out, text)
	}
	return out
}

func cutStrings(in []byte) ([]string, []byte, error) {
	if len(in) == 0 {
		return nil, nil, fmt.Errorf("%w: short list", errRecord)
	}
	count := int(in[0])
	in = in[1:]
	var list []string
	for range count {
		text, rest, err := cutString(in)
		if err != nil {
			return nil, nil, err
		}
		list = append(list, text)
		in = rest
	}
	return list, in, nil
}

// EngineID returns an engine's id on the wire.
func EngineID(name string) uint64 { return xxhash.Sum64String(name) }

func zoneID(zone string) uint64 { return xxhash.Sum64String(zone) }

// listVersion identifies a version of a zone's list of engines.
type listVersion struct {
	Zone     uint64
	Revision uint64
	Hash     uint64
}

var listVersionSize = binary.Size(listVersion{})

func encodeVersions(versions []listVersion) []byte {
	out, err := binary.Append(nil, binary.BigEndian, versions)
	if err != nil {
		panic(err) // listVersion is of fixed size
	}
	return out
}

func decodeVersions(in []byte) ([]listVersion, error) {
	if len(in)%listVersionSize != 0 {
		return nil, fmt.Errorf("%w: %d bytes of versions", errRecord, len(in))
	}
	versions := make([]listVersion, len(in)/listVersionSize)
	if _, err := binary.Decode(in, binary.BigEndian, versions); err != nil {
		return nil, fmt.Errorf("%w: %w", errRecord, err)
	}
	return versions, nil
}

func encodeIDs(ids []uint64) []byte {
	out := make([]byte, 0, 8*len(ids))
	for _, id := range ids {
		out = binary.BigEndian.AppendUint64(out, id)
	}
	return out
}

func decodeIDs(in []byte) ([]uint64, error) {
	if len(in)%8 != 0 {
		return nil, fmt.Errorf("%w: %d bytes of ids", errRecord, len(in))
	}
	ids := make([]uint64, 0, len(in)/8)
	for ; len(in) > 0; in = in[8:] {
		ids = append(ids, binary.BigEndian.Uint64(in))
	}
	return ids, nil
}

// pullRequest asks for a zone's list, or only for the engines that follow.
type pullRequest struct {
	Zone uint64
}

// pullAnswer carries the list's version. Entries follow, and with contentView
// the raw summaries of the other zones.
type pullAnswer struct {
	Revision uint64
	ListHash uint64
	Content  pullContent
}

// pullContent is the kind of entries in an answer.
type pullContent uint8

const (
	contentSelected pullContent = iota + 1 // the requested engines
	contentList                            // a zone's list from the store, without loads and leaving reports
	contentView                            // the complete view of a member of the zone
)

func encodePull(zone uint64, ids []uint64) []byte {
	payload, err := wire.Marshal(messageVersion, pullRequest{Zone: zone}, encodeIDs(ids))
	if err != nil {
		panic(err) // pullRequest is of fixed size
	}
	return payload
}

func decodePull(payload []byte) (zone uint64, ids []uint64, err error) {
	var request pullRequest
	fields, err := wire.Unmarshal(payload, messageVersion, &request, 1)
	if err != nil {
		return 0, nil, err
	}
	ids, err = decodeIDs(fields[0])
	return request.Zone, ids, err
}
