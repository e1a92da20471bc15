package system

import (
	"context"
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/origin"
	"chutelock.dev/chutelock/internal/telemetry"
	"chutelock.dev/chutelock/internal/transport"
)

// Messages about the origins of streams; see package origin. Nodes of earlier versions have no handlers for the
// later calls.
const (
	kindOriginRecord  transport.Kind = transport.KindOrigin + iota // datagram to a data node: origin.Record
	kindOriginQueryV1                                              // call to a data node: origin.QueryV1, answered by origin.Answer
	kindOriginQuery                                                // call to a data node: origin.Query, answered by origin.Answer
	kindOriginRelay                                                // call to a front node: origin.Query, answered by origin.Answer
)

const (
	// originTimeout bounds the calls for a record to the data nodes of one region. It is a few round trips
	// within a region, and short against the pause that callers bear within a stream.
	originTimeout = 250 * time.Millisecond
	// originRetryDelay is the pause before the homes in the own region are asked once more: the
	// record may be on its way.
	originRetryDelay = 20 * time.Millisecond
	// recordGrace is how long a record of one data node may come after the proof of another one.
	recordGrace = 20 * time.Millisecond
	// proofTimeout bounds the proof of a sole release, which takes one or two calls of the store, and
	// proverTimeout the call of a node that makes one.
	proofTimeout  = 400 * time.Millisecond
	proverTimeout = proofTimeout + 50*time.Millisecond
	// elsewhereDelay is how long a front node waits for data nodes before it asks elsewhere. It is longer
	// than a data node waits to share a read of the store (mirror.Confirm).
	elsewhereDelay = 60 * time.Millisecond
)

var (
	eventOrigin          = telemetry.Define(2209, "stream-origin", "A request continues a stream that another request began; gives the release of the engines that began it, and what tells so: a record here or at a data node, a sole release of the service, or none, which refuses the request. Also how many calls to data nodes were made and answered, how many were made to front nodes, and the age of the node's own list of engines.")
	eventReleaseUnproved = telemetry.Define(2211, "release-unproved", "By its own list of engines, this node knows a single release of a service, but could not confirm with the platform's store that the list is up to date.")
	eventOriginInvalid   = telemetry.Define(2210, "origin-message-unreadable", "A peer's message about the beginning of a stream could not be decoded and is ignored.")
)

// sourceOwn is the label of a record at the node itself.
const sourceOwn = "own-record"

// originStore holds records of streams. Its methods may be called concurrently.
type originStore struct {
	mutex sync.Mutex // guards table; a leaf
	table *origin.Table
}

func newOriginStore() *originStore { return &originStore{table: origin.NewTable()} }

func (s *originStore) put(record origin.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Put(record.Key, record.Release, clock.Now())
}

func (s *originStore) get(key origin.Key) (catalog.Release, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Get(key, clock.Now())
}

// answer returns what the records tell of a stream; records of several releases exclude a proof.
func (s *originStore) answer(key origin.Key) origin.Answer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := clock.Now()
	if release, found := s.table.Get(key, now); found {
		return origin.Answer{Source: origin.SourceRecord, Release: release}
	}
	if s.table.Conflicts(key, now) {
		return origin.Answer{Source: origin.SourceSeveral}
	}
	return origin.Answer{}
}

func (s *originStore) count() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return float64(s.table.Len())
}

func (s *originStore) gauges() map[string]gauge {
	return map[string]gauge{
		"chutelock_stream_origin_records": {"Streams whose beginning is recorded at this node.", s.count},
	}
}

// originServer keeps the records of streams for which a data node is a home.
type originServer struct {
	store *originStore
	// proveRoute and proveService return the sole release of a route or service; see releaseProver.
	proveRoute   func(ctx context.Context, host, prefix string, life time.Duration) origin.Answer
	proveService func(ctx context.Context, service string, window time.Duration) origin.Answer
}

// handleRecord stores a record.
func (s *originServer) handleRecord(from transport.Address, payload []byte) {
	record, err := origin.UnmarshalRecord(payload)
	if err != nil {
		eventOriginInvalid.Error(err, "peer", from)
		return
	}
	s.store.put(record)
}

// handleQuery answers which release began a stream.
func (s *originServer) handleQuery(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	query, err := origin.UnmarshalQuery(payload)
	if err != nil {
		eventOriginInvalid.Error(err, "peer", from)
		return nil, err
	}
	answer := s.answer(ctx, query.Key, func(ctx context.Context) origin.Answer {
		if query.Host == "" {
			return origin.Answer{}
		}
		return s.proveRoute(ctx, query.Host, query.Prefix, query.Life)
	})
	return answer.Marshal(), nil
}

// handleQueryV1 answers a front node of an earlier version.
func (s *originServer) handleQueryV1(ctx context.Context, from transport.Address, payload []byte) ([]byte, error) {
	query, err := origin.UnmarshalQueryV1(payload)
	if err != nil {
		eventOriginInvalid.Error(err, "peer", from)
		return nil, err
	}
	answer := s.answer(ctx, query.Key, func(ctx context.Context) origin.Answer {
		return s.proveService(ctx, query.Service, query.Window)
	})
	if answer.Source == origin.SourceSeveral {
		answer = origin.Answer{}
	}
	return answer.Marshal(), nil
}

// answer returns the release by a record, also one that arrives meanwhile, or by a proof.
func (s *originServer) answer(ctx context.Context, key origin.Key, prove func(ctx context.Context) origin.Answer) origin.Answer {
	if answer := s.store.answer(key); answer.Source != origin.SourceNone {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	proof := prove(ctx)
	if answer := s.store.answer(key); answer.Source != origin.SourceNone {
		return answer
	}
	return proof
}
