package poison

import (
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

// Marshal encodes records for a peer.
func Marshal(records []Record) []byte {
	fields := make([][]byte, 0, len(records))
	for i := range records {
		record := &records[i]
		crashes := make([][]byte, 0, len(record.Crashes))
		for _, crash := range record.Crashes {
			crashes = append(crashes, mustMarshal(fixedCrash{crash.Answering}, []byte(crash.Engine)))
		}
		fields = append(fields, mustMarshal(fixedRecord{record.Fingerprint, record.Last.UnixMilli(), record.Served}, crashes...))
	}
	return mustMarshal(fixedRecords{}, fields...)
}

func mustMarshal(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // unreachable: all fixed parts have a fixed size
	}
	return encoded
}

// Unmarshal is the inverse of Marshal.
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
