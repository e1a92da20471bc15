package balance

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/wire"
)

// EngineKey stands for an engine's ID in load reports, to keep them small.
type EngineKey uint64

// KeyOf returns the key of an engine's ID.
func KeyOf(id string) EngineKey { return EngineKey(xxhash.Sum64String(id)) }

// Counts is how many requests an engine has, by class.
type Counts [classes]int

// Total adds the classes up.
func (c Counts) Total() int { return c[ClassOnline] + c[ClassBatch] }

// Report is what a node tells others of engines' load.
type Report map[EngineKey]Load

// Load is what is known of an engine's load.
type Load struct {
	// Counts are the requests under way from the reporting nodes.
	Counts
	// Seen is what the engine said lately that it has in all, from whomever; 0
	// if it said nothing lately.
	Seen int
	// Pending is the prompt tokens that the engine has still to read for the
	// reporting nodes.
	Pending int
}

// atLeast is the least load that the engine has.
func (l Load) atLeast() int { return max(l.Total(), l.Seen) }

const (
	reportVersion = 3
	// reportMost bounds the engines in a report, so that it fits a datagram.
	reportMost = 90
	reportSize = 8 + 2 + 2 + 2 + 4
)

type fixedReport struct{}

// Marshal encodes the report; if it is too long, the busiest engines stay.
func (r Report) Marshal() []byte {
	keys := make([]EngineKey, 0, len(r))
	for key := range r {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if a, b := r[keys[i]].atLeast(), r[keys[j]].atLeast(); a != b {
			return a > b
		}
		return keys[i] < keys[j]
	})
	body := make([]byte, 0, reportSize*min(len(keys), reportMost))
	for _, key := range keys[:min(len(keys), reportMost)] {
		body = binary.BigEndian.AppendUint64(body, uint64(key))
		body = binary.BigEndian.AppendUint16(body, uint16(r[key].Counts[ClassOnline]))
		body = binary.BigEndian.AppendUint16(body, uint16(r[key].Counts[ClassBatch]))
		body = binary.BigEndian.AppendUint16(body, uint16(r[key].Seen))
		body = binary.BigEndian.AppendUint32(body, uint32(max(0, r[key].Pending)))
	}
	encoded, err := wire.Marshal(reportVersion, fixedReport{}, body)
	if err != nil {
		panic(err) // fixedReport is not of fixed size
	}
	return encoded
}

// UnmarshalReport decodes what Marshal encoded.
func UnmarshalReport(encoded []byte) (Report, error) {
	fields, err := wire.Unmarshal(encoded, reportVersion, &fixedReport{}, 1)
	if err != nil {
		return nil, err
	}
	body := fields[0]
	if len(body)%reportSize != 0 {
		return nil, wire.ErrLength
	}
	report := Report{}
	for ; len(body) > 0; body = body[reportSize:] {
		report[EngineKey(binary.BigEndian.Uint64(body))] = Load{
			Counts: Counts{int(binary.BigEndian.Uint16(body[8:])), int(binary.BigEndian.Uint16(body[10:]))},
			Seen:   int(binary.BigEndian.Uint16(body[12:])), Pending: int(binary.BigEndian.Uint32(body[14:])),
		}
	}
	return report, nil
}
