package balance

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/wire"
)

// EngineKey stands for an engine's ID in load reports, to keep them small. Two
// engines of 5,700 share one in fewer than 4 of 1,000 fleets; they count as one
// then, which only makes both look busier.
type EngineKey uint32

// KeyOf returns the key of an engine's ID. It is the same for all starts of an instance:
// nodes may hear of a start one after the other, and those of an earlier version tell
// starts not apart.
func KeyOf(id string) EngineKey { return EngineKey(xxhash.Sum64String(catalog.Instance(id))) }

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

// Without returns the report less what another one counts; nothing gets negative,
// as one of them may be a little older than the other.
func (r Report) Without(other Report) Report {
	rest := make(Report, len(r))
	for key, load := range r {
		known := other[key]
		for class := range load.Counts {
			load.Counts[class] = max(0, load.Counts[class]-known.Counts[class])
		}
		load.Pending = max(0, load.Pending-known.Pending)
		rest[key] = load
	}
	return rest
}

// Add adds another report to the report.
func (r Report) Add(other Report) {
	for key, load := range other {
		total := r[key]
		for class := range load.Counts {
			total.Counts[class] += load.Counts[class]
		}
		total.Pending += load.Pending
		total.Seen = max(total.Seen, load.Seen)
		r[key] = total
	}
}

const (
	reportVersion = 5
	// reportMost bounds the engines in a report, so that it fits a datagram.
	reportMost = 150
	// reportSize is an engine's key, three counts and its pending tokens.
	reportSize = 4 + 3 + 2
	// pendingStep is the unit of pending tokens in a report, rounded up.
	pendingStep = 16
)

type fixedReport struct{}

// Marshal encodes the report; if it is too long, the busiest engines stay.
func (r Report) Marshal() []byte {
	keys := make([]EngineKey, 0, len(r))
	for key := range r {
		keys = append(keys, key)
	}
	if len(keys) > reportMost {
		sort.Slice(keys, func(i, j int) bool {
			if a, b := r[keys[i]].atLeast(), r[keys[j]].atLeast(); a != b {
				return a > b
			}
			return keys[i] < keys[j]
		})
	}
	body := make([]byte, 0, reportSize*min(len(keys), reportMost))
	for _, key := range keys[:min(len(keys), reportMost)] {
		body = r[key].append(binary.BigEndian.AppendUint32(body, uint32(key)))
	}
	encoded, err := wire.Marshal(reportVersion, fixedReport{}, body)
	if err != nil {
		panic(err) // fixedReport is not of fixed size
	}
	return encoded
}

// append encodes a load; what is larger than its field is at its most.
func (l Load) append(body []byte) []byte {
	for _, count := range []int{l.Counts[ClassOnline], l.Counts[ClassBatch], l.Seen} {
		body = append(body, uint8(min(max(count, 0), math.MaxUint8)))
	}
	steps := (max(l.Pending, 0) + pendingStep - 1) / pendingStep
	return binary.BigEndian.AppendUint16(body, uint16(min(steps, math.MaxUint16)))
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
		report[EngineKey(binary.BigEndian.Uint32(body))] = Load{
			Counts: Counts{int(body[4]), int(body[5])}, Seen: int(body[6]), Pending: pendingStep * int(binary.BigEndian.Uint16(body[7:])),
		}
	}
	return report, nil
}
