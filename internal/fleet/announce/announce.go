// Package announce tells the homes of engines of online requests, as a pure
// queue: requests and time go in, datagrams come out.
//
// A start is sent at once while the rate allows it, so that the home takes
// back batch slack before the request arrives. Ends, and starts beyond the
// rate, wait for the next datagram to that home; a start and its end that both
// wait cancel each other out. So the bytes a second are bounded however many
// requests there are, and at a low rate every request is announced.
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
	// highRate and lowRate bound the datagrams a second of a node alone in its
	// zone and of one with many peers, whose other messages cost more.
	highRate  = 100
	lowRate   = 10
	manyPeers = 32
	// burst is the number of starts that are announced at once beyond the rate.
	burst = 100
	// maxWaiting bounds what waits for one home; it fits one datagram.
	maxWaiting = 56
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

// Encode packs records into a datagram.
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

// Decode unpacks a datagram.
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

// RequestID is a request's id on the wire.
func RequestID(request string) uint64 { return xxhash.Sum64String(request) }

// Datagram is an announcement to send.
type Datagram struct {
	Home    transport.Address
	Payload []byte
}

// Queue holds what waits. Its methods must not be called at once with each other.
type Queue struct {
	limiter *rate.Limiter
	waiting map[transport.Address][]Record
	// Dropped counts records that found no place.
	Dropped uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		limiter: rate.NewLimiter(highRate, burst),
		waiting: map[transport.Address][]Record{},
	}
}

// SetPeers sets the rate by the number of live peers in the zone.
func (q *Queue) SetPeers(now time.Time, peers int) {
	share := float64(min(peers, manyPeers)) / manyPeers
	q.limiter.SetLimitAt(now, rate.Limit(highRate-share*(highRate-lowRate)))
}

// Started announces a request, at once if the rate allows it.
func (q *Queue) Started(now time.Time, home transport.Address, record Record) []Datagram {
	record.Started = true
	q.wait(home, record)
	if !q.limiter.AllowN(now, 1) {
		return nil
	}
	return []Datagram{q.send(home)}
}

// Finished notes a request's end for the next datagram to its home.
func (q *Queue) Finished(home transport.Address, record Record) {
	record.Started = false
	waiting := q.waiting[home]
	for i := range waiting {
		if waiting[i].Request == record.Request && waiting[i].Engine == record.Engine && waiting[i].Started {
			q.waiting[home] = append(waiting[:i], waiting[i+1:]...)
			return
		}
	}
	q.wait(home, record)
}

// Tick sends what waits, as far as the rate allows, the fullest first. Call
// it every 100 ms or so.
func (q *Queue) Tick(now time.Time) []Datagram {
	homes := make([]transport.Address, 0, len(q.waiting))
	for home := range q.waiting {
		homes = append(homes, home)
	}
	sort.Slice(homes, func(i, j int) bool {
		left, right := len(q.waiting[homes[i]]), len(q.waiting[homes[j]])
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
		datagrams = append(datagrams, q.send(home))
	}
	return datagrams
}

func (q *Queue) wait(home transport.Address, record Record) {
	waiting := q.waiting[home]
	if len(waiting) >= maxWaiting {
		waiting = waiting[1:]
		q.Dropped++
	}
	q.waiting[home] = append(waiting, record)
}

func (q *Queue) send(home transport.Address) Datagram {
	datagram := Datagram{Home: home, Payload: Encode(q.waiting[home])}
	delete(q.waiting, home)
	return datagram
}
