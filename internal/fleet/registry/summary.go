package registry

import (
	"encoding/binary"
	"fmt"
)

// ModelCapacity is what a zone says of one model.
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

// maxSummaryModels bounds the models that a summary names.
const maxSummaryModels = 8

func encodeSummary(one *summary) []byte {
	out := appendString(nil, one.zone)
	models := one.models[:min(len(one.models), maxSummaryModels)]
	out = append(out, byte(len(models)))
	for _, model := range models {
		record := modelRecord{clamp16(model.Engines), uint32(model.Running), uint32(model.Waiting)}
		out, _ = binary.Append(out, binary.BigEndian, record)
		out = appendString(out, model.Model)
	}
	for i := range one.sample {
		out = appendEntry(out, &one.sample[i])
	}
	return out
}

func decodeSummary(in []byte) (summary, error) {
	var one summary
	var err error
	if one.zone, in, err = cutString(in); err != nil {
		return one, err
	}
	if len(in) == 0 {
		return one, fmt.Errorf("%w: short summary", errRecord)
	}
	count := int(in[0])
	in = in[1:]
	for range count {
		var record modelRecord
		size, err := binary.Decode(in, binary.BigEndian, &record)
		if err != nil {
			return one, fmt.Errorf("%w: %w", errRecord, err)
		}
		var name string
		if name, in, err = cutString(in[size:]); err != nil {
			return one, err
		}
		one.models = append(one.models, ModelCapacity{
			Model: name, Engines: int(record.Engines), Running: int(record.Running), Waiting: int(record.Waiting),
		})
	}
	one.sample, err = decodeEntries(in)
	return one, err
}
