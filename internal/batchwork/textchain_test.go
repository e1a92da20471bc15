package batchwork

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/ledger"
)

// textChain commits the text of any number of concurrent runs of one item through a ledger
// that may apply an entry, apply it without an answer, apply it later, or lose it.
type textChain struct {
	machine *Machine
	store   memoryStore
	runs    []*itemRun
	after   []uint64 // where each run resumed, by its number
	// versions are those of the runs' engines, by number.
	versions []string
	delayed  [][]byte
	ends     []itemUpdate
	states   []openItem // past states of the item
	fate     int        // of the next commit
}

const chainEvents = 6

// Fates of a commit.
const (
	fateApplied = iota
	fateUnanswered
	fateDelayed
	fateLost
	fates
)

func newTextChain() *textChain {
	c := &textChain{machine: NewMachine(), store: memoryStore{}}
	c.apply(encodeSubmit(testJob("a", 1, 0)))
	c.remember()
	return c
}

func (c *textChain) apply(entry []byte) []byte {
	answer, err := c.machine.Apply(c.store, 1, entry)
	if err != nil {
		panic(err)
	}
	return answer
}

func (c *textChain) remember() {
	if open := c.machine.openItems(); len(open) > 0 {
		c.states = append(c.states, open[0])
	}
}

func (c *textChain) commit(_ context.Context, u itemUpdate) error {
	entry := encodeAdvance([]itemUpdate{u}, submitted)
	switch c.fate {
	case fateDelayed:
		c.delayed = append(c.delayed, entry)
		return ledger.ErrUnknownOutcome
	case fateLost:
		return ledger.ErrUnknownOutcome
	}
	content, err := decodeAnswer(c.apply(entry))
	if err != nil {
		return err
	}
	outcomes, err := decodeOutcomes(content, 1)
	switch {
	case err != nil:
		return err
	case c.fate == fateUnanswered:
		return ledger.ErrUnknownOutcome
	}
	return outcomes[0].err()
}

// start starts a run from a state of the item, which may be an old one.
func (c *textChain) start(item openItem, version string) {
	engine := catalog.Engine{Service: "s", Version: version}
	run := &itemRun{
		node: &runNode{commit: c.commit}, item: item, id: fmt.Sprint(len(c.after)), engine: engine,
		origin: newTextOrigin(engine.Release(), item.origin.restarts), startsOver: item.mustStartOver(engine),
	}
	if !run.startsOver {
		run.committed, run.last = item.lastEvent, item.lastEvent
	}
	run.commitAt = clock.Now().Add(time.Hour)
	c.after, c.versions = append(c.after, run.last), append(c.versions, version)
	c.runs = append(c.runs, run)
}

// commitText commits the text of a run, which ends after an error.
func (c *textChain) commitText(run *itemRun) {
	state := StateOpen
	if run.last == chainEvents {
		state = StateSucceeded
	}
	err := run.commitText(context.Background(), state, 0)
	if run.result.end != nil {
		c.ends = append(c.ends, *run.result.end)
	}
	if err != nil || state != StateOpen {
		c.runs = slices.DeleteFunc(c.runs, func(r *itemRun) bool { return r == run })
	}
}

// check returns an error unless each part of the item's text continues the part before.
func (c *textChain) check() error {
	result, _, err := c.machine.readResult(c.store, "a", 0)
	if err != nil {
		return err
	}
	text, err := decompress(result.Compressed)
	if err != nil {
		return err
	}
	if result.State == StateOpen && len(text) == 0 {
		return nil
	}
	if err := checkChain(text, c.after); err != nil {
		return err
	}
	return c.checkVersions(text)
}

// checkVersions returns an error unless all events of a text are of runs of one version.
func (c *textChain) checkVersions(text []byte) error {
	version := ""
	for line := range strings.Lines(string(text)) {
		var run int
		if _, err := fmt.Sscan(line, &run); err != nil {
			return err
		}
		if version != "" && c.versions[run] != version {
			return fmt.Errorf("%q is of version %s, but version %s began the text", line, c.versions[run], version)
		}
		version = c.versions[run]
	}
	return nil
}

func TestTextsAreChainsOfRunsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTextChain()
		draw := func(name string, count int) int { return rapid.IntRange(0, count-1).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(*rapid.T) {
				c.remember()
				c.start(c.states[len(c.states)-1-draw("age", min(len(c.states), 4))], []string{"1", "1", "2"}[draw("version", 3)])
			},
			"receive": func(t *rapid.T) {
				if len(c.runs) == 0 {
					t.Skip("no run")
				}
				number := draw("run", len(c.runs))
				run := c.runs[number]
				for range 1 + draw("events", 3) {
					if run.last < chainEvents {
						run.add(forward.Event{ID: run.last + 1, Data: fmt.Appendf(nil, "%s %d", run.id, run.last+1)})
					}
				}
			},
			"commit": func(t *rapid.T) {
				if len(c.runs) == 0 {
					t.Skip("no run")
				}
				c.fate = draw("fate", fates)
				c.commitText(c.runs[draw("run", len(c.runs))])
				c.remember()
			},
			"apply delayed": func(t *rapid.T) {
				if len(c.delayed) == 0 {
					t.Skip("none")
				}
				i := draw("entry", len(c.delayed))
				c.apply(c.delayed[i])
				c.delayed = slices.Delete(c.delayed, i, i+1)
			},
			"retry end": func(t *rapid.T) {
				if len(c.ends) == 0 {
					t.Skip("none")
				}
				c.apply(encodeAdvance([]itemUpdate{c.ends[draw("end", len(c.ends))]}, submitted))
			},
			"": func(t *rapid.T) {
				if err := c.check(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}
