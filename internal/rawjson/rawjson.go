// Package rawjson splits JSON arrays and objects into their parts without decoding them. Package encoding/json
// rejects a whole text if one of its parts is nested too deeply; split, the others can be decoded.
package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrInvalid reports a text that can't be split.
var ErrInvalid = errors.New("rawjson: the text is no JSON array or object")

// Elements returns the elements of an array, which share its memory.
func Elements(array []byte) ([]json.RawMessage, error) {
	s := splitter{text: array}
	s.expect('[')
	var elements []json.RawMessage
	for s.more(']', len(elements)) {
		elements = append(elements, s.value())
	}
	return elements, s.end()
}

// Members returns the members of an object by name, which share its memory; the last counts of those with the
// same name.
func Members(object []byte) (map[string]json.RawMessage, error) {
	s := splitter{text: object}
	s.expect('{')
	members := map[string]json.RawMessage{}
	for count := 0; s.more('}', count); count++ {
		name := s.name()
		s.expect(':')
		members[name] = s.value()
	}
	return members, s.end()
}

// Parted is a value that can be decoded from the members of an object, some of which it keeps undecoded.
type Parted interface {
	DecodeParts(members map[string]json.RawMessage) error
}

// Decode decodes an object by encoding/json. If that rejects it, and out is Parted, the object is split and
// decoded from its members; that takes longer. What out keeps doesn't share memory with object.
func Decode(object []byte, out any) error {
	err := json.Unmarshal(object, out)
	parted, ok := out.(Parted)
	if err == nil || !ok {
		return err
	}
	members, splitErr := Members(bytes.Clone(object))
	if splitErr != nil {
		return err
	}
	return parted.DecodeParts(members)
}

// DecodeMember decodes a member into out, which is left as it is if there is none of that name.
func DecodeMember(members map[string]json.RawMessage, name string, out any) error {
	if raw, found := members[name]; found {
		return json.Unmarshal(raw, out)
	}
	return nil
}

// splitter reads a text from left to right. Once it has failed, its methods do nothing.
type splitter struct {
	text []byte
	at   int
	err  error
}

func (s *splitter) fail() {
	if s.err == nil {
		s.err = fmt.Errorf("%w, at byte %d of %d", ErrInvalid, s.at, len(s.text))
	}
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// next skips white space and returns the next byte, or 0 at the end.
func (s *splitter) next() byte {
	for s.at < len(s.text) && isSpace(s.text[s.at]) {
		s.at++
	}
	if s.at == len(s.text) {
		return 0
	}
	return s.text[s.at]
}

func (s *splitter) expect(b byte) {
	if s.next() != b {
		s.fail()
		return
	}
	s.at++
}

// more reports whether another part follows the given number of parts, and skips the comma before it or the
// closing bracket.
func (s *splitter) more(closing byte, parts int) bool {
	switch {
	case s.err != nil:
		return false
	case s.next() == closing:
		s.at++
		return false
	case parts > 0:
		s.expect(',')
	}
	return s.err == nil
}

// end returns an error unless the whole text was read.
func (s *splitter) end() error {
	if s.next() != 0 || s.at < len(s.text) {
		s.fail()
	}
	return s.err
}

// name reads the name of a member.
func (s *splitter) name() string {
	var name string
	if s.next() != '"' || json.Unmarshal(s.value(), &name) != nil {
		s.fail()
	}
	return name
}

// value reads a value of any depth. Only its strings and brackets are looked at.
func (s *splitter) value() json.RawMessage {
	s.next()
	begin := s.at
	var open []byte // the closing brackets that are due
	for s.err == nil {
		switch b := s.next(); b {
		case '"':
			s.skipString()
		case '{', '[':
			open = append(open, b+2) // its closing bracket in ASCII
			s.at++
			continue
		case '}', ']':
			if len(open) == 0 || open[len(open)-1] != b {
				s.fail()
				return nil
			}
			open = open[:len(open)-1]
			s.at++
		case ',', ':':
			if len(open) == 0 {
				s.fail()
				return nil
			}
			s.at++
			continue
		case 0:
			s.fail()
			return nil
		default:
			s.skipLiteral()
		}
		if len(open) == 0 {
			return s.text[begin:s.at]
		}
	}
	return nil
}

func (s *splitter) skipString() {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return
		}
	}
	s.at = len(s.text)
	s.fail()
}

// skipLiteral skips a number, true, false or null.
func (s *splitter) skipLiteral() {
	for ; s.at < len(s.text); s.at++ {
		switch b := s.text[s.at]; {
		case isSpace(b), b == ',', b == ':', b == ']', b == '}', b == '[', b == '{', b == '"', b == 0:
			return
		}
	}
}
