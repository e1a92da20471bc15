package poison

import (
	"errors"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/wire"
)

const messageVersion = 1

type fixedRecord struct {
	Fingerprint Fingerprint
	Last        int64 // Unix milliseconds
	Served      bool
}

type fixedCrash struct{ Answering bool }

type fixedRecords struct{}

// fixedPart heads the record of a part of prompts. Its fields are the part's name, the times of
// trials and the crashes. Times are Unix milliseconds, 0 if unset.
type fixedPart struct {
	Fingerprint            Fingerprint
	Last, Answered, HeldAt int64
}

type fixedPartCrash struct {
	Answering bool
	Depth     uint16
	Request   Fingerprint
	At        int64
}

type fixedTime struct{ At int64 }

// Marshal encodes records for a peer. A record whose crashes differ in time is encoded as
// one record for each time, with that time as Last: the format has no other time, and
// merging the parts restores the record.
func Marshal(records []Record) []byte {
	fields := make([][]byte, 0, len(records))
	for i := range records {
		for _, part := range records[i].splitByTime() {
			fields = append(fields, marshalRecord(part))
		}
	}
	return mustMarshal(fixedRecords{}, fields...)
}

func marshalRecord(record Record) []byte {
	crashes := make([][]byte, 0, len(record.Crashes))
	for _, crash := range record.Crashes {
		crashes = append(crashes, mustMarshal(fixedCrash{crash.Answering}, []byte(crash.Engine)))
	}
	return mustMarshal(fixedRecord{record.Fingerprint, record.Last.UnixMilli(), record.Served}, crashes...)
}

// splitByTime returns records that each list the crashes of one time.
func (r *Record) splitByTime() []Record {
	var parts []Record
	for _, crash := range r.Crashes {
		at := r.CrashTime(crash.Engine)
		index := slices.IndexFunc(parts, func(part Record) bool { return part.Last.Equal(at) })
		if index < 0 {
			index = len(parts)
			parts = append(parts, Record{Fingerprint: r.Fingerprint, Last: at})
		}
		parts[index].Crashes = append(parts[index].Crashes, crash)
	}
	if len(parts) == 0 {
		return []Record{*r}
	}
	return parts
}

// MarshalParts encodes records of parts of prompts for a peer. They have a message of their own, as
// nodes of earlier versions would take them for those of requests.
func MarshalParts(records []Record) []byte {
	fields := make([][]byte, 0, len(records))
	for i := range records {
		fields = append(fields, marshalPart(&records[i]))
	}
	return mustMarshal(fixedRecords{}, fields...)
}

func marshalPart(r *Record) []byte {
	var trials, crashes [][]byte
	for _, at := range r.Trials {
		trials = append(trials, mustMarshal(fixedTime{at.UnixMilli()}))
	}
	for _, crash := range r.Crashes {
		fixed := fixedPartCrash{crash.Answering, uint16(crash.Depth), crash.Request, r.CrashTime(crash.Engine).UnixMilli()}
		crashes = append(crashes, mustMarshal(fixed, []byte(crash.Engine)))
	}
	fixed := fixedPart{r.Fingerprint, unixMilli(r.Last), unixMilli(r.Answered), unixMilli(r.HeldAt)}
	return mustMarshal(fixed, []byte(r.Part), mustMarshal(fixedRecords{}, trials...), mustMarshal(fixedRecords{}, crashes...))
}

// unixMilli returns the Unix time in milliseconds; 0 for the zero time.
func unixMilli(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// fromUnixMilli is the inverse of unixMilli.
func fromUnixMilli(at int64) time.Time {
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(at)
}

func mustMarshal(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // unreachable: all fixed parts have a fixed size
	}
	return encoded
}

// UnmarshalParts decodes records of parts of prompts.
func UnmarshalParts(message []byte) ([]Record, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &fixedRecords{}, -1)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(fields))
	for _, field := range fields {
		record, err := unmarshalPart(field)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func unmarshalPart(message []byte) (Record, error) {
	var fixed fixedPart
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, partFields)
	if err != nil {
		return Record{}, err
	}
	r := Record{
		Fingerprint: fixed.Fingerprint, Part: string(fields[0]), Times: map[string]time.Time{},
		Last: fromUnixMilli(fixed.Last), Answered: fromUnixMilli(fixed.Answered), HeldAt: fromUnixMilli(fixed.HeldAt),
	}
	if r.Part == "" {
		return Record{}, errUnnamedPart
	}
	trials, err := wire.Unmarshal(fields[1], messageVersion, &fixedRecords{}, -1)
	if err != nil {
		return Record{}, err
	}
	for _, encoded := range trials {
		var trial fixedTime
		if _, err := wire.Unmarshal(encoded, messageVersion, &trial, 0); err != nil {
			return Record{}, err
		}
		r.Trials = append(r.Trials, time.UnixMilli(trial.At))
	}
	crashes, err := wire.Unmarshal(fields[2], messageVersion, &fixedRecords{}, -1)
	if err != nil {
		return Record{}, err
	}
	for _, encoded := range crashes {
		var crash fixedPartCrash
		engine, err := wire.Unmarshal(encoded, messageVersion, &crash, 1)
		if err != nil {
			return Record{}, err
		}
		r.Crashes = append(r.Crashes, Crash{Engine: string(engine[0]), Answering: crash.Answering, Request: crash.Request, Depth: int(crash.Depth)})
		r.Times[string(engine[0])] = time.UnixMilli(crash.At)
	}
	return r, nil
}

// partFields is the number of fields of a part's record.
const partFields = 3

var errUnnamedPart = errors.New("poison: the record of a part has no name")

// Unmarshal decodes records; several may have the same fingerprint.
func Unmarshal(message []byte) ([]Record, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &fixedRecords{}, -1)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(fields))
	for _, field := range fields {
		record, err := unmarshalRecord(field)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func unmarshalRecord(message []byte) (Record, error) {
	var fixed fixedRecord
	fields, err := wire.Unmarshal(message, messageVersion, &fixed, -1)
	if err != nil {
		return Record{}, err
	}
	record := Record{Fingerprint: fixed.Fingerprint, Last: time.UnixMilli(fixed.Last), Served: fixed.Served}
	for _, field := range fields {
		var crash fixedCrash
		engine, err := wire.Unmarshal(field, messageVersion, &crash, 1)
		if err != nil {
			return Record{}, err
		}
		record.Crashes = append(record.Crashes, Crash{Engine: string(engine[0]), Answering: crash.Answering})
	}
	return record, nil
}
