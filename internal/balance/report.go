package balance

import (
	"encoding/binary"
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/wire"
)

// EngineKey is a 32-bit hash of an engine's ID, to keep load reports small. Colliding engines
// are counted together, which only makes both look busier.
type EngineKey uint32

// KeyOf returns the key of an engine's ID. It is the same for all incarnations of an
// instance, as nodes may learn of a new one at different times and earlier versions don't
// tell them apart.
func KeyOf(id string) EngineKey { return EngineKey(xxhash.Sum64String(catalog.Instance(id))) }

// Counts is the number of requests at an engine by class.
type Counts [numClasses]int

// Total returns the sum over the classes.
func (c Counts) Total() int { return c[ClassOnline] + c[ClassBatch] }

// Report is a node's load report by engine.
type Report map[EngineKey]Load

// Load is the known load of an engine.
type Load struct {
	// Counts are the requests in flight from the reporting nodes.
	Counts
	// EngineReported is the total load that the engine itself reported recently, from all
	// nodes; 0 if there is no recent report.
	EngineReported int
	// Pending is the number of prompt tokens that the engine has not yet read for the
	// reporting nodes.
	Pending int
}

// minLoad is a lower bound of the engine's load.
func (l Load) minLoad() int { return max(l.Total(), l.EngineReported) }

// Without returns the report less the other's counts, clamped at 0, as the two may differ in
// age.
func (r Report) Without(other Report) Report {
	difference := make(Report, len(r))
	for key, load := range r {
		known := other[key]
		for class := range load.Counts {
			load.Counts[class] = max(0, load.Counts[class]-known.Counts[class])
		}
		load.Pending = max(0, load.Pending-known.Pending)
		difference[key] = load
	}
	return difference
}

// Add adds another report to this one.
func (r Report) Add(other Report) {
	for key, load := range other {
		total := r[key]
		for class := range load.Counts {
			total.Counts[class] += load.Counts[class]
		}
		total.Pending += load.Pending
		total.EngineReported = max(total.EngineReported, load.EngineReported)
		r[key] = total
	}
}

// Online returns the number of online requests in flight.
func (r Report) Online() (requests int) {
	for _, load := range r {
		requests += load.Counts[ClassOnline]
	}
	return requests
}

const (
	reportVersion = 5
	// maxReportEngines bounds the number of engines in a report so that it fits into a
	// datagram.
	maxReportEngines = 150
	// reportEntrySize is the size of an engine's key, three counts and pending tokens.
	reportEntrySize = 4 + 3 + 2
	// pendingGranularity is the unit of pending tokens in an encoded report, rounded up.
	pendingGranularity = 16
)

type reportHeader struct{}

// Marshal encodes the report; if there are more than maxReportEngines engines, it keeps the
// busiest.
func (r Report) Marshal() []byte {
	keys := make([]EngineKey, 0, len(r))
	for key := range r {
		keys = append(keys, key)
	}
	if len(keys) > maxReportEngines {
		sort.Slice(keys, func(i, j int) bool {
			if a, b := r[keys[i]].minLoad(), r[keys[j]].minLoad(); a != b {
				return a > b
			}
			return keys[i] < keys[j]
		})
	}
	body := make([]byte, 0, reportEntrySize*min(len(keys), maxReportEngines))
	for _, key := range keys[:min(len(keys), maxReportEngines)] {
		body = r[key].append(binary.BigEndian.AppendUint32(body, uint32(key)))
	}
	encoded, err := wire.Marshal(reportVersion, reportHeader{}, body)
	if err != nil {
		panic(err) // can't happen: reportHeader has a fixed size
	}
	return encoded
}

// append encodes a load; values beyond a field's range are clamped.
func (l Load) append(body []byte) []byte {
	for _, count := range []int{l.Counts[ClassOnline], l.Counts[ClassBatch], l.EngineReported} {
		body = append(body, uint8(min(max(count, 0), math.MaxUint8)))
	}
	steps := (max(l.Pending, 0) + pendingGranularity - 1) / pendingGranularity
	return binary.BigEndian.AppendUint16(body, uint16(min(steps, math.MaxUint16)))
}

// UnmarshalReport decodes the output of Marshal.
func UnmarshalReport(encoded []byte) (Report, error) {
	fields, err := wire.Unmarshal(encoded, reportVersion, &reportHeader{}, 1)
	if err != nil {
		return nil, err
	}
	body := fields[0]
	if len(body)%reportEntrySize != 0 {
		return nil, wire.ErrLength
	}
	report := Report{}
	for ; len(body) > 0; body = body[reportEntrySize:] {
		report[EngineKey(binary.BigEndian.Uint32(body))] = Load{
			Counts: Counts{int(body[4]), int(body[5])}, EngineReported: int(body[6]), Pending: pendingGranularity * int(binary.BigEndian.Uint16(body[7:])),
		}
	}
	return report, nil
}
