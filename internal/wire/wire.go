// Package wire encodes the messages that chutelock processes exchange.
//
// A message is a version byte, a fixed-size struct in big-endian
// encoding/binary form, and any number of variable-length fields, each preceded
// by its length as a uint32. Decoders check the version, all lengths and that no
// bytes remain, so that malformed messages cause errors and never panics.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxField is the maximum length of a decoded variable-length field, in bytes.
const MaxField = 32 << 20

// Errors that Unmarshal returns, wrapped with details.
var (
	// ErrVersion means that the message has an unexpected version.
	ErrVersion = errors.New("wire: unexpected message version")
	// ErrLength means that the message is truncated, has trailing bytes, exceeds MaxField
	// or has an unexpected number of fields.
	ErrLength = errors.New("wire: message length does not match its content")
)

// Marshal encodes the version, the fixed struct and the variable-length fields.
// Fixed must be a struct, or a pointer to one, of fixed-size fields only.
func Marshal(version uint8, fixed any, fields ...[]byte) ([]byte, error) {
	size := binary.Size(fixed)
	if size < 0 {
		return nil, fmt.Errorf("wire: %T has fields of variable size", fixed)
	}
	total := 1 + size
	for _, field := range fields {
		total += 4 + len(field)
	}
	out := make([]byte, 1, total)
	out[0] = version
	out, err := binary.Append(out, binary.BigEndian, fixed)
	if err != nil {
		return nil, fmt.Errorf("wire: encode %T: %w", fixed, err)
	}
	for _, field := range fields {
		out = binary.BigEndian.AppendUint32(out, uint32(len(field)))
		out = append(out, field...)
	}
	return out, nil
}

// Unmarshal decodes a message into the struct that fixed points to and
// returns its variable-length fields, which alias message. It returns ErrVersion
// or ErrLength for an invalid message. The number of fields must be wantFields,
// unless that is negative.
func Unmarshal(message []byte, version uint8, fixed any, wantFields int) ([][]byte, error) {
	size := binary.Size(fixed)
	if size < 0 {
		return nil, fmt.Errorf("wire: %T has fields of variable size", fixed)
	}
	if len(message) < 1+size {
		return nil, fmt.Errorf("%w: %T has %d bytes", ErrLength, fixed, len(message))
	}
	if message[0] != version {
		return nil, fmt.Errorf("%w: %T has %d, want %d", ErrVersion, fixed, message[0], version)
	}
	if _, err := binary.Decode(message[1:1+size], binary.BigEndian, fixed); err != nil {
		return nil, fmt.Errorf("wire: decode %T: %w", fixed, err)
	}
	fields, err := splitFields(message[1+size:])
	if err != nil {
		return nil, fmt.Errorf("%T: %w", fixed, err)
	}
	if wantFields >= 0 && len(fields) != wantFields {
		return nil, fmt.Errorf("%w: %T has %d fields, want %d", ErrLength, fixed, len(fields), wantFields)
	}
	return fields, nil
}

func splitFields(rest []byte) ([][]byte, error) {
	var fields [][]byte
	for len(rest) > 0 {
		if len(rest) < 4 {
			return nil, ErrLength
		}
		length := binary.BigEndian.Uint32(rest)
		rest = rest[4:]
		if length > MaxField || int(length) > len(rest) {
			return nil, ErrLength
		}
		fields = append(fields, rest[:length:length])
		rest = rest[length:]
	}
	return fields, nil
}
