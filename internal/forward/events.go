package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
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
	// Data holds the values of the data lines, joined by line feeds; HasData is false if there are none.
	Data    []byte
	HasData bool
}

// NumberError reports an event that doesn't follow the one before: events between them are missing, or
// the event is one that came before.
type NumberError struct{ Expected, Seen uint64 }

// Error implements error.
func (e *NumberError) Error() string {
	return fmt.Sprintf("the engine's stream has event %d where event %d is due", e.Seen, e.Expected)
}

// CheckNumber returns a NumberError unless the event is the next one after the event with the number last.
// An event without a number may stand anywhere.
func (e *Event) CheckNumber(last uint64) error {
	if e.HasID && e.ID != last+1 {
		return &NumberError{Expected: last + 1, Seen: e.ID}
	}
	return nil
}

// isComment reports whether receivers ignore the event, as it has neither a number nor data.
func (e *Event) isComment() bool { return !e.HasID && !e.HasData }

// EventReader reads the events of a stream. Its memory is released by Close.
type EventReader struct {
	reader *bufio.Reader
	raw    buffer // of the last event
}

// NewEventReader returns a reader of the events in body, each of which is held in memory.
func NewEventReader(body io.Reader, memory Memory) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, 4<<10), raw: buffer{memory: memory}}
}

// Close releases the memory of the last event.
func (r *EventReader) Close() { r.raw.free() }

// Next returns the next event, and releases the memory of the last one. Its error is io.EOF at an end
// between events, and io.ErrUnexpectedEOF at an end inside one.
func (r *EventReader) Next() (Event, error) {
	r.raw.free()
	for {
		begin := len(r.raw.bytes)
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(r.raw.bytes) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if len(bytes.TrimRight(r.raw.bytes[begin:], "\r\n")) == 0 {
			return newEvent(r.raw.bytes), nil
		}
	}
}

// readLine appends the next line to the event. The event's size is checked as the line comes.
func (r *EventReader) readLine() error {
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(r.raw.bytes)+len(part) > maxEventBytes {
			return errEventTooLong
		}
		if memoryErr := r.raw.append(part); memoryErr != nil {
			return memoryErr
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// newEvent parses an event.
func newEvent(raw []byte) Event {
	event := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		event.addLine(bytes.TrimRight(line, "\r\n"))
	}
	return event
}

func (e *Event) addLine(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		if number, err := strconv.ParseUint(string(value), 10, 64); err == nil {
			e.ID, e.HasID = number, true
		}
	case "data":
		if e.HasData {
			e.Data = append(e.Data, '\n')
		}
		e.HasData = true
		e.Data = append(e.Data, value...)
	}
}
