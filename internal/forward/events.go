package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// eventMost bounds one event of a stream, in bytes.
const eventMost = 1 << 20

// errEventTooLong says that an event is longer than eventMost.
var errEventTooLong = errors.New("forward: an event is too long")

// Event is one whole event of a stream (text/event-stream, WHATWG HTML).
type Event struct {
	// Raw is the event as it came, with its closing blank line.
	Raw []byte
	// ID is its number; HasID is false if it has none.
	ID    uint64
	HasID bool
	// Data is the value of its data lines, joined by line feeds.
	Data []byte
}

// EventReader reads whole events.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader reads events from a body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, 4<<10)}
}

// Next returns the next whole event. It fails with io.EOF at a clean end
// between events, and with io.ErrUnexpectedEOF at an end inside one.
func (r *EventReader) Next() (Event, error) {
	var event Event
	hasData := false
	for {
		line, err := r.reader.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && len(event.Raw)+len(line) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		event.Raw = append(event.Raw, line...)
		if len(event.Raw) > eventMost {
			return Event{}, errEventTooLong
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return event, nil
		}
		event.take(line, &hasData)
	}
}

func (e *Event) take(line []byte, hasData *bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if number, err := strconv.ParseUint(string(value), 10, 64); err == nil {
			e.ID, e.HasID = number, true
		}
	case "data":
		if *hasData {
			e.Data = append(e.Data, '\n')
		}
		*hasData = true
		e.Data = append(e.Data, value...)
	}
}
