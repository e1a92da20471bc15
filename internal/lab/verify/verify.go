// Package verify checks a batch job's results against its input, and counts
// repeated requests in the logs of the stand-in engines.
package verify

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/standin/truth"
)

// maxLineBytes is the maximum length of a line of input and output files.
const maxLineBytes = 16 << 20

// Summary counts the results of a job's items.
type Summary struct {
	Items      int `json:"items"`      // lines of the input
	Results    int `json:"results"`    // items with at least one result
	Missing    int `json:"missing"`    // items without a result
	Duplicated int `json:"duplicated"` // results beyond an item's first
	Foreign    int `json:"foreign"`    // results of items not in the input
	Wrong      int `json:"wrong"`      // results with a text other than the expected one
	Failed     int `json:"failed"`     // items whose result is an error
	// Repeated counts items that engines accepted more than once, which is allowed
	// for repeatable items after a failure.
	Repeated int `json:"repeated"`
}

// Correct reports whether every item has exactly one result, with the expected text.
func (s Summary) Correct() bool {
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

// generatedText returns the text of the result, and whether the result is not an error.
func (l outputLine) generatedText() (string, bool) {
	if l.Response == nil || l.Response.StatusCode/100 != 2 || len(l.Response.Body.Choices) == 0 {
		return "", false
	}
	choice := l.Response.Body.Choices[0]
	return choice.Text + choice.Message.Content, true
}

// Job compares a job's input file with its output file and, if there is one, its
// error file.
func Job(input io.Reader, outputs ...io.Reader) (Summary, error) {
	var summary Summary
	expected := map[string]string{}
	err := forEachLine(input, func(line []byte) error {
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
		if err := forEachLine(output, func(line []byte) error { return summary.countResult(line, expected, seen) }); err != nil {
			return summary, err
		}
	}
	summary.Results = len(seen)
	summary.Missing = summary.Items - len(seen)
	return summary, nil
}

// countResult counts the result in a line of an output file.
func (s *Summary) countResult(line []byte, expected map[string]string, seen map[string]bool) error {
	var result outputLine
	if err := json.Unmarshal(line, &result); err != nil {
		return trace.Wrap(err, "decode result line")
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
	text, ok := result.generatedText()
	switch {
	case !ok:
		s.Failed++
	case text != want:
		s.Wrong++
	}
	return nil
}

// CountRepeated returns how many requests whose ID has the prefix were accepted
// more than once by engines.
func CountRepeated(entries []truth.Entry, prefix string) int {
	counts := map[string]int{}
	repeated := 0
	for _, entry := range entries {
		if entry.Kind != truth.KindAccepted || len(entry.Request) < len(prefix) || entry.Request[:len(prefix)] != prefix {
			continue
		}
		counts[entry.Request]++
		if counts[entry.Request] == 2 {
			repeated++
		}
	}
	return repeated
}

func forEachLine(reader io.Reader, visit func([]byte) error) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
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
