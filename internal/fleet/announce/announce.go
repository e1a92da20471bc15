// Package announce queues notifications of online requests for the homes of
// their engines. The queue does no I/O: it takes requests and the time, and
// returns datagrams to send.
//
// A start is sent at once while the rate limit allows, so that the home
// reclaims batch capacity before the request arrives. Ends, and starts beyond
// the limit, wait for the next datagram to that home; a pending start and its
// end cancel each other out. This bounds the datagrams per second at any
// request rate.
package announce

import (
	"encoding/binary"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

const messageVersion = 1

const (
	// maxRate and minRate bound the datagrams per second: maxRate for a node
	// alone in its zone, minRate for one with manyPeers or more, whose other
	// messages cost more.
	maxRate   = 100
	minRate   = 10
	manyPeers = 32
	// burst is the number of starts that may exceed the rate at once.
	burst = 100
	// maxPending bounds the records pending for one home, so that they fit one
	// datagram.
	maxPending = 56
)

// Record is the start or the end of an online request at an engine.
type Record struct {
	Engine       uint64
	Request      uint64
	PromptTokens uint32
	Started      bool
}

type header struct {
	Count uint16
}

// Encode encodes records as a datagram payload.
func Encode(records []Record) []byte {
	body, err := binary.Append(nil, binary.BigEndian, records)
	if err == nil {
		body, err = wire.Marshal(messageVersion, header{Count: uint16(len(records))}, body)
	}
	if err != nil {
		panic(err) // Record is of fixed size
	}
	return body
}

// Decode decodes a datagram payload.
func Decode(payload []byte) ([]Record, error) {
	var head header
	fields, err := wire.Unmarshal(payload, messageVersion, &head, 1)
	if err != nil {
		return nil, err
	}
	if len(fields[0]) != int(head.Count)*binary.Size(Record{}) {
		return nil, fmt.Errorf("%w: %d announcements in %d bytes", wire.ErrLength, head.Count, len(fields[0]))
	}
	records := make([]Record, head.Count)
	if _, err := binary.Decode(fields[0], binary.BigEndian, records); err != nil {
		return nil, fmt.Errorf("announce: %w", err)
	}
	return records, nil
}

// RequestID returns a request's id on the wire.
func RequestID(request string) uint64 { return xxhash.Sum64String(request) }

// Datagram is an encoded announcement and its receiver.
type Datagram struct {
	Home    transport.Address
	Payload []byte
}

// Queue holds the pending records by home. It is not safe for concurrent use.
type Queue struct {
	limiter *rate.Limiter
	pending map[transport.Address][]Record
	// Dropped counts records discarded because maxPending was reached.
	Dropped uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		limiter: rate.NewLimiter(maxRate, burst),
		pending: map[transport.Address][]Record{},
	}
}

// SetPeers sets the rate limit from the number of live peers in the zone.
func (q *Queue) SetPeers(now time.Time, peers int) {
	share := float64(min(peers, manyPeers)) / manyPeers
	q.limiter.SetLimitAt(now, rate.Limit(maxRate-share*(maxRate-minRate)))
}

// Started queues a request's start, and returns a datagram if the rate allows
// sending it now.
func (q *Queue) Started(now time.Time, home transport.Address, record Record) []Datagram {
	record.Started = true
	q.enqueue(home, record)
	if !q.limiter.AllowN(now, 1) {
		return nil
	}
	return []Datagram{q.flush(home)}
}

// Finished queues a request's end for the next datagram to its home.
func (q *Queue) Finished(home transport.Address, record Record) {
	record.Started = false
	waiting := q.pending[home]
	for i := range waiting {
		if waiting[i].Request == record.Request && waiting[i].Engine == record.Engine && waiting[i].Started {
			q.pending[home] = append(waiting[:i], waiting[i+1:]...)
			return
		}
	}
	q.enqueue(home, record)
}

// Tick returns datagrams with the pending records, as far as the rate allows,
// starting with the home that has most. It is to be called about every 100 ms.
func (q *Queue) Tick(now time.Time) []Datagram {
	homes := make([]transport.Address, 0, len(q.pending))
	for home := range q.pending {
		homes = append(homes, home)
	}
	sort.Slice(homes, func(i, j int) bool {
		left, right := len(q.pending[homes[i]]), len(q.pending[homes[j]])
		if left != right {
			return left > right
		}
		return homes[i] < homes[j]
	})
	var datagrams []Datagram
	for _, home := range homes {
		if !q.limiter.AllowN(now, 1) {
			break
		}
		datagrams = append(datagrams, q.flush(home))
	}
	return datagrams
}

func (q *Queue) enqueue(home transport.Address, record Record) {
	waiting := q.pending[home]
	if len(waiting) >= maxPending {
		waiting = waiting[1:]
		q.Dropped++
	}
	q.pending[home] = append(waiting, record)
}

func (q *Queue) flush(home transport.Address) Datagram {
	datagram := Datagram{Home: home, Payload: Encode(q.pending[home])}
	delete(q.pending, home)
	return datagram
}
