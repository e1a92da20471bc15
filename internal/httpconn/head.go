package httpconn

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// MaxHeadBytes bounds a head. Servers send a few hundred bytes, header lines take several times their size
// in memory, and many heads are read at a time.
const MaxHeadBytes = 32 << 10

var (
	// ErrHeadTooLong reports a head of more than MaxHeadBytes.
	ErrHeadTooLong = errors.New("the response's head is too long")
	// ErrInvalidHead reports a head, or a trailer, that isn't valid (RFC 9112, sections 4 and 5).
	ErrInvalidHead = errors.New("the response's head isn't valid")
)

// headChecker checks a response's head and the interim heads before it.
type headChecker struct {
	active bool
	size   int    // of the head so far
	line   []byte // the last line so far
	status int    // of the head; 0 before its first line
	err    error
}

// begin makes the checker expect a head.
func (h *headChecker) begin() { *h = headChecker{active: true, line: h.line[:0]} }

// check checks the bytes that follow those before; what comes behind the final head isn't looked at.
func (h *headChecker) check(read []byte) error {
	for h.active && h.err == nil && len(read) > 0 {
		part, rest, whole := bytes.Cut(read, []byte("\n"))
		h.size += len(read) - len(rest)
		read = rest
		if h.size > MaxHeadBytes {
			h.err = ErrHeadTooLong
			break
		}
		h.line = append(h.line, part...)
		if whole {
			h.endLine()
		}
	}
	return h.err
}

// endLine checks a whole line.
func (h *headChecker) endLine() {
	line := bytes.TrimSuffix(h.line, []byte("\r"))
	switch {
	case h.status == 0:
		h.status, h.err = parseStatus(line)
	case len(line) > 0:
		h.err = checkField(line)
	default:
		h.active = h.status < http.StatusOK // another head follows an interim one
		h.status, h.size = 0, 0
	}
	h.line = h.line[:0]
}

// parseStatus parses a head's first line.
func parseStatus(line []byte) (status int, err error) {
	rest, known := bytes.CutPrefix(line, []byte("HTTP/1."))
	const minRest = len("1 200")
	if !known || len(rest) < minRest || !isDigit(rest[0]) || rest[1] != ' ' {
		return 0, invalid("first line", line)
	}
	for _, digit := range rest[2:minRest] {
		if !isDigit(digit) {
			return 0, invalid("first line", line)
		}
		status = 10*status + int(digit-'0')
	}
	reason := rest[minRest:]
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return 0, invalid("first line", line)
	}
	return status, CheckStatus(status)
}

// CheckStatus returns an error unless a status code is one of a response (RFC 9110, section 15).
func CheckStatus(status int) error {
	if status < 100 || status > 599 {
		return fmt.Errorf("%w: status %03d", ErrInvalidHead, status)
	}
	return nil
}

func checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(string(name)) || !isText(value) {
		return invalid("field", line)
	}
	return nil
}

// CheckTrailer returns an error unless the names of a trailer that was parsed are valid.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !isToken(name) {
			return fmt.Errorf("%w: trailer %.100q", ErrInvalidHead, name)
		}
	}
	return nil
}

func invalid(part string, line []byte) error {
	return fmt.Errorf("%w: %s %.100q", ErrInvalidHead, part, line)
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isToken reports whether text is a token, as names of fields are (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

var tokenBytes = func() (set [256]bool) {
	const others = "!#$%&'*+-.^_`|~"
	for b := range 256 {
		c := byte(b)
		set[b] = isDigit(c) || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || bytes.IndexByte([]byte(others), c) >= 0
	}
	return set
}()

// isText reports whether text has no control bytes but tabs.
func isText(text []byte) bool {
	const del = 0x7f
	for _, b := range text {
		if b < ' ' && b != '\t' || b == del {
			return false
		}
	}
	return true
}
