package dissemination

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/wire"
)

const messageVersion = 1

// Delta holds every change after From up to To.
type Delta struct {
	From, To settings.Version
	// Exact restricts the delta to a state at exactly From, as a change of
	// epoch requires.
	Exact bool
	// Digest covers the whole content at To.
	Digest uint64
	// Age is the time since the store confirmed To to be its newest.
	Age     time.Duration
	Entries []Entry
}

func (d *Delta) size() int {
	size := 0
	for i := range d.Entries {
		size += d.Entries[i].size()
	}
	return size
}

// Digest summarizes what its sender has in force.
type Digest struct {
	Version settings.Version
	Known   bool
	// Answer marks a reply, which is not answered with a digest.
	Answer bool
	Digest uint64
	Age    time.Duration
}

// Pull asks a peer for its changes after Have.
type Pull struct {
	Have  settings.Version
	Known bool
	// Buckets are the requester's bucket digests; without them only logged
	// deltas are requested.
	Buckets []uint64
}

// PullAnswer answers a Pull: deltas from the log, or whole buckets, or neither
// if the log does not reach back and the pull named no buckets.
type PullAnswer struct {
	Version settings.Version
	Known   bool
	Digest  uint64
	Age     time.Duration
	Deltas  []Delta
	Buckets []Bucket
}

// Bucket is the whole content of one bucket.
type Bucket struct {
	Number  uint8
	Entries []Entry
}

// Report summarizes what a subtree of a zone has in force.
type Report struct {
	Minimum, Maximum settings.Version
	Nodes, Stale     uint16
	// Unset counts the nodes without any settings.
	Unset uint16
}

// ZoneReport is the Report of a whole zone.
type ZoneReport struct {
	Zone, Region string
	Report       Report
	// Age is the time since the zone's head created it.
	Age time.Duration
}

// The fixed parts of the messages.
type (
	deltaHeader struct {
		From, To, Digest uint64
		AgeMS            uint32
		Exact            uint8
	}
	digestBody struct {
		Version, Digest uint64
		AgeMS           uint32
		Flags           uint8
	}
	pullHeader struct {
		Have  uint64
		Known uint8
	}
	answerHeader struct {
		Version, Digest uint64
		AgeMS           uint32
		Known           uint8
		Deltas          uint16
	}
	reportBody struct {
		Minimum, Maximum    uint64
		Nodes, Stale, Unset uint16
	}
	zoneHeader struct {
		Report reportBody
		AgeMS  uint32
	}
	entryHeader struct {
		Revision   uint64
		Deleted    uint8
		NameLength uint16
		SpecLength uint32
	}
)

const (
	flagKnown  = 1 << 0
	flagAnswer = 1 << 1
)

func bit(set bool) uint8 {
	if set {
		return 1
	}
	return 0
}

func milliseconds(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func appendEntries(out []byte, entries []Entry) []byte {
	for i := range entries {
		entry := &entries[i]
		out, _ = binary.Append(out, binary.BigEndian, entryHeader{
			Revision: entry.Revision, Deleted: bit(entry.Deleted),
			NameLength: uint16(len(entry.Name)), SpecLength: uint32(len(entry.Spec)),
		})
		out = append(out, entry.Name...)
		out = append(out, entry.Spec...)
	}
	return out
}

func parseEntries(data []byte) ([]Entry, error) {
	var entries []Entry
	for len(data) > 0 {
		var header entryHeader
		read, err := binary.Decode(data, binary.BigEndian, &header)
		if err != nil {
			return nil, fmt.Errorf("%w: entry header", wire.ErrLength)
		}
		data = data[read:]
		nameLength, specLength := int(header.NameLength), int(header.SpecLength)
		if nameLength+specLength > len(data) || header.Deleted > 1 {
			return nil, fmt.Errorf("%w: entry of %d bytes", wire.ErrLength, nameLength+specLength)
		}
		entry := Entry{Name: string(data[:nameLength]), Revision: header.Revision, Deleted: header.Deleted == 1}
		if specLength > 0 {
			entry.Spec = append([]byte(nil), data[nameLength:nameLength+specLength]...)
		}
		entries = append(entries, entry)
		data = data[nameLength+specLength:]
	}
	return entries, nil
}

// Marshal encodes the message.
func (d *Delta) Marshal() ([]byte, error) {
	header := deltaHeader{From: uint64(d.From), To: uint64(d.To), Digest: d.Digest, AgeMS: milliseconds(d.Age), Exact: bit(d.Exact)}
	return wire.Marshal(messageVersion, header, appendEntries(nil, d.Entries))
}

// UnmarshalDelta decodes a Delta.
func UnmarshalDelta(data []byte) (*Delta, error) {
	var header deltaHeader
	fields, err := wire.Unmarshal(data, messageVersion, &header, 1)
	if err != nil {
		return nil, err
	}
	entries, err := parseEntries(fields[0])
	if err != nil {
		return nil, err
	}
	return &Delta{
		From: settings.Version(header.From), To: settings.Version(header.To), Exact: header.Exact != 0,
		Digest: header.Digest, Age: duration(header.AgeMS), Entries: entries,
	}, nil
}

// Marshal encodes the message.
func (d *Digest) Marshal() ([]byte, error) {
	body := digestBody{Version: uint64(d.Version), Digest: d.Digest, AgeMS: milliseconds(d.Age)}
	body.Flags = bit(d.Known)*flagKnown | bit(d.Answer)*flagAnswer
	return wire.Marshal(messageVersion, body)
}

// UnmarshalDigest decodes a Digest.
func UnmarshalDigest(data []byte) (*Digest, error) {
	var body digestBody
	if _, err := wire.Unmarshal(data, messageVersion, &body, 0); err != nil {
		return nil, err
	}
	return &Digest{
		Version: settings.Version(body.Version), Digest: body.Digest, Age: duration(body.AgeMS),
		Known: body.Flags&flagKnown != 0, Answer: body.Flags&flagAnswer != 0,
	}, nil
}

// Marshal encodes the message.
func (p *Pull) Marshal() ([]byte, error) {
	buckets := make([]byte, 0, len(p.Buckets)*8)
	for _, bucket := range p.Buckets {
		buckets = binary.BigEndian.AppendUint64(buckets, bucket)
	}
	return wire.Marshal(messageVersion, pullHeader{Have: uint64(p.Have), Known: bit(p.Known)}, buckets)
}

// UnmarshalPull decodes a Pull.
func UnmarshalPull(data []byte) (*Pull, error) {
	var header pullHeader
	fields, err := wire.Unmarshal(data, messageVersion, &header, 1)
	if err != nil {
		return nil, err
	}
	if length := len(fields[0]); length != 0 && length != BucketCount*8 {
		return nil, fmt.Errorf("%w: %d bytes of bucket digests", wire.ErrLength, length)
	}
	pull := &Pull{Have: settings.Version(header.Have), Known: header.Known != 0}
	for rest := fields[0]; len(rest) > 0; rest = rest[8:] {
		pull.Buckets = append(pull.Buckets, binary.BigEndian.Uint64(rest))
	}
	return pull, nil
}

// Marshal encodes the message.
func (a *PullAnswer) Marshal() ([]byte, error) {
	header := answerHeader{
		Version: uint64(a.Version), Digest: a.Digest, AgeMS: milliseconds(a.Age),
		Known: bit(a.Known), Deltas: uint16(len(a.Deltas)),
	}
	fields := make([][]byte, 0, len(a.Deltas)+len(a.Buckets))
	for i := range a.Deltas {
		field, err := a.Deltas[i].Marshal()
		if err != nil {
			return nil, err
		}
		fields = append(fields, field)
	}
	for _, bucket := range a.Buckets {
		fields = append(fields, appendEntries([]byte{bucket.Number}, bucket.Entries))
	}
	return wire.Marshal(messageVersion, header, fields...)
}

// UnmarshalPullAnswer decodes a PullAnswer.
func UnmarshalPullAnswer(data []byte) (*PullAnswer, error) {
	var header answerHeader
	fields, err := wire.Unmarshal(data, messageVersion, &header, -1)
	if err != nil {
		return nil, err
	}
	if int(header.Deltas) > len(fields) {
		return nil, fmt.Errorf("%w: %d deltas in %d fields", wire.ErrLength, header.Deltas, len(fields))
	}
	answer := &PullAnswer{
		Version: settings.Version(header.Version), Known: header.Known != 0,
		Digest: header.Digest, Age: duration(header.AgeMS),
	}
	for _, field := range fields[:header.Deltas] {
		delta, err := UnmarshalDelta(field)
		if err != nil {
			return nil, err
		}
		answer.Deltas = append(answer.Deltas, *delta)
	}
	for _, field := range fields[header.Deltas:] {
		if len(field) == 0 {
			return nil, fmt.Errorf("%w: empty bucket", wire.ErrLength)
		}
		entries, err := parseEntries(field[1:])
		if err != nil {
			return nil, err
		}
		answer.Buckets = append(answer.Buckets, Bucket{Number: field[0], Entries: entries})
	}
	return answer, nil
}

func (r *Report) body() reportBody {
	return reportBody{Minimum: uint64(r.Minimum), Maximum: uint64(r.Maximum), Nodes: r.Nodes, Stale: r.Stale, Unset: r.Unset}
}

func (b *reportBody) report() Report {
	return Report{
		Minimum: settings.Version(b.Minimum), Maximum: settings.Version(b.Maximum),
		Nodes: b.Nodes, Stale: b.Stale, Unset: b.Unset,
	}
}

// Marshal encodes the message.
func (r *Report) Marshal() ([]byte, error) { return wire.Marshal(messageVersion, r.body()) }

// UnmarshalReport decodes a Report.
func UnmarshalReport(data []byte) (*Report, error) {
	var body reportBody
	if _, err := wire.Unmarshal(data, messageVersion, &body, 0); err != nil {
		return nil, err
	}
	report := body.report()
	return &report, nil
}

// Marshal encodes the message.
func (z *ZoneReport) Marshal() ([]byte, error) {
	header := zoneHeader{Report: z.Report.body(), AgeMS: milliseconds(z.Age)}
	return wire.Marshal(messageVersion, header, []byte(z.Zone), []byte(z.Region))
}

// UnmarshalZoneReport decodes a ZoneReport.
func UnmarshalZoneReport(data []byte) (*ZoneReport, error) {
	var header zoneHeader
	fields, err := wire.Unmarshal(data, messageVersion, &header, 2)
	if err != nil {
		return nil, err
	}
	return &ZoneReport{
		Zone: string(fields[0]), Region: string(fields[1]),
		Report: header.Report.report(), Age: duration(header.AgeMS),
	}, nil
}

// zoneStatusBody is the fixed part of one encoded ZoneStatus.
type zoneStatusBody struct {
	Report  reportBody
	Members uint16
	Known   uint8
	AgeMS   uint32
}

// zoneStatusFields is the number of variable fields of one ZoneStatus.
const zoneStatusFields = 3

// MarshalZones encodes the zone statuses that a head returns.
func MarshalZones(zones []ZoneStatus) ([]byte, error) {
	fields := make([][]byte, 0, len(zones)*zoneStatusFields)
	for i := range zones {
		zone := &zones[i]
		report := Report{
			Minimum: zone.Minimum, Maximum: zone.Maximum,
			Nodes: uint16(zone.Reported), Stale: uint16(zone.Stale), Unset: uint16(zone.Unset),
		}
		body, err := binary.Append(nil, binary.BigEndian, zoneStatusBody{
			Report: report.body(), Members: uint16(zone.Members), Known: bit(zone.Known), AgeMS: milliseconds(zone.Age),
		})
		if err != nil {
			return nil, err
		}
		fields = append(fields, body, []byte(zone.Zone), []byte(zone.Region))
	}
	return wire.Marshal(messageVersion, struct{ Zones uint16 }{uint16(len(zones))}, fields...)
}

// UnmarshalZones decodes the zone statuses that a head returns.
func UnmarshalZones(data []byte) ([]ZoneStatus, error) {
	var header struct{ Zones uint16 }
	fields, err := wire.Unmarshal(data, messageVersion, &header, -1)
	if err != nil {
		return nil, err
	}
	if len(fields) != int(header.Zones)*zoneStatusFields {
		return nil, fmt.Errorf("%w: %d zones in %d fields", wire.ErrLength, header.Zones, len(fields))
	}
	var zones []ZoneStatus
	for ; len(fields) > 0; fields = fields[zoneStatusFields:] {
		var body zoneStatusBody
		if len(fields[0]) != binary.Size(body) {
			return nil, fmt.Errorf("%w: zone status", wire.ErrLength)
		}
		if _, err := binary.Decode(fields[0], binary.BigEndian, &body); err != nil {
			return nil, err
		}
		report := body.Report.report()
		zones = append(zones, ZoneStatus{
			Zone: string(fields[1]), Region: string(fields[2]), Minimum: report.Minimum, Maximum: report.Maximum,
			Reported: int(report.Nodes), Members: int(body.Members), Stale: int(report.Stale), Unset: int(report.Unset),
			Known: body.Known != 0, Age: duration(body.AgeMS),
		})
	}
	return zones, nil
}
