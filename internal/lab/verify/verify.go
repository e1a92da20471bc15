// Package verify compares a job's input with its results and with what the
// engines' truth logs say was run.
package verify

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/standin/truth"
)

// maxLine bounds a line of an input or output file, in bytes.
const maxLine = 16 << 20

// Summary counts what became of a job's items.
type Summary struct {
	Items      int `json:"items"`      // lines of the input
	Results    int `json:"results"`    // items with a result of their own
	Missing    int `json:"missing"`    // items without one
	Duplicated int `json:"duplicated"` // results beyond an item's first
	Foreign    int `json:"foreign"`    // results of items that are not in the input
	Wrong      int `json:"wrong"`      // results with another text than the item's
	Failed     int `json:"failed"`     // items whose result is an error
	// Repeated counts items that engines ran more than once; that is allowed
	// for repeatable items after a failure.
	Repeated int `json:"repeated"`
}

// Kept says whether every item has exactly one right result.
func (s Summary) Kept() bool {
	return s.Items > 0 && s.Missing == 0 && s.Duplicated == 0 && s.Foreign == 0 && s.Wrong == 0 && s.Failed == 0
}

type inputLine struct {
	CustomID string          `json:"custom_id"`
	Body     json.RawMessage `json:"body"`
}

type outputLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		StatusCode int `json:"status_code"`
		Body       struct {
			Choices []struct {
				Text    string `json:"text"`
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
}

// text is the item's answer; ok is false when its result is an error.
func (l outputLine) text() (string, bool) {
	if l.Response == nil || l.Response.StatusCode/100 != 2 || len(l.Response.Body.Choices) == 0 {
		return "", false
	}
	choice := l.Response.Body.Choices[0]
	return choice.Text + choice.Message.Content, true
}

// Job compares an input file with the output file and, if there is one, the
// error file of its job.
func Job(input io.Reader, outputs ...io.Reader) (Summary, error) {
	var summary Summary
	expected := map[string]string{}
	err := eachLine(input, func(line []byte) error {
		var item inputLine
		if err := json.Unmarshal(line, &item); err != nil {
			return trace.Wrap(err, "input line %d", summary.Items+1)
		}
		text, err := truth.Expected(item.Body)
		if err != nil {
			return trace.Wrap(err, "input line %d", summary.Items+1)
		}
		expected[item.CustomID] = text
		summary.Items++
		return nil
	})
	if err != nil {
		return summary, err
	}
	seen := make(map[string]bool, len(expected))
	for _, output := range outputs {
		if err := eachLine(output, func(line []byte) error { return summary.take(line, expected, seen) }); err != nil {
			return summary, err
		}
	}
	summary.Results = len(seen)
	summary.Missing = summary.Items - len(seen)
	return summary, nil
}

// take counts one line of an output file.
func (s *Summary) take(line []byte, expected map[string]string, seen map[string]bool) error {
	var result outputLine
	if err := json.Unmarshal(line, &result); err != nil {
		return trace.Wrap(err, "result of an unknown item")
	}
	want, known := expected[result.CustomID]
	if !known {
		s.Foreign++
		return nil
	}
	if seen[result.CustomID] {
		s.Duplicated++
		return nil
	}
	seen[result.CustomID] = true
	text, ok := result.text()
	switch {
	case !ok:
		s.Failed++
	case text != want:
		s.Wrong++
	}
	return nil
}

// CountRepeated counts requests that engines took more than once, among those
// whose id has the prefix.
func CountRepeated(entries []truth.Entry, prefix string) int {
	times := map[string]int{}
	repeated := 0
	for _, entry := range entries {
		if entry.Kind != truth.KindAccepted || len(entry.Request) < len(prefix) || entry.Request[:len(prefix)] != prefix {
			continue
		}
		times[entry.Request]++
		if times[entry.Request] == 2 {
			repeated++
		}
	}
	return repeated
}

func eachLine(reader io.Reader, visit func([]byte) error) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		if err := visit(scanner.Bytes()); err != nil {
			return err
		}
	}
	return trace.Wrap(scanner.Err())
}
