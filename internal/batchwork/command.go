package batchwork

import (
	"encoding/binary"
	"fmt"
	"time"

	"chutelock.dev/chutelock/internal/wire"
)

// commandVersion is the version of all encodings of this package.
const commandVersion = 2

type commandKind uint8

const (
	commandSubmit commandKind = iota + 1
	commandAdvance
	commandEnd
	commandPurge
	commandClaim  // shard 0: where a job is to go
	commandFence  // take nothing that was claimed before an epoch
	commandPlace  // a job, at the shard that was claimed for it
	commandForget // claims and fences that are of no use any more
)

type fixedCommand struct {
	Kind commandKind
	At   int64 // Unix milliseconds at the leader
}

type fixedJob struct {
	QueuedTokens int64
	Retention    int64
	Completion   int64
	Submitted    int64
}

type fixedItem struct{ Tokens int64 }

// step moves one item: more text, a failure more, or its end.
type step struct {
	job   string
	index uint32
	// from is the last event that was committed before; a step that doesn't
	// start there is dropped.
	from uint64
	// to is the last event that text reaches.
	to       uint64
	failures uint8 // to add
	state    State
	// text is compressed in entries and in the store.
	text []byte
}

// joined is the step's text with what parts it from the text before.
func (s step) joined() []byte {
	if s.from == 0 || len(s.text) == 0 {
		return s.text
	}
	return append([]byte{'\n'}, s.text...)
}

// unjoined is the text of a decoded step, whose text is plain, without that.
func (s step) unjoined() []byte {
	if s.from == 0 || len(s.text) == 0 {
		return s.text
	}
	return s.text[1:]
}

type fixedStep struct {
	Index    uint32
	From, To uint64
	Failures uint8
	State    State
	HasText  bool
}

func marshal(fixed any, fields ...[]byte) []byte {
	encoded, err := wire.Marshal(commandVersion, fixed, fields...)
	if err != nil {
		panic(err) // a struct of this package is not of fixed size
	}
	return encoded
}

func unmarshal(message []byte, fixed any, fields int) ([][]byte, error) {
	return wire.Unmarshal(message, commandVersion, fixed, fields)
}

func encodeSubmit(job *Job) []byte {
	return marshal(fixedCommand{commandSubmit, job.Submitted.UnixMilli()}, encodeJob(job, true))
}

func encodeEnd(name jobName, now time.Time) []byte {
	return marshal(fixedCommand{commandEnd, now.UnixMilli()}, []byte(name.job), []byte(name.tenant))
}

func encodePurge(jobs []string, now time.Time) []byte {
	fields := make([][]byte, 0, len(jobs))
	for _, job := range jobs {
		fields = append(fields, []byte(job))
	}
	return marshal(fixedCommand{commandPurge, now.UnixMilli()}, fields...)
}

func encodeAdvance(steps []step, now time.Time) []byte {
	return encodeAdvanced(encodeSteps(steps), now)
}

// encodeAdvanced makes a command of encoded steps.
func encodeAdvanced(steps [][]byte, now time.Time) []byte {
	return marshal(fixedCommand{commandAdvance, now.UnixMilli()}, steps...)
}

func encodeSteps(steps []step) [][]byte {
	fields := make([][]byte, 0, len(steps))
	for _, s := range steps {
		fields = append(fields, encodeStep(s))
	}
	return fields
}

func encodeStep(s step) []byte {
	fixed := fixedStep{s.index, s.from, s.to, s.failures, s.state, s.to > s.from}
	return marshal(fixed, []byte(s.job), compress(s.joined()))
}

func decodeStep(field []byte) (step, error) {
	var fixed fixedStep
	parts, err := unmarshal(field, &fixed, 2)
	if err != nil {
		return step{}, err
	}
	return step{
		job: string(parts[0]), index: fixed.Index, from: fixed.From, to: fixed.To,
		failures: fixed.Failures, state: fixed.State, text: parts[1],
	}, nil
}

// encodeJob encodes a job, with or without its items.
func encodeJob(job *Job, items bool) []byte {
	fixed := fixedJob{job.QueuedTokens, int64(job.Retention), int64(job.Completion), job.Submitted.UnixMilli()}
	fields := [][]byte{[]byte(job.ID), []byte(job.Host), []byte(job.Path), []byte(job.Route), []byte(job.Tenant)}
	if items {
		for i := range job.Items {
			fields = append(fields, encodeItem(&job.Items[i], true))
		}
	}
	return marshal(fixed, fields...)
}

const jobFields = 5

func decodeJob(encoded []byte) (*Job, error) {
	var fixed fixedJob
	fields, err := unmarshal(encoded, &fixed, -1)
	if err != nil {
		return nil, err
	}
	if len(fields) < jobFields {
		return nil, fmt.Errorf("%w: a job of %d fields", wire.ErrLength, len(fields))
	}
	job := &Job{
		ID: string(fields[0]), Host: string(fields[1]), Path: string(fields[2]), Route: string(fields[3]),
		Tenant:       string(fields[4]),
		QueuedTokens: fixed.QueuedTokens, Retention: time.Duration(fixed.Retention),
		Completion: time.Duration(fixed.Completion), Submitted: time.UnixMilli(fixed.Submitted),
	}
	for _, field := range fields[jobFields:] {
		item, err := decodeItem(field)
		if err != nil {
			return nil, err
		}
		job.Items = append(job.Items, item)
	}
	return job, nil
}

func encodeItem(item *Item, body bool) []byte {
	header := make([][]byte, 0, len(item.Header))
	for _, part := range item.Header {
		header = append(header, []byte(part))
	}
	content := item.Body
	if !body {
		content = nil
	}
	return marshal(fixedItem{item.Tokens}, []byte(item.ID), []byte(item.Path), marshal(fixedItem{}, header...), content)
}

func decodeItem(encoded []byte) (Item, error) {
	var fixed fixedItem
	fields, err := unmarshal(encoded, &fixed, 4)
	if err != nil {
		return Item{}, err
	}
	header, err := unmarshal(fields[2], &fixedItem{}, -1)
	if err != nil {
		return Item{}, err
	}
	item := Item{ID: string(fields[0]), Path: string(fields[1]), Body: append([]byte(nil), fields[3]...), Tokens: fixed.Tokens}
	for _, part := range header {
		item.Header = append(item.Header, string(part))
	}
	return item, nil
}

// Keys of the store: a letter, the job's identifier with its length, then
// numbers in big-endian order.
const (
	keyJob    = 'j' // job without items
	keyItem   = 'i' // item without body
	keyBody   = 'b'
	keyState  = 's' // state of an item that is not as it was submitted
	keyText   = 't' // by item and last event
	keyResult = 'r' // by position: the item's index
)

func key(letter byte, job string, numbers ...uint64) []byte {
	k := make([]byte, 0, 4+len(job)+8*len(numbers))
	k = append(k, letter)
	k = binary.BigEndian.AppendUint16(k, uint16(len(job)))
	k = append(k, job...)
	for _, number := range numbers {
		k = binary.BigEndian.AppendUint64(k, number)
	}
	return k
}

// keyRange spans all keys of a letter and job, or of a letter if job is empty.
func keyRange(letter byte, job string) (from, to []byte) {
	if job == "" {
		return []byte{letter}, []byte{letter + 1}
	}
	from = key(letter, job)
	to = append([]byte(nil), from...)
	for i := len(to) - 1; ; i-- {
		to[i]++
		if to[i] != 0 {
			return from, to[:i+1]
		}
	}
}

// splitKey undoes key for the number of numbers that it was made with.
func splitKey(k []byte, numbers int) (job string, values []uint64, err error) {
	if len(k) < 3 {
		return "", nil, wire.ErrLength
	}
	length := int(binary.BigEndian.Uint16(k[1:]))
	rest := k[3:]
	if len(rest) != length+8*numbers {
		return "", nil, wire.ErrLength
	}
	job = string(rest[:length])
	for rest = rest[length:]; len(rest) > 0; rest = rest[8:] {
		values = append(values, binary.BigEndian.Uint64(rest))
	}
	return job, values, nil
}
