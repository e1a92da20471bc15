package machine

import (
	"encoding/binary"
	"time"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/wire"
)

const bodyVersion = 1

// noFixedFields is the fixed part of a message that has variable fields only.
type noFixedFields struct{}

func (c *FileBegin) marshal() ([]byte, error) {
	return wire.Marshal(bodyVersion, int64(c.Retention),
		[]byte(c.FileID), []byte(c.Tenant), []byte(c.Name), []byte(c.Purpose))
}

func (c *FileBegin) unmarshal(message []byte) error {
	var retention int64
	fields, err := wire.Unmarshal(message, bodyVersion, &retention, 4)
	if err != nil {
		return err
	}
	c.Retention = time.Duration(retention)
	setStrings(fields, &c.FileID, &c.Tenant, &c.Name, &c.Purpose)
	return nil
}

func (c *FileAppend) marshal() ([]byte, error) {
	return wire.Marshal(bodyVersion, c.Chunk, []byte(c.FileID), c.Data)
}

func (c *FileAppend) unmarshal(message []byte) error {
	fields, err := wire.Unmarshal(message, bodyVersion, &c.Chunk, 2)
	if err != nil {
		return err
	}
	setStrings(fields, &c.FileID)
	c.Data = fields[1]
	return nil
}

type fileSealFixedFields struct {
	Chunks uint32
	Lines  uint32
	Bytes  uint64
	Digest Digest
}

func (c *FileSeal) marshal() ([]byte, error) {
	return wire.Marshal(bodyVersion, fileSealFixedFields{c.Chunks, c.Lines, c.Bytes, c.Digest},
		[]byte(c.FileID), []byte(c.Model), []byte(c.Endpoint))
}

func (c *FileSeal) unmarshal(message []byte) error {
	var fixed fileSealFixedFields
	fields, err := wire.Unmarshal(message, bodyVersion, &fixed, 3)
	if err != nil {
		return err
	}
	c.Chunks, c.Lines, c.Bytes, c.Digest = fixed.Chunks, fixed.Lines, fixed.Bytes, fixed.Digest
	setStrings(fields, &c.FileID, &c.Model, &c.Endpoint)
	return nil
}

func (c *FileDelete) marshal() ([]byte, error) {
	return wire.Marshal(bodyVersion, noFixedFields{}, []byte(c.FileID), []byte(c.Tenant))
}

func (c *FileDelete) unmarshal(message []byte) error {
	fields, err := wire.Unmarshal(message, bodyVersion, &noFixedFields{}, 2)
	if err != nil {
		return err
	}
	setStrings(fields, &c.FileID, &c.Tenant)
	return nil
}

type jobBeginFixedFields struct {
	Content    Digest
	FileDigest Digest
	Items      uint32
	Deadline   int64
	Weight     uint32
	MaxTries   uint8
	Retention  int64
}

func (c *JobBegin) marshal() ([]byte, error) {
	fixed := jobBeginFixedFields{c.Content, c.FileDigest, c.Items, c.Deadline.UnixMilli(), c.Weight, c.MaxTries, int64(c.Retention)}
	return wire.Marshal(bodyVersion, fixed, []byte(c.JobID), []byte(c.Tenant), []byte(c.Key),
		[]byte(c.FileID), []byte(c.Model), []byte(c.Endpoint), []byte(c.Window), c.Metadata)
}

func (c *JobBegin) unmarshal(message []byte) error {
	var fixed jobBeginFixedFields
	fields, err := wire.Unmarshal(message, bodyVersion, &fixed, 8)
	if err != nil {
		return err
	}
	c.FileDigest = fixed.FileDigest
	c.Content, c.Items, c.Weight, c.MaxTries = fixed.Content, fixed.Items, fixed.Weight, fixed.MaxTries
	c.Deadline = time.UnixMilli(fixed.Deadline)
	c.Retention = time.Duration(fixed.Retention)
	setStrings(fields, &c.JobID, &c.Tenant, &c.Key, &c.FileID, &c.Model, &c.Endpoint, &c.Window)
	c.Metadata = fields[7]
	return nil
}

func (c *JobAppend) marshal() ([]byte, error) {
	fields := make([][]byte, 0, 1+len(c.Items))
	fields = append(fields, []byte(c.JobID))
	for _, item := range c.Items {
		encoded, err := encodeItem(item)
		if err != nil {
			return nil, err
		}
		fields = append(fields, encoded)
	}
	return wire.Marshal(bodyVersion, c.First, fields...)
}

func (c *JobAppend) unmarshal(message []byte) error {
	fields, err := wire.Unmarshal(message, bodyVersion, &c.First, -1)
	if err != nil {
		return err
	}
	if len(fields) == 0 {
		return wire.ErrLength
	}
	setStrings(fields, &c.JobID)
	for _, field := range fields[1:] {
		item, err := decodeItem(field)
		if err != nil {
			return err
		}
		c.Items = append(c.Items, item)
	}
	return nil
}

func (c *JobSeal) marshal() ([]byte, error) {
	return wire.Marshal(bodyVersion, c.Items, []byte(c.JobID))
}

func (c *JobSeal) unmarshal(message []byte) error {
	fields, err := wire.Unmarshal(message, bodyVersion, &c.Items, 1)
	if err != nil {
		return err
	}
	setStrings(fields, &c.JobID)
	return nil
}

type leaseFixedFields struct {
	Count    uint32
	MaxBytes uint32
}

func (c *LeaseItems) marshal() ([]byte, error) {
	return wire.Marshal(bodyVersion, leaseFixedFields{c.Count, c.MaxBytes}, []byte(c.Dispatcher), []byte(c.Model))
}

func (c *LeaseItems) unmarshal(message []byte) error {
	var fixed leaseFixedFields
	fields, err := wire.Unmarshal(message, bodyVersion, &fixed, 2)
	if err != nil {
		return err
	}
	c.Count, c.MaxBytes = fixed.Count, fixed.MaxBytes
	setStrings(fields, &c.Dispatcher, &c.Model)
	return nil
}

type startFixedFields struct {
	Index uint32
	Epoch uint64
}

func (c *Start) marshal() ([]byte, error) {
	return wire.Marshal(bodyVersion, startFixedFields{c.Index, c.Epoch}, []byte(c.JobID))
}

func (c *Start) unmarshal(message []byte) error {
	var fixed startFixedFields
	fields, err := wire.Unmarshal(message, bodyVersion, &fixed, 1)
	if err != nil {
		return err
	}
	c.Index, c.Epoch = fixed.Index, fixed.Epoch
	setStrings(fields, &c.JobID)
	return nil
}

type resultFixedFields struct {
	Index            uint32
	Epoch            uint64
	Status           jobs.ItemStatus
	HTTPStatus       uint16
	CompletionTokens uint32
}

func (c *Report) marshal() ([]byte, error) {
	fields := make([][]byte, 0, len(c.Results))
	for _, result := range c.Results {
		fixed := resultFixedFields{result.Index, result.Epoch, result.Status, result.HTTPStatus, result.CompletionTokens}
		encoded, err := wire.Marshal(bodyVersion, fixed, []byte(result.JobID), result.Body)
		if err != nil {
			return nil, err
		}
		fields = append(fields, encoded)
	}
	return wire.Marshal(bodyVersion, noFixedFields{}, fields...)
}

func (c *Report) unmarshal(message []byte) error {
	fields, err := wire.Unmarshal(message, bodyVersion, &noFixedFields{}, -1)
	if err != nil {
		return err
	}
	c.Results = make([]jobs.Result, 0, len(fields))
	for _, field := range fields {
		var fixed resultFixedFields
		parts, err := wire.Unmarshal(field, bodyVersion, &fixed, 2)
		if err != nil {
			return err
		}
		c.Results = append(c.Results, jobs.Result{
			JobID: string(parts[0]), Index: fixed.Index, Epoch: fixed.Epoch, Status: fixed.Status,
			Body: parts[1], HTTPStatus: fixed.HTTPStatus, CompletionTokens: fixed.CompletionTokens,
		})
	}
	return nil
}

func (c *ExpireLeases) marshal() ([]byte, error) {
	return wire.Marshal(bodyVersion, noFixedFields{}, []byte(c.Dispatcher), EncodeEpochs(c.Epochs))
}

func (c *ExpireLeases) unmarshal(message []byte) error {
	fields, err := wire.Unmarshal(message, bodyVersion, &noFixedFields{}, 2)
	if err != nil {
		return err
	}
	setStrings(fields, &c.Dispatcher)
	c.Epochs, err = DecodeEpochs(fields[1])
	return err
}

func (c *Cancel) marshal() ([]byte, error) {
	return wire.Marshal(bodyVersion, noFixedFields{}, []byte(c.JobID), []byte(c.Tenant))
}

func (c *Cancel) unmarshal(message []byte) error {
	fields, err := wire.Unmarshal(message, bodyVersion, &noFixedFields{}, 2)
	if err != nil {
		return err
	}
	setStrings(fields, &c.JobID, &c.Tenant)
	return nil
}

func (c *Tick) marshal() ([]byte, error) { return wire.Marshal(bodyVersion, noFixedFields{}) }

func (c *Tick) unmarshal(message []byte) error {
	_, err := wire.Unmarshal(message, bodyVersion, &noFixedFields{}, 0)
	return err
}

type itemFixedFields struct {
	Index      uint32
	Repeatable bool
}

func encodeItem(item jobs.Item) ([]byte, error) {
	return wire.Marshal(bodyVersion, itemFixedFields{item.Index, item.Repeatable},
		[]byte(item.CustomID), []byte(item.Path), item.Body)
}

func decodeItem(message []byte) (jobs.Item, error) {
	var fixed itemFixedFields
	fields, err := wire.Unmarshal(message, bodyVersion, &fixed, 3)
	if err != nil {
		return jobs.Item{}, err
	}
	item := jobs.Item{Index: fixed.Index, Repeatable: fixed.Repeatable, Body: fields[2]}
	setStrings(fields, &item.CustomID, &item.Path)
	return item, nil
}

// EncodeEpochs encodes epochs into one variable-length field.
func EncodeEpochs(epochs []uint64) []byte {
	encoded := make([]byte, 0, 8*len(epochs))
	for _, epoch := range epochs {
		encoded = binary.BigEndian.AppendUint64(encoded, epoch)
	}
	return encoded
}

// DecodeEpochs decodes the output of EncodeEpochs.
func DecodeEpochs(encoded []byte) ([]uint64, error) {
	if len(encoded)%8 != 0 {
		return nil, wire.ErrLength
	}
	epochs := make([]uint64, 0, len(encoded)/8)
	for ; len(encoded) > 0; encoded = encoded[8:] {
		epochs = append(epochs, binary.BigEndian.Uint64(encoded))
	}
	return epochs, nil
}

// setStrings assigns the leading fields to targets, in order.
func setStrings(fields [][]byte, targets ...*string) {
	for i, target := range targets {
		*target = string(fields[i])
	}
}
