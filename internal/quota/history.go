package quota

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/wire"
)

// SaveInterval is the interval at which a data node saves when requests were admitted. What is
// admitted after the last time is forgotten if all nodes are killed, which the tolerated overage covers.
const SaveInterval = 50 * time.Millisecond

const (
	historyVersion = 1
	// historySize is the encoded size of a tenant's history.
	historySize = 4 + 2 + 2*ringSize
	// demandHold is how long the demand before a restart is expected to go on: as long as front
	// nodes take to measure it anew.
	demandHold = 2 * rateTimeConstant
	// maxHistories bounds the tenants in an encoded history.
	maxHistories = 1024
)

// ErrChecksum means that an encoded history is damaged.
var ErrChecksum = errors.New("quota: checksum of the history does not match")

// Instant is a point in time that a later run of the process can compare with its own. The
// wall clock may be set in between, and the uptime restarts with the machine.
type Instant struct {
	Wall   time.Time
	Uptime time.Duration
}

// since returns the time since an earlier instant: the shorter one by the two clocks, so that
// no request is forgotten early, and at least 0.
func (i Instant) since(earlier Instant) time.Duration {
	return max(0, min(i.Wall.Sub(earlier.Wall), i.Uptime-earlier.Uptime))
}

// history tells when the requests of each tenant were admitted, and its last demand.
type history map[Key]*usage

type usage struct {
	admitted window
	demand   rate
}

// observe takes the requests by which counts exceed the history as admitted now. It drops
// tenants that have none within the window.
func (h history) observe(counts Counts, span time.Duration, now time.Time) {
	for key, count := range counts {
		u := h[key]
		if u == nil {
			u = &usage{admitted: window{span: span}}
			h[key] = u
		}
		u.admitted.addCount(int32(math.Round(max(0, count.Admitted-u.admitted.count(now)))), now)
		u.demand = rate{now, count.Demand}
	}
	for key, u := range h {
		if u.admitted.count(now) == 0 {
			delete(h, key)
		}
	}
}

func (h history) counts(now time.Time) Counts {
	counts := Counts{}
	for key, u := range h {
		if admitted := u.admitted.count(now); admitted > 0 {
			counts[key] = Count{admitted, u.demand.current(now)}
		}
	}
	return counts
}

// busiest returns the keys of at most n tenants, those with the most requests.
func (h history) busiest(n int, now time.Time) []Key {
	counts := h.counts(now)
	keys := make([]Key, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	return counts.largest(keys, n)
}

type historyHeader struct {
	Span, Wall, Uptime int64 // nanoseconds, Wall since 1970
	Checksum           uint64
}

// marshal encodes the history as of now, which is at on clocks that outlast the process.
func (h history) marshal(span time.Duration, now time.Time, at Instant) []byte {
	var content []byte
	for _, key := range h.busiest(maxHistories, now) {
		content = binary.BigEndian.AppendUint32(content, uint32(key))
		content = binary.BigEndian.AppendUint16(content, toUint16(h[key].demand.current(now)))
		for _, count := range h[key].admitted.chronological(now) {
			content = binary.BigEndian.AppendUint16(content, uint16(min(count, math.MaxUint16)))
		}
	}
	header := historyHeader{Span: int64(span), Wall: at.Wall.UnixNano(), Uptime: int64(at.Uptime)}
	header.Checksum = header.checksum(content)
	encoded, err := wire.Marshal(historyVersion, header, content)
	if err != nil {
		panic(err) // the header has a field of variable size
	}
	return encoded
}

func (h historyHeader) checksum(content []byte) uint64 {
	h.Checksum = 0
	header, _ := binary.Append(nil, binary.BigEndian, h) // of fixed size
	return xxhash.Sum64(append(header, content...))
}

// Saved is a history that an earlier run of a data node saved.
type Saved struct {
	at      Instant
	span    time.Duration
	content []byte
}

// UnmarshalSaved decodes what Collector.Save encoded. It returns ErrChecksum if the history is
// damaged, and errors of package wire.
func UnmarshalSaved(encoded []byte) (Saved, error) {
	var header historyHeader
	fields, err := wire.Unmarshal(encoded, historyVersion, &header, 1)
	if err != nil {
		return Saved{}, err
	}
	if header.checksum(fields[0]) != header.Checksum || len(fields[0])%historySize != 0 {
		return Saved{}, ErrChecksum
	}
	return Saved{Instant{time.Unix(0, header.Wall), time.Duration(header.Uptime)}, time.Duration(header.Span), fields[0]}, nil
}

// After reports whether s was saved later than other.
func (s Saved) After(other Saved) bool { return s.at.Wall.After(other.at.Wall) }

// history returns the history with the times of this process, whose present is now and at. A
// bucket's requests count as admitted at its end.
func (s Saved) history(now time.Time, at Instant) history {
	savedAt := now.Add(-at.since(s.at))
	length := s.span / buckets
	h := history{}
	for entry := range slices.Chunk(s.content, historySize) {
		demand := float64(binary.BigEndian.Uint16(entry[4:]))
		u := &usage{window{span: s.span}, rate{now.Add(demandHold), demand}}
		for i := range ringSize {
			count := binary.BigEndian.Uint16(entry[6+2*i:])
			u.admitted.addCount(int32(count), savedAt.Add(-time.Duration(ringSize-1-i)*length))
		}
		if u.admitted.count(now) > 0 {
			h[Key(binary.BigEndian.Uint32(entry))] = u
		}
	}
	return h
}

// Save encodes when the requests of limited tenants were admitted, by all nodes, for Restore
// after a restart. It returns nil if there were none within the window. It has to be called several
// times within the window, as it takes requests for admitted when it first sees them.
func (c *Collector) Save(limited func(Key) bool, now time.Time, at Instant) []byte {
	known := c.total("", now)
	known.mergeMax(c.rememberedCounts(known, now))
	known.add(c.expectedGrowth(now), 1, 0)
	for key := range known {
		if !limited(key) {
			delete(known, key)
		}
	}
	c.history.observe(known, c.window, now)
	if len(c.history) == 0 {
		return nil
	}
	return c.history.marshal(c.window, now, at)
}

// Restore counts what an earlier run of this node saved, until the window is over. Call it
// before other methods. It returns the number of tenants that have requests within the window.
func (c *Collector) Restore(saved Saved, now time.Time, at Instant) int {
	if saved.span != c.window {
		return 0
	}
	c.restored = saved.history(now, at)
	c.history = saved.history(now, at)
	return len(c.restored)
}

// Restored returns what is left within the window of the restored counts. Other data nodes learn
// them by LearnRemembered, as one may have started without its disk.
func (c *Collector) Restored(now time.Time) Counts { return c.restored.counts(now) }
