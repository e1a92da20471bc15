package input

import (
	"errors"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

func anyModel(string) error { return nil }

const goodLine = `{"custom_id":"a","url":"/v1/completions","body":{"model":"m","prompt":"x"}}` + "\n"

// Guards against input over a limit being accepted or reported at the wrong line.
func TestScanRejectsInputOverLimits(t *testing.T) {
	for name, test := range map[string]struct {
		input  string
		limits Limits
		code   string
		line   int
	}{
		"too many items": {goodLine + strings.ReplaceAll(goodLine, `"a"`, `"b"`), Limits{Items: 1, LineBytes: 1000, FileBytes: 1000}, CodeTooManyItems, 2},
		"too large":      {goodLine, Limits{Items: 1, LineBytes: 1000, FileBytes: 50}, CodeFileTooLarge, 0},
		"long last line": {strings.TrimSpace(goodLine), Limits{Items: 1, LineBytes: 50, FileBytes: 1000}, CodeLineTooLong, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := Scan(strings.NewReader(test.input), test.limits, anyModel, func([]byte) error { return nil })
			var inputErr *Error
			g.Expect(errors.As(err, &inputErr)).To(gomega.BeTrue(), "%v", err)
			g.Expect(inputErr.Code).To(gomega.Equal(test.code))
			g.Expect(inputErr.Line).To(gomega.Equal(test.line))
		})
	}
}

// FuzzScan guards against chunks from Scan that ParseChunk rejects or miscounts.
func FuzzScan(f *testing.F) {
	f.Add(goodLine)
	f.Add("{\n")
	f.Add(`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","headers":{"Chutelock-Repeatable":"false"},"body":{"model":"m","messages":[]}}`)
	limits := Limits{Items: 10, LineBytes: 1000, FileBytes: 5000, ChunkBytes: 100}
	f.Fuzz(func(t *testing.T, text string) {
		items := 0
		summary, err := Scan(strings.NewReader(text), limits, anyModel, func(chunk []byte) error {
			parsed, err := ParseChunk(chunk)
			items += len(parsed)
			return err
		})
		var inputErr *Error
		if err != nil && !errors.As(err, &inputErr) {
			t.Fatalf("%q: %v", text, err)
		}
		if err == nil && items != summary.Lines {
			t.Fatalf("%q: %d items of %d lines", text, items, summary.Lines)
		}
	})
}
