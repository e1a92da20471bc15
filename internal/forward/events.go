package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// errEventTooLong reports an event longer than maxEventBytes.
var errEventTooLong = errors.New("forward: stream event is too long")

// Event is one event of a stream (text/event-stream, WHATWG HTML).
type Event struct {
	// Raw is the event as received, with its closing blank line.
	Raw []byte
	// ID is the event's number; HasID is false if it has none.
	ID    uint64
	HasID bool
	// Data holds the values of the data lines, joined by line feeds.
	Data []byte
}

// EventReader reads the events of a stream.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, 4<<10)}
}

// Next returns the next event. Its error is io.EOF at an end between events, and
// io.ErrUnexpectedEOF at an end inside one.
func (r *EventReader) Next() (Event, error) {
	var event Event
	hasData := false
	for {
		begin := len(event.Raw)
		if err := r.readLine(&event.Raw); err != nil {
			if errors.Is(err, io.EOF) && len(event.Raw) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(event.Raw[begin:], "\r\n")
		if len(line) == 0 {
			return event, nil
		}
		event.addLine(line, &hasData)
	}
}

// readLine appends the next line to an event. The event's size is checked as the line comes.
func (r *EventReader) readLine(raw *[]byte) error {
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(*raw)+len(part) > maxEventBytes {
			return errEventTooLong
		}
		*raw = append(*raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (e *Event) addLine(line []byte, hasData *bool) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
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
