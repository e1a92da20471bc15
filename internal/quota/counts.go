package quota

import (
	"encoding/binary"
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/wire"
)

// Key is the hash of a tenant's name, which keeps messages small. Tenants whose keys
// collide are counted as one; among 50,000 tenants the chance of any collision is 1/4.
type Key uint32

// KeyOf returns the key of a tenant's name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Count is the usage of one tenant.
type Count struct {
	// Admitted is the number of requests admitted within the window.
	Admitted float64
	// Demand is the recent rate of requests per second, admitted or not.
	Demand float64
}

// Counts maps tenants to their usage.
type Counts map[Key]Count

// remainingFraction is the fraction of counts of the given age that is still within the
// window: all of them for hold, then linearly fewer.
func remainingFraction(age, hold, window time.Duration) float64 {
	return max(0, 1-float64(max(0, age-hold))/float64(window))
}

// growthNoise returns by how much a count of steady requests may grow by chance within the
// given time: three standard deviations of the difference between the requests that arrive and
// those that leave the window. A count of zero is taken for one, as it tells no rate.
func growthNoise(count float64, elapsed, window time.Duration) float64 {
	arrivals := max(1, count) * min(1, elapsed.Seconds()/window.Seconds())
	return 3 * math.Sqrt(2*arrivals)
}

// add adds a fraction of other counts of the given age.
func (c Counts) add(other Counts, fraction float64, age time.Duration) {
	if fraction <= 0 {
		return
	}
	for key, count := range other {
		total := c[key]
		total.Admitted += count.Admitted * fraction
		total.Demand += decayedRate(count.Demand, age)
		c[key] = total
	}
}

// mergeMax raises each count to at least that of another view of the same nodes.
func (c Counts) mergeMax(other Counts) {
	for key, count := range other {
		known := c[key]
		c[key] = Count{max(known.Admitted, count.Admitted), max(known.Demand, count.Demand)}
	}
}

// subtract subtracts the admitted requests of other, down to zero.
func (c Counts) subtract(other Counts) {
	for key, count := range other {
		if known, found := c[key]; found {
			c[key] = Count{max(0, known.Admitted-count.Admitted), known.Demand}
		}
	}
}

// excessOver returns by how much the admitted requests exceed those of other.
func (c Counts) excessOver(other Counts) Counts {
	excess := Counts{}
	for key, count := range c {
		if difference := count.Admitted - other[key].Admitted; difference > 0 {
			excess[key] = Count{Admitted: difference}
		}
	}
	return excess
}

const (
	messageVersion = 2
	// countSize is the size of a key, the admitted requests in units and the demand.
	countSize = 4 + 2 + 2
	// maxCounts bounds the tenants in both lists of a message, so that it fits a datagram.
	maxCounts = 160
	// admittedUnit is the resolution of admitted requests in a message; expiry makes
	// them fractional.
	admittedUnit = 0.25
)

// marshal encodes at most maxTenants counts, those with the most admitted requests.
func (c Counts) marshal(maxTenants int) []byte {
	keys := make([]Key, 0, len(c))
	for key := range c {
		keys = append(keys, key)
	}
	keys = c.largest(keys, maxTenants)
	encoded := make([]byte, 0, countSize*len(keys))
	for _, key := range keys {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(key))
		encoded = binary.BigEndian.AppendUint16(encoded, toUint16(c[key].Admitted/admittedUnit))
		encoded = binary.BigEndian.AppendUint16(encoded, toUint16(c[key].Demand))
	}
	return encoded
}

// largest returns at most n of the keys, those with the most admitted requests. It may reorder keys.
func (c Counts) largest(keys []Key, n int) []Key {
	if len(keys) <= n {
		return keys
	}
	sort.Slice(keys, func(i, j int) bool {
		if a, b := c[keys[i]].Admitted, c[keys[j]].Admitted; a != b {
			return a > b
		}
		return keys[i] < keys[j]
	})
	return keys[:n]
}

// toUint16 rounds up and saturates.
func toUint16(value float64) uint16 { return uint16(min(math.Ceil(max(value, 0)), math.MaxUint16)) }

func unmarshalCounts(encoded []byte) (Counts, error) {
	if len(encoded)%countSize != 0 {
		return nil, wire.ErrLength
	}
	counts := make(Counts, len(encoded)/countSize)
	for ; len(encoded) > 0; encoded = encoded[countSize:] {
		counts[Key(binary.BigEndian.Uint32(encoded))] = Count{
			Admitted: admittedUnit * float64(binary.BigEndian.Uint16(encoded[4:])),
			Demand:   float64(binary.BigEndian.Uint16(encoded[6:])),
		}
	}
	return counts, nil
}

// Report is a front node's report of the requests it admitted itself.
type Report struct {
	// Incarnation is the node's incarnation number, drawn at its start. Counts of an earlier
	// incarnation are kept beside the present ones until they expire.
	Incarnation uint32
	Counts      Counts
	// Gone says that the node reports to another relay from now on.
	Gone bool
	// Remembered are the counts of other nodes, sent to a new relay, which may have
	// just started and not know them.
	Remembered Counts
	// SilentZones is sent with Remembered, as a new relay can't tell yet.
	SilentZones SilentZones
}

// SilentZones counts the zones that don't answer, and all zones. Silent zones may be
// partitioned and still admit requests.
type SilentZones struct{ Silent, Total uint8 }

// fraction is the part of each limit that is reserved for the silent zones.
func (z SilentZones) fraction() float64 { return float64(z.Silent) / float64(max(1, z.Total)) }

// Sum is the answer to a front node: the usage at all other front nodes.
type Sum struct {
	// Incarnation is the sender's, drawn at its start.
	Incarnation uint32
	// Counts are counted requests and the growth expected since. They exclude the
	// reserve: front nodes remember them and pass them on, and a reserve would add up.
	Counts Counts
	// SilentZones are the zones that a reserve is kept for, and InReserve the requests
	// among Counts that already use it.
	SilentZones SilentZones
	InReserve   Counts
}

// Share is a data node's message to another one.
type Share struct {
	// Incarnation is the sender's, drawn at its start. Counts of an earlier incarnation
	// are kept beside the present ones until they expire.
	Incarnation uint32
	// Zone is the sender's, and Counts those of its front nodes.
	Zone   string
	Counts Counts
	// Recovered are counts of the receiver's zone that the sender had from a data node
	// that is now silent.
	Recovered Counts
}

// Memory is a data node's message to another one, in a window after it started.
type Memory struct {
	// Counts are the requests that all nodes admitted before.
	Counts Counts
}

type memoryHeader struct{}

// Marshal encodes the message.
func (m Memory) Marshal() []byte { return marshal(memoryHeader{}, m.Counts.marshal(maxCounts)) }

// UnmarshalMemory decodes what Memory.Marshal encoded.
func UnmarshalMemory(encoded []byte) (Memory, error) {
	fields, err := wire.Unmarshal(encoded, messageVersion, &memoryHeader{}, 1)
	if err != nil {
		return Memory{}, err
	}
	counts, err := unmarshalCounts(fields[0])
	return Memory{counts}, err
}

type reportHeader struct {
	Incarnation uint32
	Gone        bool
	SilentZones SilentZones
}

type shareHeader struct{ Incarnation uint32 }

type sumHeader struct {
	Incarnation uint32
	SilentZones SilentZones
}

// Marshal encodes the report.
func (r Report) Marshal() []byte {
	counts := r.Counts.marshal(maxCounts)
	remembered := r.Remembered.marshal(maxCounts - len(counts)/countSize)
	return marshal(reportHeader{r.Incarnation, r.Gone, r.SilentZones}, counts, remembered)
}

// UnmarshalReport decodes what Report.Marshal encoded.
func UnmarshalReport(encoded []byte) (Report, error) {
	var header reportHeader
	fields, err := wire.Unmarshal(encoded, messageVersion, &header, 2)
	if err != nil {
		return Report{}, err
	}
	counts, err := unmarshalCounts(fields[0])
	if err != nil {
		return Report{}, err
	}
	remembered, err := unmarshalCounts(fields[1])
	return Report{Incarnation: header.Incarnation, Gone: header.Gone, Counts: counts, Remembered: remembered, SilentZones: header.SilentZones}, err
}

// Marshal encodes the share. Recovered gets the space that Counts leave.
func (s Share) Marshal() []byte {
	counts := s.Counts.marshal(maxCounts)
	recovered := s.Recovered.marshal(maxCounts - len(counts)/countSize)
	return marshal(shareHeader{s.Incarnation}, []byte(s.Zone), counts, recovered)
}

// UnmarshalShare decodes what Share.Marshal encoded.
func UnmarshalShare(encoded []byte) (Share, error) {
	var header shareHeader
	fields, err := wire.Unmarshal(encoded, messageVersion, &header, 3)
	if err != nil {
		return Share{}, err
	}
	counts, err := unmarshalCounts(fields[1])
	if err != nil {
		return Share{}, err
	}
	recovered, err := unmarshalCounts(fields[2])
	return Share{Incarnation: header.Incarnation, Zone: string(fields[0]), Counts: counts, Recovered: recovered}, err
}

// Marshal encodes the sum. InReserve gets the space that Counts leave; for tenants cut
// off there, the reserve is kept in full.
func (s Sum) Marshal() []byte {
	counts := s.Counts.marshal(maxCounts)
	inReserve := s.InReserve.marshal(maxCounts - len(counts)/countSize)
	return marshal(sumHeader{s.Incarnation, s.SilentZones}, counts, inReserve)
}

// UnmarshalSum decodes what Sum.Marshal encoded.
func UnmarshalSum(encoded []byte) (Sum, error) {
	var header sumHeader
	fields, err := wire.Unmarshal(encoded, messageVersion, &header, 2)
	if err != nil {
		return Sum{}, err
	}
	counts, err := unmarshalCounts(fields[0])
	if err != nil {
		return Sum{}, err
	}
	inReserve, err := unmarshalCounts(fields[1])
	return Sum{Incarnation: header.Incarnation, Counts: counts, SilentZones: header.SilentZones, InReserve: inReserve}, err
}

func marshal(header any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, header, fields...)
	if err != nil {
		panic(err) // the header has a field of variable size
	}
	return encoded
}
