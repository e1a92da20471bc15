package truth

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func at(second int) time.Time { return time.Unix(int64(second), 0).UTC() }

// run returns the entries of an attempt from one second to another; a
// negative to omits its end.
func run(source, attempt string, from, to int) []Entry {
	request, _, _ := strings.Cut(attempt, "#")
	entries := []Entry{{At: at(from), Source: source, Kind: KindAccepted, Request: request, Attempt: attempt}}
	if to >= 0 {
		entries = append(entries, Entry{At: at(to), Source: source, Kind: KindEnded, Request: request, Attempt: attempt, Cause: CauseFinished})
	}
	return entries
}

func join(parts ...[]Entry) []Entry {
	var all []Entry
	for _, part := range parts {
		all = append(all, part...)
	}
	return all
}

// The checks must count resends, overlaps and attempts cut off by a crash.
func TestChecksCountAttemptsAndOverlaps(t *testing.T) {
	restart := []Entry{{At: at(5), Source: "e", Kind: KindStarted}}
	requests := map[string]bool{"a": true}
	for name, tested := range map[string]struct {
		entries    []Entry
		runs       int
		overlap    bool
		incomplete bool
	}{
		"not run":               {nil, 0, false, true},
		"once":                  {run("e", "a#1", 1, 2), 1, false, false},
		"sequential":            {join(run("e", "a#1", 1, 2), run("f", "a#2", 2, 3)), 2, false, false},
		"overlapping":           {join(run("e", "a#1", 1, 3), run("f", "a#2", 2, 4)), 2, true, false},
		"nested":                {join(run("e", "a#1", 1, 9), run("f", "a#2", 2, 3), run("f", "a#3", 4, 5)), 3, true, false},
		"attempt resent":        {join(run("e", "a#1", 1, 3), run("e", "a#1", 2, 4)), 2, true, false},
		"never ended":           {join(run("e", "a#1", 1, -1), run("f", "a#2", 9, 10)), 2, true, false},
		"crashed, then retried": {join(run("e", "a#1", 1, -1), restart, run("f", "a#2", 9, 10)), 2, false, false},
		"crashed, not retried":  {join(run("e", "a#1", 1, -1), restart), 1, false, true},
		"other requests":        {join(run("e", "b#1", 1, 2), run("f", "c#2", 1, 3)), 0, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(Runs(tested.entries, "a")).To(gomega.Equal(tested.runs))
			g.Expect(AtMostOnce(tested.entries, requests)).To(gomega.HaveLen(count(tested.runs > 1)))
			g.Expect(NeverRan(tested.entries, requests)).To(gomega.HaveLen(count(tested.runs > 0)))
			g.Expect(Overlapping(tested.entries)).To(gomega.HaveLen(count(tested.overlap)))
			g.Expect(Completed(tested.entries, requests)).To(gomega.HaveLen(count(tested.incomplete)))
		})
	}
}

func count(found bool) int {
	if found {
		return 1
	}
	return 0
}

// DrainDelays must ignore attempts accepted before the drain, and StaleOrders
// refused orders.
func TestDrainDelaysAndStaleOrders(t *testing.T) {
	g := gomega.NewWithT(t)
	entries := join(
		[]Entry{{At: at(3), Source: "e", Kind: KindDraining}, {At: at(3), Source: "f", Kind: KindDraining}},
		run("e", "a#1", 2, 9), run("e", "b#1", 4, 9), run("e", "c#1", 5, 9), run("f", "d#1", 3, 9), run("g", "e#1", 8, 9),
		[]Entry{
			{Source: "e", Kind: KindOrder, Token: 2},
			{Source: "f", Kind: KindOrder, Token: 1},
			{Source: "e", Kind: KindOrderRefused, Token: 1},
		},
	)
	g.Expect(DrainDelays(entries)).To(gomega.Equal(map[string]time.Duration{"e": 2 * time.Second, "f": 0}))
	g.Expect(StaleOrders(entries)).To(gomega.BeEmpty())
	g.Expect(StaleOrders(append(entries, Entry{Source: "e", Kind: KindOrder, Token: 1}))).To(gomega.HaveLen(1))
}

// Read must return what Record wrote, and accept an invalid line only at the end.
func TestReadReturnsRecordedEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	var written strings.Builder
	log := NewLog(&written, "e", func() time.Time { return at(7) })
	entry := Entry{Kind: KindEnded, Request: "a\n", Attempt: "a#1", Tokens: 3, Cause: CauseSuspended}
	log.Record(entry)
	log.Record(entry)
	entry.At, entry.Source = at(7), "e"
	read, err := Read(strings.NewReader(written.String()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read).To(gomega.Equal([]Entry{entry, entry}))
	read, err = Read(strings.NewReader(written.String() + `{"at":"20`))
	g.Expect(err).NotTo(gomega.HaveOccurred(), "a crash may truncate the last line")
	g.Expect(read).To(gomega.HaveLen(2))
	_, err = Read(strings.NewReader(`{"at":"20` + "\n" + written.String()))
	g.Expect(err).To(gomega.HaveOccurred())
	(*Log)(nil).Record(entry)
}

// The output must depend on model and prompt alone, in any encoding of a request
// and from any start index.
func TestExpectedTextDependsOnModelAndPrompt(t *testing.T) {
	g := gomega.NewWithT(t)
	want := ExpectedText("m", "p", 10)
	generator := NewGenerator("m", "p")
	g.Expect(generator.Text(0, 4) + generator.Text(4, 10)).To(gomega.Equal(want))
	g.Expect(want).To(gomega.HaveLen(50))
	g.Expect(ExpectedText("m", "q", 10)).NotTo(gomega.Equal(want))
	g.Expect(ExpectedText("n", "p", 10)).NotTo(gomega.Equal(want))
	for _, body := range []string{
		`{"model":"m","prompt":"p","max_tokens":10}`,
		`{"model":"m","prompt":["p"],"max_tokens":10}`,
		`{"model":"m","messages":[{"role":"user","content":"p"}],"max_completion_tokens":10}`,
		`{"model":"m","messages":[{"content":""},{"content":[{"type":"text","text":"p"}]}],"max_tokens":10}`,
	} {
		text, err := Expected([]byte(body))
		g.Expect(err).NotTo(gomega.HaveOccurred(), body)
		g.Expect(text).To(gomega.Equal(want), body)
	}
	for _, invalid := range []string{`{`, `{"model":"m"}`, `{"prompt":7}`, `{"messages":[{"content":7}]}`} {
		_, err := Expected([]byte(invalid))
		g.Expect(err).To(gomega.HaveOccurred(), invalid)
	}
}
