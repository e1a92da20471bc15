package registry

import (
	"encoding/binary"
	"fmt"
)

// ModelCapacity is a zone's capacity for one model.
type ModelCapacity struct {
	Model   string `json:"model"`
	Engines int    `json:"engines"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
}

// summary is a zone's capacity and a sample of its engines on the wire.
type summary struct {
	zone   string
	models []ModelCapacity
	sample []entry
}

// modelRecord is the fixed part of a model's capacity; its name follows.
type modelRecord struct {
	Engines uint16
	Running uint32
	Waiting uint32
}

// maxSummaryModels bounds the models in a summary.
const maxSummaryModels = 8

func encodeSummary(s *summary) []byte {
	out := appendString(nil, s.zone)
	models := s.models[:min(len(s.models), maxSummaryModels)]
	out = append(out, byte(len(models)))
	for _, model := range models {
		record := modelRecord{clamp16(model.Engines), uint32(model.Running), uint32(model.Waiting)}
		out, _ = binary.Append(out, binary.BigEndian, record)
		out = appendString(out, model.Model)
	}
	for i := range s.sample {
		out = appendEntry(out, &s.sample[i])
	}
	return out
}

func decodeSummary(in []byte) (summary, error) {
	var s summary
	var err error
	if s.zone, in, err = cutString(in); err != nil {
		return s, err
	}
	if len(in) == 0 {
		return s, fmt.Errorf("%w: short summary", errRecord)
	}
	count := int(in[0])
	in = in[1:]
	for range count {
		var record modelRecord
		size, err := binary.Decode(in, binary.BigEndian, &record)
		if err != nil {
			return s, fmt.Errorf("%w: %w", errRecord, err)
		}
		var name string
		if name, in, err = cutString(in[size:]); err != nil {
			return s, err
		}
		s.models = append(s.models, ModelCapacity{
			Model: name, Engines: int(record.Engines), Running: int(record.Running), Waiting: int(record.Waiting),
		})
	}
	s.sample, err = decodeEntries(in)
	return s, err
}
