package quota

import (
	"encoding/binary"
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/wire"
)

// Key stands for a tenant's name in messages, to keep them small. Of 50,000 tenants
// two share one in a quarter of fleets; both look busier then than they are.
type Key uint32

// KeyOf returns the key of a tenant's name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// Count is what nodes saw of a tenant's requests.
type Count struct {
	// Admitted were let through within the window.
	Admitted float64
	// Asked is how many a second asked lately, let through or not.
	Asked float64
}

// Counts are those of some tenants.
type Counts map[Key]Count

// held is the part of counts that is still within the window some time after they
// were told: all for hold, and then evenly less.
func held(age, hold, window time.Duration) float64 {
	return max(0, 1-float64(max(0, age-hold))/float64(window))
}

// add adds the part of other nodes' counts that is left after some time.
func (c Counts) add(other Counts, left float64, age time.Duration) {
	if left <= 0 {
		return
	}
	for key, count := range other {
		total := c[key]
		total.Admitted += count.Admitted * left
		total.Asked += faded(count.Asked, age)
		c[key] = total
	}
}

// raise makes the counts at least those of another view of the same nodes.
func (c Counts) raise(other Counts) {
	for key, count := range other {
		known := c[key]
		c[key] = Count{max(known.Admitted, count.Admitted), max(known.Asked, count.Asked)}
	}
}

// reduce takes other counts away, as far as there are so many.
func (c Counts) reduce(other Counts) {
	for key, count := range other {
		if known, found := c[key]; found {
			c[key] = Count{max(0, known.Admitted-count.Admitted), known.Asked}
		}
	}
}

// above is by how much the counts exceed those of another view.
func (c Counts) above(other Counts) Counts {
	rest := Counts{}
	for key, count := range c {
		if more := count.Admitted - other[key].Admitted; more > 0 {
			rest[key] = Count{Admitted: more}
		}
	}
	return rest
}

const (
	messageVersion = 2
	// countSize is a tenant's key, its requests in quarters, and its rate.
	countSize = 4 + 2 + 2
	// countsMost bounds the tenants in a message, so that it fits a datagram with
	// two lists.
	countsMost = 160
	// admittedUnit is the unit of admitted requests in a message: decay makes parts.
	admittedUnit = 0.25
)

// marshal encodes the counts, at most so many; the highest stay.
func (c Counts) marshal(most int) []byte {
	keys := make([]Key, 0, len(c))
	for key := range c {
		keys = append(keys, key)
	}
	if len(keys) > most {
		sort.Slice(keys, func(i, j int) bool {
			if a, b := c[keys[i]].Admitted, c[keys[j]].Admitted; a != b {
				return a > b
			}
			return keys[i] < keys[j]
		})
		keys = keys[:most]
	}
	encoded := make([]byte, 0, countSize*len(keys))
	for _, key := range keys {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(key))
		encoded = binary.BigEndian.AppendUint16(encoded, field(c[key].Admitted/admittedUnit))
		encoded = binary.BigEndian.AppendUint16(encoded, field(c[key].Asked))
	}
	return encoded
}

// field rounds up; what is larger than the field is at its most.
func field(value float64) uint16 { return uint16(min(math.Ceil(max(value, 0)), math.MaxUint16)) }

func unmarshalCounts(encoded []byte) (Counts, error) {
	if len(encoded)%countSize != 0 {
		return nil, wire.ErrLength
	}
	counts := make(Counts, len(encoded)/countSize)
	for ; len(encoded) > 0; encoded = encoded[countSize:] {
		counts[Key(binary.BigEndian.Uint32(encoded))] = Count{
			Admitted: admittedUnit * float64(binary.BigEndian.Uint16(encoded[4:])),
			Asked:    float64(binary.BigEndian.Uint16(encoded[6:])),
		}
	}
	return counts, nil
}

// Report is what a front node tells of the requests that it let through itself.
type Report struct {
	// Life is drawn when the node starts: counts of the life before stay beside its
	// own until they run out.
	Life   uint32
	Counts Counts
	// Gone says that the node reports to another data node from now on.
	Gone bool
	// Others is what the node remembers that others let through, if the receiver is
	// new to it: it may be new altogether, and know nothing of that.
	Others Counts
	// Unheard is told with Others: what the receiver may have no time to find out.
	Unheard Unheard
}

// Unheard says of how many zones nobody is heard, of so many zones in all: they may be
// cut off and go on.
type Unheard struct{ Zones, Of uint8 }

// part is the share of each limit that these zones may use.
func (u Unheard) part() float64 { return float64(u.Zones) / float64(max(1, u.Of)) }

// Sum is what a front node hears of all others.
type Sum struct {
	// Life is drawn when the sender starts.
	Life uint32
	// Counts are requests that somebody counted and, while a tenant asks for more and more,
	// those expected since. They are remembered and told again when data nodes are lost: room
	// that is kept must not pile up so, and what was expected runs out with the window.
	Counts Counts
	// Unheard is for what room is to be kept beside them, and Within which requests
	// among Counts use such room.
	Unheard Unheard
	Within  Counts
}

// Share is what a data node tells another one.
type Share struct {
	// Life is drawn when the sender starts: what it told in a life before stays beside
	// its share until it runs out.
	Life uint32
	// Zone is the sender's, and Counts those of its front nodes.
	Zone   string
	Counts Counts
	// Yours are counts of the receiver's zone that the sender remembers from a data
	// node that has fallen silent.
	Yours Counts
}

type fixedReport struct {
	Life    uint32
	Gone    bool
	Unheard Unheard
}

type fixedShare struct{ Life uint32 }

type fixedSum struct {
	Life    uint32
	Unheard Unheard
}

// Marshal encodes the report.
func (r Report) Marshal() []byte {
	counts := r.Counts.marshal(countsMost)
	others := r.Others.marshal(countsMost - len(counts)/countSize)
	return marshal(fixedReport{r.Life, r.Gone, r.Unheard}, counts, others)
}

// UnmarshalReport decodes what Report.Marshal encoded.
func UnmarshalReport(encoded []byte) (Report, error) {
	var fixed fixedReport
	fields, err := wire.Unmarshal(encoded, messageVersion, &fixed, 2)
	if err != nil {
		return Report{}, err
	}
	counts, err := unmarshalCounts(fields[0])
	if err != nil {
		return Report{}, err
	}
	others, err := unmarshalCounts(fields[1])
	return Report{Life: fixed.Life, Gone: fixed.Gone, Counts: counts, Others: others, Unheard: fixed.Unheard}, err
}

// Marshal encodes the share. The counts that the receiver's zone lacks fit what is
// left of a message.
func (s Share) Marshal() []byte {
	counts := s.Counts.marshal(countsMost)
	yours := s.Yours.marshal(countsMost - len(counts)/countSize)
	return marshal(fixedShare{s.Life}, []byte(s.Zone), counts, yours)
}

// UnmarshalShare decodes what Share.Marshal encoded.
func UnmarshalShare(encoded []byte) (Share, error) {
	var fixed fixedShare
	fields, err := wire.Unmarshal(encoded, messageVersion, &fixed, 3)
	if err != nil {
		return Share{}, err
	}
	counts, err := unmarshalCounts(fields[1])
	if err != nil {
		return Share{}, err
	}
	yours, err := unmarshalCounts(fields[2])
	return Share{Life: fixed.Life, Zone: string(fields[0]), Counts: counts, Yours: yours}, err
}

// Marshal encodes the sum. Of Within fits what Counts leave of a message: room is kept
// in full for tenants beyond that.
func (s Sum) Marshal() []byte {
	counts := s.Counts.marshal(countsMost)
	within := s.Within.marshal(countsMost - len(counts)/countSize)
	return marshal(fixedSum{s.Life, s.Unheard}, counts, within)
}

// UnmarshalSum decodes what Sum.Marshal encoded.
func UnmarshalSum(encoded []byte) (Sum, error) {
	var fixed fixedSum
	fields, err := wire.Unmarshal(encoded, messageVersion, &fixed, 2)
	if err != nil {
		return Sum{}, err
	}
	counts, err := unmarshalCounts(fields[0])
	if err != nil {
		return Sum{}, err
	}
	within, err := unmarshalCounts(fields[1])
	return Sum{Life: fixed.Life, Counts: counts, Unheard: fixed.Unheard, Within: within}, err
}

func marshal(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // a struct of this file is not of fixed size
	}
	return encoded
}
