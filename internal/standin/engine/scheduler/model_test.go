package scheduler

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.steps", "120")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	if os.Getenv("CHUTELOCK_CAMPAIGN") == "" {
		_ = flag.Set("rapid.seed", "1")
	} else {
		_ = flag.Set("rapid.checks", "20000")
	}
	os.Exit(m.Run())
}

// expectation is the model's state of a sequence.
type expectation struct {
	Sequence
	next      int
	suspended bool
}

// model checks a scheduler against the tokens expected of each sequence.
type model struct {
	scheduler *Scheduler
	now       time.Time
	expected  map[string]*expectation
	cached    map[uint64]bool
	submitted int
}

// configs are short of slots, tokens per step or blocks.
var configs = []Config{
	{MaxRunning: 4, TokenBudget: 16, BlockTokens: 2, Blocks: 16},
	{MaxRunning: 4, TokenBudget: 3, BlockTokens: 4, Blocks: 10},
	{MaxRunning: 2, TokenBudget: 8, BlockTokens: 1, Blocks: 40},
	{MaxRunning: 6, TokenBudget: 24, BlockTokens: 3, Blocks: 12},
	{MaxRunning: 1, TokenBudget: 1, BlockTokens: 4, Blocks: 8},
}

func newModel(t *rapid.T) *model {
	config := rapid.SampledFrom(configs).Draw(t, "shape")
	config.StepBase = time.Millisecond
	config.PreemptSlots = rapid.Bool().Draw(t, "preempt slots")
	return &model{
		scheduler: New(config),
		expected:  map[string]*expectation{},
		cached:    map[uint64]bool{},
	}
}

func (m *model) submit(t *rapid.T) {
	length := rapid.SampledFrom([]int{1, 5, 8, 12, 16, 20}).Draw(t, "prompt")
	prompt := []byte("aaaaaaaaaaaaaaaaaaaaaaaa")[:length]
	prompt = append([]byte(nil), prompt...)
	// Prompts share a prefix of random length.
	if cut := rapid.IntRange(0, length).Draw(t, "cut"); cut < length {
		prompt[cut] = 'b'
	}
	maxTokens := rapid.SampledFrom([]int{1, 3, 8, 12}).Draw(t, "max tokens")
	submitted := Sequence{
		ID:           fmt.Sprint(m.submitted),
		Priority:     rapid.IntRange(0, 2).Draw(t, "priority") * 100,
		PromptTokens: length,
		PrefixHashes: HashBlocks("m", prompt, m.scheduler.config.BlockTokens, 1),
		MaxTokens:    maxTokens,
		ResumeFrom:   rapid.IntRange(0, maxTokens-1).Draw(t, "resume from"),
	}
	m.submitted++
	config := m.scheduler.config
	fits := (length+maxTokens+config.BlockTokens-1)/config.BlockTokens <= config.Blocks
	if err := m.scheduler.Submit(m.now, submitted); (err == nil) != fits {
		t.Fatalf("submit of %d tokens: %v", length+maxTokens, err)
	}
	if fits {
		m.expected[submitted.ID] = &expectation{Sequence: submitted, next: submitted.ResumeFrom}
	}
}

// pick draws a sequence that is suspended, or one that is not.
func (m *model) pick(t *rapid.T, suspended bool) *expectation {
	var candidates []*expectation
	for i := 0; i < m.submitted; i++ {
		if expected := m.expected[fmt.Sprint(i)]; expected != nil && expected.suspended == suspended {
			candidates = append(candidates, expected)
		}
	}
	if len(candidates) == 0 {
		t.Skip("none")
	}
	return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "which")]
}

func (m *model) suspend(t *rapid.T) {
	picked := m.pick(t, false)
	if err := m.scheduler.Suspend(picked.ID); err != nil {
		t.Fatalf("suspend: %v", err)
	}
	picked.suspended = true
}

func (m *model) resume(t *rapid.T) {
	picked := m.pick(t, true)
	from := rapid.IntRange(0, picked.next).Draw(t, "from")
	if err := m.scheduler.Resume(m.now, picked.ID, from); err != nil {
		t.Fatalf("resume: %v", err)
	}
	picked.next = from
	picked.suspended = false
}

func (m *model) cancel(t *rapid.T) {
	picked := m.pick(t, rapid.Bool().Draw(t, "suspended"))
	if err := m.scheduler.Cancel(picked.ID); err != nil {
		t.Fatalf("cancel: %v", err)
	}
	delete(m.expected, picked.ID)
}

// importBlocks imports the blocks of a random prefix.
func (m *model) importBlocks(t *rapid.T) {
	prompt := make([]byte, rapid.IntRange(1, 20).Draw(t, "imported"))
	m.scheduler.Import(HashBlocks("m", prompt, m.scheduler.config.BlockTokens, 1))
}

// step runs a step and checks that tokens are emitted in order, once, and completely.
func (m *model) step(t *rapid.T) StepResult {
	result := m.scheduler.Step(m.now)
	m.now = m.now.Add(result.Duration)
	finished := map[string]bool{}
	for _, done := range result.Finished {
		finished[done.ID] = true
	}
	for _, token := range result.Tokens {
		expected := m.expected[token.ID]
		if expected == nil || expected.suspended {
			t.Fatalf("token of %s, which is not running", token.ID)
		}
		if token.Index != expected.next {
			t.Fatalf("token %d of %s, want %d", token.Index, token.ID, expected.next)
		}
		expected.next++
		if finished[token.ID] != (expected.next == expected.MaxTokens) {
			t.Fatalf("%s finished: %v at %d of %d", token.ID, finished[token.ID], expected.next, expected.MaxTokens)
		}
		if finished[token.ID] {
			delete(m.expected, token.ID)
			delete(finished, token.ID)
		}
	}
	if len(finished) > 0 {
		t.Fatalf("finished without emitting the last token: %v", finished)
	}
	m.checkPlan(t)
	for _, hash := range result.Removed {
		delete(m.cached, hash)
	}
	for _, hash := range result.Stored {
		m.cached[hash] = true
	}
	m.checkCache(t, result)
	return result
}

// checkPlan checks that the step keeps to its limits, and that no sequence runs while
// one of higher priority waits, unless all slots are in use and not preemptible.
func (m *model) checkPlan(t *rapid.T) {
	s := m.scheduler
	tokens := 0
	for _, planned := range s.chunks {
		tokens += planned.tokens
		if planned.tokens < 1 {
			t.Fatalf("%s computes %d tokens", planned.sequence.ID, planned.tokens)
		}
	}
	if tokens > s.config.TokenBudget || len(s.chunks) > s.config.MaxRunning {
		t.Fatalf("step of %d tokens for %d sequences exceeds the limits", tokens, len(s.chunks))
	}
	// A slot freed by preemption is reused in the next step.
	full := len(s.running)+len(s.result.Finished)+len(s.result.Preempted) >= s.config.MaxRunning
	if full && !s.config.PreemptSlots {
		return
	}
	for _, planned := range s.chunks {
		for _, queued := range s.queue {
			if queued.Priority < planned.sequence.Priority {
				t.Fatalf("%s of priority %d ran while %s of priority %d waited",
					planned.sequence.ID, planned.sequence.Priority, queued.ID, queued.Priority)
			}
		}
	}
}

// checkCache checks that the Stored and Removed events match the cache. A block may be
// stored and removed in one step, so their order is not checked.
func (m *model) checkCache(t *rapid.T, result StepResult) {
	for _, hash := range result.Stored {
		m.cached[hash] = m.scheduler.pool.cached[hash] != nil
		if !m.cached[hash] {
			delete(m.cached, hash)
		}
	}
	if len(m.cached) != len(m.scheduler.pool.cached) {
		t.Fatalf("%d cached blocks according to events, %d in the cache", len(m.cached), len(m.scheduler.pool.cached))
	}
}

// check compares the block accounting with a recount.
func (m *model) check(t *rapid.T) {
	pool := &m.scheduler.pool
	private := 0
	references := map[*cachedBlock]int{}
	for _, known := range m.scheduler.known {
		private += known.private
		for _, block := range known.shared {
			references[block]++
		}
	}
	if private != pool.private {
		t.Fatalf("%d private blocks counted, %d held", pool.private, private)
	}
	idle := 0
	for _, block := range pool.cached {
		if block.references != references[block] {
			t.Fatalf("block has %d references, counted %d", references[block], block.references)
		}
		if block.references == 0 {
			idle++
		}
	}
	load := m.scheduler.Load()
	used := pool.private + len(pool.cached)
	if used > m.scheduler.config.Blocks || idle != pool.idle.Len() {
		t.Fatalf("%d of %d blocks in use, %d idle, %d listed", used, load.Blocks, idle, pool.idle.Len())
	}
	if len(m.expected) != load.Running+load.Waiting+load.Suspended {
		t.Fatalf("%d sequences expected, load %+v", len(m.expected), load)
	}
}

// Guards against lost or repeated tokens, starvation and wrong block accounting in
// random sequences of operations.
func TestSchedulerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"another": m.submit,
			"suspend": m.suspend,
			"resume":  m.resume,
			"cancel":  m.cancel,
			"import":  m.importBlocks,
			"step":    func(t *rapid.T) { m.step(t) },
			"step 2":  func(t *rapid.T) { m.step(t) },
			"":        m.check,
		})
		for _, expected := range m.expected {
			if expected.suspended {
				if err := m.scheduler.Resume(m.now, expected.ID, expected.next); err != nil {
					t.Fatalf("resume at the end: %v", err)
				}
				expected.suspended = false
			}
		}
		for steps := 0; len(m.expected) > 0; steps++ {
			if m.step(t).Idle || steps > 10000 {
				t.Fatalf("%d sequences never finish", len(m.expected))
			}
		}
		m.check(t)
	})
}
