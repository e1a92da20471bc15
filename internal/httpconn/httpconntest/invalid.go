package httpconntest

import (
	"fmt"
	"strings"
)

// Response is a response in wire format.
type Response struct{ Name, Bytes string }

// invalidStatuses are no status codes of responses.
var invalidStatuses = []string{"000", "001", "020", "099", "600", "999", "+20", "-20", "-00", "+00", "2 0", "20", "2000", "20x", ""}

// invalidFields are no lines of a head.
var invalidFields = []struct{ name, line string }{
	{"blank in a name", "X More: 1"},
	{"blank before a name", " X-More: 1"},
	{"blank behind a name", "X-More : 1"},
	{"blank behind the name of the length", "Content-Length : 2"},
	{"blank behind the name of the coding", "Transfer-Encoding : chunked"},
	{"tab in a name", "X\tMore: 1"},
	{"tab before a name", "\tX-More: 1"},
	{"tab behind a name", "X-More\t: 1"},
	{"no name", ": 1"},
	{"no colon", "X-More"},
	{"NUL in a name", "X\x00More: 1"},
	{"control byte in a name", "X\x01More: 1"},
	{"control byte behind a name", "X-More\x1f: 1"},
	{"DEL in a name", "X\x7fMore: 1"},
	{"separator in a name", "X(More: 1"},
	{"quote in a name", "X\"More: 1"},
	{"byte beyond ASCII in a name", "X\xe9More: 1"},
	{"control byte in a value", "X-More: a\x01b"},
	{"NUL in a value", "X-More: a\x00b"},
	{"carriage return in a value", "X-More: a\rb"},
}

const lengthAndBody = "Content-Length: 4\r\n\r\nbody"

// withSecondHead returns a response, and the same with a sound response behind it.
func withSecondHead(name, bytes, sound string) []Response {
	return []Response{{name, bytes}, {name + ", a head behind it", bytes + sound}}
}

// InvalidStatusLines returns responses whose first line isn't valid. fields are the other lines of each head,
// which end in CRLF. Each comes alone and with a sound response behind it.
func InvalidStatusLines(fields string) []Response {
	sound := "HTTP/1.1 200 OK\r\n" + fields + lengthAndBody
	var responses []Response
	for _, status := range invalidStatuses {
		name := fmt.Sprintf("status %q", status)
		responses = append(responses, withSecondHead(name, "HTTP/1.1 "+status+" OK\r\n"+fields+lengthAndBody, sound)...)
		responses = append(responses, Response{name + " without a body", "HTTP/1.1 " + status + " OK\r\n\r\n" + sound})
	}
	for _, line := range []string{"HTTP/2.0 200 OK", "HTTP/1.1200 OK", "http/1.1 200 OK", "HTTP/1.x 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\x00K", "garbage", ""} {
		responses = append(responses, withSecondHead(fmt.Sprintf("first line %q", line), line+"\r\n"+fields+lengthAndBody, sound)...)
	}
	return responses
}

// InvalidFields returns responses one of whose heads, which may be an interim one, has a line that is no field.
// fields are its valid lines, which end in CRLF. Each comes alone and with a sound response behind it.
func InvalidFields(fields string) []Response {
	sound := "HTTP/1.1 200 OK\r\n" + fields + lengthAndBody
	var responses []Response
	for _, field := range invalidFields {
		for _, place := range []struct{ name, bytes string }{
			{"last", "HTTP/1.1 200 OK\r\n" + fields + field.line + "\r\n" + lengthAndBody},
			{"first", "HTTP/1.1 200 OK\r\n" + field.line + "\r\n" + fields + lengthAndBody},
			{"interim", "HTTP/1.1 102 Processing\r\n" + field.line + "\r\n\r\n" + sound},
			{"failure", "HTTP/1.1 500 X\r\n" + fields + field.line + "\r\n" + lengthAndBody},
		} {
			responses = append(responses, withSecondHead(field.name+", "+place.name, place.bytes, sound)...)
		}
	}
	return responses
}

// InvalidHeads returns the responses of InvalidStatusLines and InvalidFields.
func InvalidHeads(fields string) []Response {
	return append(InvalidStatusLines(fields), InvalidFields(fields)...)
}

// InvalidTrailers returns chunked responses with the body "body" whose trailer isn't valid.
func InvalidTrailers(fields string) []Response {
	var responses []Response
	for _, field := range invalidFields {
		if strings.HasPrefix(field.line, "Content-Length") || strings.HasPrefix(field.line, "Transfer-Encoding") {
			continue
		}
		responses = append(responses, Response{field.name,
			"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + field.line + "\r\n\r\n"})
	}
	return responses
}

// ValidHeads returns responses with the body "body" whose heads are unusual, yet valid.
func ValidHeads(fields string) []Response {
	return []Response{
		{"no reason", "HTTP/1.1 200 \r\n" + fields + lengthAndBody},
		{"no reason and no blank", "HTTP/1.1 200\r\n" + fields + lengthAndBody},
		{"reason beyond ASCII", "HTTP/1.1 200 \xc3\xa9t\xc3\xa9\r\n" + fields + lengthAndBody},
		{"earlier version", "HTTP/1.0 200 OK\r\n" + fields + lengthAndBody},
		{"lines end in LF", strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+lengthAndBody, "\r\n", "\n")},
		{"all bytes of names", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n" + fields + lengthAndBody},
		{"empty value", "HTTP/1.1 200 OK\r\nX-More:\r\n" + fields + lengthAndBody},
		{"tab and bytes beyond ASCII in a value", "HTTP/1.1 200 OK\r\nX-More: \ta\tb\xe9 \r\n" + fields + lengthAndBody},
		{"interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + lengthAndBody},
		{"trailer", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-More: 1\r\n\r\n"},
	}
}
