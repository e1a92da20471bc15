package forward

import (
	"errors"
	"io"
)

// freeBytes is what each response may hold without a reservation: those of usual size need no memory that
// longer ones could have taken, and it is little beside a connection's own buffers.
const freeBytes = 16 << 10

// errNoMemory reports a part of a response for which the node has no memory left.
var errNoMemory = errors.New("the node has no memory left for the response")

// Memory bounds the memory held for parts of responses. Its zero value doesn't bound it.
type Memory struct {
	// Reserve reserves bytes, and returns false if fewer are free; Release returns them.
	Reserve func(bytes int64) bool
	Release func(bytes int64)
}

func (m Memory) reserve(bytes int64) bool { return m.Reserve == nil || m.Reserve(bytes) }

func (m Memory) release(bytes int64) {
	if m.Release != nil && bytes > 0 {
		m.Release(bytes)
	}
}

// firstBytes is the first size of a buffer for a body of unknown length.
const firstBytes = 512

// buffer holds a part of a response in reserved memory.
type buffer struct {
	memory   Memory
	bytes    []byte
	reserved int64
}

// grow makes room for at least so many bytes more. The old and the new bytes are reserved while both are held.
func (b *buffer) grow(bytes int) error {
	needed := len(b.bytes) + bytes
	if needed <= cap(b.bytes) {
		return nil
	}
	size := max(needed, 2*cap(b.bytes))
	reserved := int64(0)
	if size > freeBytes {
		reserved = int64(size)
	}
	if reserved > 0 && !b.memory.reserve(reserved) {
		return errNoMemory
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.memory.release(b.reserved)
	b.bytes, b.reserved = grown, reserved
	return nil
}

func (b *buffer) append(part []byte) error {
	if err := b.grow(len(part)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, part...)
	return nil
}

// readAll reads to the end of a body of at most so many bytes; length is the body's, or negative.
func (b *buffer) readAll(body io.Reader, length int64, most int) error {
	if length > int64(most) {
		return errBodyTooLong
	}
	first := firstBytes
	if length >= 0 {
		first = int(min(length, freeBytes-1)) + 1 // one more, to read the end
	}
	if err := b.grow(first); err != nil {
		return err
	}
	for {
		if err := b.grow(1); err != nil {
			return err
		}
		n, err := body.Read(b.bytes[len(b.bytes):min(cap(b.bytes), most+1)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case len(b.bytes) > most:
			return errBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// free gives the bytes up.
func (b *buffer) free() {
	b.memory.release(b.reserved)
	b.bytes, b.reserved = nil, 0
}
