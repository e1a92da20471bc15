package batchwork

import (
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/transport"
	"chutelock.dev/chutelock/internal/wire"
)

// Message kinds between a leader and the data nodes that run items for it.
const (
	kindRun       transport.Kind = transport.KindBatch + 0x10 + iota // call that returns when the run ends
	kindStop                                                         // call that stops a run
	kindUpdates                                                      // call to the leader that commits updates
	kindHeartbeat                                                    // message to the leader that runs continue
	kindConfirm                                                      // call to the leader that checks whether a run is still wanted
)

// runRequest asks a data node to run an item.
type runRequest struct {
	// run identifies the run among those of its leader.
	run    uint64
	item   openItem
	read   Item
	engine catalog.Engine
	// maxFailures is how many internal server errors of engines end the item.
	maxFailures int
	// origin has the release of the run's engine, and the restarts of the item's text; startsOver
	// is set if the engine can't continue the text.
	origin     textOrigin
	startsOver bool
	// restricted reports whether the item is restricted to regions; only then is its path
	// sent, which the executor needs to look them up.
	restricted bool
}

type fixedRun struct {
	Run       uint64
	Index     uint32
	LastEvent uint64
	Failures  uint8
	Attempts  uint16
	// GiveUp is the remaining time until the item is given up, in nanoseconds, as clocks
	// of machines differ.
	GiveUp int64
}

func (q *runRequest) marshal(now time.Time) []byte {
	fixed := fixedRun{q.run, q.item.index, q.item.lastEvent, q.item.failures, uint16(q.maxFailures), int64(q.item.giveUp.Sub(now))}
	fields := [][]byte{[]byte(q.item.job), []byte(q.item.host), []byte(q.item.tenant), encodeItem(&q.read, true),
		[]byte(catalog.Instance(q.engine.ID)), []byte(q.engine.Service), []byte(q.engine.Address)}
	path := ""
	if q.restricted {
		path = q.item.path
	}
	return marshal(fixed, append(fields, []byte(path), encodeOrigin(q.origin, q.startsOver))...)
}

// runFields is the number of a request's fields without the optional last ones: the path, and the
// origin of the run's text, which leaders of older versions don't send.
const runFields = 7

func unmarshalRun(encoded []byte, now time.Time) (*runRequest, error) {
	var fixed fixedRun
	fields, err := unmarshal(encoded, &fixed, -1)
	if err != nil {
		return nil, err
	}
	if len(fields) < runFields || len(fields) > runFields+2 {
		return nil, wire.ErrLength
	}
	path, origin, startsOver := "", textOrigin{}, false
	if len(fields) > runFields {
		path = string(fields[runFields])
	}
	if len(fields) > runFields+1 {
		if origin, startsOver, err = decodeOrigin(fields[runFields+1]); err != nil {
			return nil, err
		}
	}
	read, err := decodeItem(fields[3])
	if err != nil {
		return nil, err
	}
	return &runRequest{
		run: fixed.Run, read: read, maxFailures: int(fixed.Attempts), restricted: path != "", origin: origin, startsOver: startsOver,
		item: openItem{
			job: string(fields[0]), host: string(fields[1]), tenant: string(fields[2]), index: fixed.Index, lastEvent: fixed.LastEvent,
			path: path, failures: fixed.Failures, giveUp: now.Add(time.Duration(fixed.GiveUp)),
		},
		engine: catalog.Engine{ID: string(fields[4]), Service: string(fields[5]), Version: origin.value().Version, Address: string(fields[6])},
	}, nil
}

type fixedRunResult struct {
	Pause, Took  int64
	Events, Last uint64
	Engine       engineOutcome
	Done, HasEnd bool
}

func (r *runResult) marshal() []byte {
	fixed := fixedRunResult{int64(r.pause), int64(r.took), r.events, r.last, r.engine, r.done, r.end != nil}
	var end []byte
	if r.end != nil {
		end = encodeUpdate(*r.end)
	}
	return marshal(fixed, []byte(r.cause), end)
}

func unmarshalResult(encoded []byte) (runResult, error) {
	var fixed fixedRunResult
	fields, err := unmarshal(encoded, &fixed, 2)
	if err != nil {
		return runResult{}, err
	}
	result := runResult{
		pause: time.Duration(fixed.Pause), took: time.Duration(fixed.Took), events: fixed.Events, last: fixed.Last,
		engine: fixed.Engine, done: fixed.Done, cause: string(fields[0]),
	}
	if !fixed.HasEnd {
		return result, nil
	}
	end, err := decodeUpdate(fields[1])
	if err != nil {
		return runResult{}, err
	}
	if end.text, err = decompress(end.text); err != nil {
		return runResult{}, err
	}
	end.text = end.textWithoutSeparator()
	result.end = &end
	return result, nil
}

// fixedRunName names a run in the call that stops it.
type fixedRunName struct{ Run uint64 }

// fixedConfirm names a run and its item; the field is the job.
type fixedConfirm struct {
	Run   uint64
	Index uint32
}
