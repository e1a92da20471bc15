package poison

import (
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

func mustMarshal(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // unreachable: all fixed parts have a fixed size
	}
	return encoded
}

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
