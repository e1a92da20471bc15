package balance

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/wire"
)

// ErrZoneShare is returned when a request is refused as callers of other zones get less of
// the room. It matches ErrNoRoom.
var ErrZoneShare = fmt.Errorf("%w: the room is left to callers of other zones", ErrNoRoom)

const (
	// demandTime is the averaging time of demand: as short as counts of a front node with a few
	// requests a second allow.
	demandTime = time.Second
	// demandTTL is how long the zones' demand counts after its last message.
	demandTTL = 500 * time.Millisecond
	// minDemand is the number of requests from which on a zone's figures count.
	minDemand = 10
	// tolerance is the part of a zone's requests below which it leaves nothing to others.
	tolerance = 0.02
	// minPassing bounds how much a zone leaves to others, so that a false figure can't stop it.
	minPassing = 0.25

	demandVersion   = 1
	demandEntrySize = 3*4 + 3*2
	// maxDemandEntries bounds a message so that it fits into a datagram.
	maxDemandEntries = 60
	// demandGranularity is the number of encoded units a request.
	demandGranularity = 8
)

var errDemandSize = errors.New("balance: malformed demand")

// DemandKey identifies the callers of a zone that ask for a service, by hashes of the names.
// Room is shared among zones of one region.
type DemandKey struct{ Service, Zone, Region uint32 }

func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// DemandCounts counts first tries of requests, recent ones more: all, those that weren't left
// to other zones, and those of them that got an engine.
type DemandCounts struct{ Asked, Passed, Admitted float64 }

// Demand holds counts by zone and service.
type Demand map[DemandKey]DemandCounts

// Add adds another node's or zone's counts.
func (d Demand) Add(other Demand) {
	for key, counts := range other {
		total := d[key]
		total.Asked += counts.Asked
		total.Passed += counts.Passed
		total.Admitted += counts.Admitted
		d[key] = total
	}
}

// Short returns the counts of services that can't serve all zones' requests.
func (d Demand) Short() Demand {
	refused := map[uint32]bool{}
	for key, counts := range d {
		if counts.Admitted < 0.99*counts.Asked {
			refused[key.Service] = true
		}
	}
	short := Demand{}
	for key, counts := range d {
		if refused[key.Service] {
			short[key] = counts
		}
	}
	return short
}

type demandHeader struct{ FromData bool }

// Marshal encodes the demand; fromData tells that a data node sends it. The services most
// asked for are kept if there are too many.
func (d Demand) Marshal(fromData bool) []byte {
	keys := make([]DemandKey, 0, len(d))
	for key := range d {
		keys = append(keys, key)
	}
	if len(keys) > maxDemandEntries {
		slices.SortFunc(keys, func(a, b DemandKey) int { return int(math.Round(d[b].Asked - d[a].Asked)) })
		keys = keys[:maxDemandEntries]
	}
	body := make([]byte, 0, demandEntrySize*len(keys))
	for _, key := range keys {
		for _, hash := range []uint32{key.Service, key.Zone, key.Region} {
			body = binary.BigEndian.AppendUint32(body, hash)
		}
		counts := d[key]
		for _, count := range []float64{counts.Asked, counts.Passed, counts.Admitted} {
			body = binary.BigEndian.AppendUint16(body, uint16(min(math.Round(demandGranularity*count), math.MaxUint16)))
		}
	}
	encoded, err := wire.Marshal(demandVersion, demandHeader{fromData}, body)
	if err != nil {
		panic(err) // can't happen: demandHeader has a fixed size
	}
	return encoded
}

// UnmarshalDemand decodes the output of Marshal. Counts that contradict each other are
// clamped.
func UnmarshalDemand(encoded []byte) (demand Demand, fromData bool, err error) {
	var header demandHeader
	fields, err := wire.Unmarshal(encoded, demandVersion, &header, 1)
	if err != nil {
		return nil, false, err
	}
	if len(fields[0])%demandEntrySize != 0 {
		return nil, false, errDemandSize
	}
	demand = Demand{}
	for body := fields[0]; len(body) > 0; body = body[demandEntrySize:] {
		hash := func(i int) uint32 { return binary.BigEndian.Uint32(body[4*i:]) }
		count := func(i int) float64 { return float64(binary.BigEndian.Uint16(body[12+2*i:])) / demandGranularity }
		asked := count(0)
		passed := min(count(1), asked)
		demand[DemandKey{hash(0), hash(1), hash(2)}] = DemandCounts{asked, passed, min(count(2), passed)}
	}
	return demand, header.FromData, nil
}

// ZoneShares decides which requests of a front node are refused so that callers of all zones
// of a region get the same part of a service's room: a zone with few requests for its engines
// would else serve nearly all of them, while a zone whose demand jumped refuses most. It is
// pure and not safe for concurrent use.
type ZoneShares struct {
	zone, region uint32
	own          map[uint32]*ownDemand // by service
	total        Demand
	totalAt      time.Time
}

// ownDemand is a node's own demand for a service.
type ownDemand struct {
	DemandCounts
	at time.Time
}

// NewZoneShares returns the shares of a front node's zone.
func NewZoneShares(zone, region string) *ZoneShares {
	return &ZoneShares{zone: hashName(zone), region: hashName(region), own: map[uint32]*ownDemand{}}
}

func (z *ZoneShares) demand(service uint32, now time.Time) *ownDemand {
	own := z.own[service]
	if own == nil {
		own = &ownDemand{at: now}
		z.own[service] = own
	}
	decay := math.Exp(-max(0, now.Sub(own.at).Seconds()) / demandTime.Seconds())
	own.Asked, own.Passed, own.Admitted, own.at = own.Asked*decay, own.Passed*decay, own.Admitted*decay, now
	return own
}

// Pass counts a request and reports whether it may look for an engine. draw is uniform in
// [0, 1).
func (z *ZoneShares) Pass(service string, now time.Time, draw float64) bool {
	hash := hashName(service)
	own := z.demand(hash, now)
	own.Asked++
	if draw >= z.passing(hash, now) {
		return false
	}
	own.Passed++
	return true
}

// Admitted counts a request that passed and got an engine.
func (z *ZoneShares) Admitted(service string, now time.Time) {
	z.demand(hashName(service), now).Admitted++
}

// passing returns the fraction of this zone's requests that may look for an engine, so that
// the part that gets one is that of all zones. The zone whose requests find room least leaves
// nothing to others: else all zones could go on leaving room to each other after a shortage.
func (z *ZoneShares) passing(service uint32, now time.Time) float64 {
	own := z.total[DemandKey{service, z.zone, z.region}]
	if now.Sub(z.totalAt) > demandTTL || own.Asked < minDemand || own.Admitted <= 0 {
		return 1
	}
	asked, admitted, leastRoom := 0.0, 0.0, 1.0
	for key, counts := range z.total {
		if key.Service != service || key.Region != z.region {
			continue
		}
		asked += counts.Asked
		admitted += counts.Admitted
		if counts.Asked >= minDemand {
			leastRoom = min(leastRoom, counts.foundRoom())
		}
	}
	served := admitted / asked
	passing := min(1, served/own.foundRoom())
	if served < leastRoom {
		passing /= served / leastRoom
	}
	if passing > 1-tolerance {
		return 1
	}
	return max(minPassing, passing)
}

// foundRoom returns the part of the requests let pass that got an engine.
func (c DemandCounts) foundRoom() float64 {
	if c.Passed <= 0 {
		return 1
	}
	return c.Admitted / c.Passed
}

// Own returns this node's demand.
func (z *ZoneShares) Own(now time.Time) Demand {
	own := Demand{}
	for service := range z.own {
		counts := z.demand(service, now).DemandCounts
		if counts.Asked < 1.0/demandGranularity {
			delete(z.own, service)
			continue
		}
		own[DemandKey{service, z.zone, z.region}] = counts
	}
	return own
}

// SetTotal records the demand of all zones.
func (z *ZoneShares) SetTotal(total Demand, now time.Time) { z.total, z.totalAt = total, now }

// DemandExchange sums at a data node what front nodes and other data nodes send. It is not
// safe for concurrent use.
type DemandExchange struct {
	fronts, data map[string]receivedDemand
}

type receivedDemand struct {
	demand Demand
	at     time.Time
}

// NewDemandExchange returns an empty exchange.
func NewDemandExchange() *DemandExchange {
	return &DemandExchange{fronts: map[string]receivedDemand{}, data: map[string]receivedDemand{}}
}

// Receive records what a front node or, with fromData set, another data node sent.
func (e *DemandExchange) Receive(from string, demand Demand, fromData bool, now time.Time) {
	if fromData {
		e.data[from] = receivedDemand{demand, now}
	} else {
		e.fronts[from] = receivedDemand{demand, now}
	}
}

// Share returns the recent demand of the front nodes, for other data nodes.
func (e *DemandExchange) Share(now time.Time) Demand { return sumDemand(Demand{}, e.fronts, now) }

// Total returns the recent demand of all zones.
func (e *DemandExchange) Total(now time.Time) Demand { return sumDemand(e.Share(now), e.data, now) }

func sumDemand(sum Demand, received map[string]receivedDemand, now time.Time) Demand {
	for from, last := range received {
		if now.Sub(last.at) > demandTTL {
			delete(received, from)
			continue
		}
		sum.Add(last.demand)
	}
	return sum
}
