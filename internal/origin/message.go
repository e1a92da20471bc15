package origin

import (
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/wire"
)

const messageVersion = 1

// Record tells which release began a stream. It is sent to the stream's homes.
type Record struct {
	Key     Key
	Release catalog.Release
}

type fixedRecord struct{ Key Key }

// Marshal encodes the record.
func (r Record) Marshal() []byte {
	return mustMarshal(fixedRecord{r.Key}, []byte(r.Release.Service), []byte(r.Release.Version))
}

// UnmarshalRecord decodes a record.
func UnmarshalRecord(message []byte) (Record, error) {
	var fixed fixedRecord
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, 2)
	if err != nil {
		return Record{}, err
	}
	return Record{Key: fixed.Key, Release: catalog.Release{Service: string(fields[0]), Version: string(fields[1])}}, nil
}

// Query asks a data node which release began a stream.
type Query struct {
	Key Key
	// Host and Prefix are those of the stream's route. If the node has no record, it tells the route's sole
	// release, unless Host is empty.
	Host, Prefix string
	// Life is how long callers of the route wait, over all of their requests for one stream; 0 if unknown.
	Life time.Duration
}

type fixedQuery struct {
	Key  Key
	Life int64 // nanoseconds
}

// Marshal encodes the query.
func (q Query) Marshal() []byte {
	return mustMarshal(fixedQuery{q.Key, int64(q.Life)}, []byte(q.Host), []byte(q.Prefix))
}

// UnmarshalQuery decodes a query.
func UnmarshalQuery(message []byte) (Query, error) {
	var fixed fixedQuery
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, 2)
	if err != nil {
		return Query{}, err
	}
	return Query{Key: fixed.Key, Host: string(fields[0]), Prefix: string(fields[1]), Life: time.Duration(fixed.Life)}, nil
}

// QueryV1 is the question of nodes of earlier versions, and the one that they understand.
type QueryV1 struct {
	Key Key
	// Service, unless empty, is the only one that may have begun the stream. If the node has no
	// record, it tells the service's sole release within Window.
	Service string
	Window  time.Duration
}

type fixedQueryV1 struct {
	Key    Key
	Window int64 // nanoseconds
}

// Marshal encodes the query.
func (q QueryV1) Marshal() []byte {
	return mustMarshal(fixedQueryV1{q.Key, int64(q.Window)}, []byte(q.Service))
}

// UnmarshalQueryV1 decodes a query.
func UnmarshalQueryV1(message []byte) (QueryV1, error) {
	var fixed fixedQueryV1
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, 1)
	if err != nil {
		return QueryV1{}, err
	}
	return QueryV1{Key: fixed.Key, Service: string(fields[0]), Window: time.Duration(fixed.Window)}, nil
}

// Source is what an answer rests on.
type Source uint8

// Sources of answers.
const (
	// SourceNone: the beginning is unknown.
	SourceNone Source = iota
	// SourceRecord: the node that began the stream has recorded it.
	SourceRecord
	// SourceSole: the service had a single release for as long as a stream may last, up to the question.
	SourceSole
	// SourceSeveral: there is no record, and the service had several releases. Nodes of earlier versions
	// don't know it.
	SourceSeveral
)

// String returns the name used in logs and metrics.
func (s Source) String() string {
	switch s {
	case SourceRecord:
		return "record"
	case SourceSole:
		return "sole-release"
	case SourceSeveral:
		return "several-releases"
	default:
		return "none"
	}
}

// Answer is a node's answer to a query.
type Answer struct {
	Source  Source
	Release catalog.Release
}

type fixedAnswer struct{ Source Source }

// ErrSource means that an answer has an unknown source.
var ErrSource = errors.New("origin: unknown source")

// Marshal encodes the answer.
func (a Answer) Marshal() []byte {
	return mustMarshal(fixedAnswer{a.Source}, []byte(a.Release.Service), []byte(a.Release.Version))
}

// UnmarshalAnswer decodes an answer.
func UnmarshalAnswer(message []byte) (Answer, error) {
	var fixed fixedAnswer
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, 2)
	if err != nil {
		return Answer{}, err
	}
	if fixed.Source > SourceSeveral {
		return Answer{}, ErrSource
	}
	return Answer{Source: fixed.Source, Release: catalog.Release{Service: string(fields[0]), Version: string(fields[1])}}, nil
}

func mustMarshal(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // unreachable: all fixed parts have a fixed size
	}
	return encoded
}
