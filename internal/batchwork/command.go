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
	commandClaim  // shard 0: assign a job to a shard
	commandFence  // reject jobs claimed before an epoch
	commandPlace  // accept a job at the shard claimed for it
	commandForget // delete expired claims and fences
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

// itemUpdate appends text to an item, adds failures or ends it.
type itemUpdate struct {
	job   string
	index uint32
	// from is the item's last committed event; an update that starts elsewhere is dropped.
	from uint64
	// to is the last event included in text.
	to       uint64
	failures uint8 // to add
	state    State
	// origin has the release of the run's engine, and the restarts of the text that the update
	// follows.
	origin textOrigin
	// fresh is set if the text replaces the item's, as the run has started over.
	fresh bool
	// text is compressed in log entries and in the store.
	text []byte
}

// hasText reports whether the update appends or replaces text.
func (u *itemUpdate) hasText() bool { return u.fresh || u.to > u.from }

// beginsText reports whether the update's text has none before it.
func (u *itemUpdate) beginsText() bool { return u.fresh || u.from == 0 }

// eventSeparator stands between the data of two events in a text, also if one has no data.
const eventSeparator = '\n'

// textWithSeparator returns the text, with a separator from earlier text if there is any.
func (u itemUpdate) textWithSeparator() []byte {
	if u.beginsText() || !u.hasText() {
		return u.text
	}
	return append([]byte{eventSeparator}, u.text...)
}

// textWithoutSeparator undoes textWithSeparator for an update with decompressed text. Nodes of
// an older version leave the separator out if the events have no data.
func (u itemUpdate) textWithoutSeparator() []byte {
	if u.beginsText() || len(u.text) == 0 {
		return u.text
	}
	return u.text[1:]
}

type fixedUpdate struct {
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

func encodeAdvance(updates []itemUpdate, now time.Time) []byte {
	return encodeAdvanceFields(encodeUpdates(updates), now)
}

// encodeAdvanceFields encodes a command from encoded updates.
func encodeAdvanceFields(updates [][]byte, now time.Time) []byte {
	return marshal(fixedCommand{commandAdvance, now.UnixMilli()}, updates...)
}

func encodeUpdates(updates []itemUpdate) [][]byte {
	fields := make([][]byte, 0, len(updates))
	for _, u := range updates {
		fields = append(fields, encodeUpdate(u))
	}
	return fields
}

// updateFields is the number of an update's fields without the optional last one, its origin.
const updateFields = 2

func encodeUpdate(u itemUpdate) []byte {
	fixed := fixedUpdate{u.index, u.from, u.to, u.failures, u.state, u.hasText()}
	fields := [][]byte{[]byte(u.job), compress(u.textWithSeparator())}
	if u.origin != (textOrigin{}) || u.fresh {
		fields = append(fields, encodeOrigin(u.origin, u.fresh))
	}
	return marshal(fixed, fields...)
}

func decodeUpdate(field []byte) (itemUpdate, error) {
	var fixed fixedUpdate
	parts, err := unmarshal(field, &fixed, -1)
	if err != nil {
		return itemUpdate{}, err
	}
	if len(parts) < updateFields || len(parts) > updateFields+1 {
		return itemUpdate{}, fmt.Errorf("%w: update has %d fields", wire.ErrLength, len(parts))
	}
	u := itemUpdate{
		job: string(parts[0]), index: fixed.Index, from: fixed.From, to: fixed.To,
		failures: fixed.Failures, state: fixed.State, text: parts[1],
	}
	if len(parts) > updateFields {
		u.origin, u.fresh, err = decodeOrigin(parts[updateFields])
	}
	return u, err
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
		return nil, fmt.Errorf("%w: job has %d fields", wire.ErrLength, len(fields))
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

// Store keys consist of a prefix, the job's length-prefixed identifier, and big-endian
// numbers.
const (
	keyJob    = 'j' // job without items
	keyItem   = 'i' // item without body
	keyBody   = 'b'
	keyState  = 's' // item state, once it differs from the initial one
	keyText   = 't' // by item index and last event
	keyResult = 'r' // item index, by result position
	keyOrigin = 'o' // textOrigin, by item index, once the item has text
)

func key(prefix byte, job string, numbers ...uint64) []byte {
	k := make([]byte, 0, 4+len(job)+8*len(numbers))
	k = append(k, prefix)
	k = binary.BigEndian.AppendUint16(k, uint16(len(job)))
	k = append(k, job...)
	for _, number := range numbers {
		k = binary.BigEndian.AppendUint64(k, number)
	}
	return k
}

// keyRange returns the range of all keys of a prefix and job, or of a prefix if job is
// empty.
func keyRange(prefix byte, job string) (from, to []byte) {
	if job == "" {
		return []byte{prefix}, []byte{prefix + 1}
	}
	from = key(prefix, job)
	to = append([]byte(nil), from...)
	for i := len(to) - 1; ; i-- {
		to[i]++
		if to[i] != 0 {
			return from, to[:i+1]
		}
	}
}

// splitKey decodes a key made with that many numbers.
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
