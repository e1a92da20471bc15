package batchwork

import (
	"context"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/forward"
)

// committedText runs a stream with the given data of its events, commits after each index in cuts
// and returns the text that the ledger has.
func committedText(t *rapid.T, data []string, cuts map[int]bool, endsRemotely bool) string {
	var text []byte
	apply := func(_ context.Context, u itemUpdate) error {
		stored, err := decodeUpdate(encodeUpdate(u))
		if err != nil {
			t.Fatal(err)
		}
		plain, err := decompress(stored.text)
		if err != nil {
			t.Fatal(err)
		}
		text = append(text, plain...)
		return nil
	}
	r := &itemRun{node: &runNode{commit: apply}, id: "item"}
	for i, one := range data {
		r.add(forward.Event{ID: uint64(i + 1), HasID: true, Data: []byte(one)})
		if cuts[i] && r.commitText(context.Background(), StateOpen, 0) != nil {
			t.Fatal("the commit failed")
		}
	}
	end := r.nextUpdate(StateSucceeded, 0)
	if endsRemotely {
		result, err := unmarshalResult((&runResult{end: &end}).marshal())
		if err != nil {
			t.Fatal(err)
		}
		end = *result.end
	}
	if apply(context.Background(), end) != nil {
		t.Fatal("the end was not applied")
	}
	return string(text)
}

// Guards against a text that lacks a line feed where events without data were committed alone.
func TestTextIsSameWhereverItWasCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "a", "two\nlines", "\n", "tail\n"}), 1, 12).Draw(t, "data")
		cuts := map[int]bool{}
		for i := range data {
			cuts[i] = rapid.Bool().Draw(t, "cut")
		}
		got := committedText(t, data, cuts, rapid.Bool().Draw(t, "endsRemotely"))
		if want := strings.Join(data, "\n"); got != want {
			t.Fatalf("text %q, want %q", got, want)
		}
	})
}

// Guards against an end without text of a node of an older version that loses or gains text.
func TestEndWithoutSeparatorIsAccepted(t *testing.T) {
	g := gomega.NewWithT(t)
	u := itemUpdate{job: "j", from: 3, to: 4, state: StateSucceeded}
	g.Expect(u.textWithoutSeparator()).To(gomega.BeEmpty())
}
