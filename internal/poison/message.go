package poison

import (
	"time"

	"chutelock.dev/chutelock/internal/wire"
)

const messageVersion = 1

type fixedRecord struct {
	Fingerprint Fingerprint
	Last        int64 // Unix milliseconds
	Sound       bool
}

type fixedEnd struct{ Answering bool }

type fixedRecords struct{}

// Marshal encodes records for a peer.
func Marshal(records []Record) []byte {
	fields := make([][]byte, 0, len(records))
	for i := range records {
		record := &records[i]
		ends := make([][]byte, 0, len(record.Ends))
		for _, end := range record.Ends {
			ends = append(ends, mustMarshal(fixedEnd{end.Answering}, []byte(end.Engine)))
		}
		fields = append(fields, mustMarshal(fixedRecord{record.Fingerprint, record.Last.UnixMilli(), record.Sound}, ends...))
	}
	return mustMarshal(fixedRecords{}, fields...)
}

func mustMarshal(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(messageVersion, fixed, fields...)
	if err != nil {
		panic(err) // a struct of this package is not of fixed size
	}
	return encoded
}

// Unmarshal decodes what Marshal wrote.
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
	record := Record{Fingerprint: fixed.Fingerprint, Last: time.UnixMilli(fixed.Last), Sound: fixed.Sound}
	for _, field := range fields {
		var end fixedEnd
		engine, err := wire.Unmarshal(field, messageVersion, &end, 1)
		if err != nil {
			return Record{}, err
		}
		record.Ends = append(record.Ends, End{Engine: string(engine[0]), Answering: end.Answering})
	}
	return record, nil
}
