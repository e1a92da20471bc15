package scheduler

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against wrong token counts or step times, and against prefixes that are not
// reused.
func TestSequenceFinishesAndReusesCachedPrefix(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(Config{BlockTokens: 4, Blocks: 16, TokenBudget: 8, StepBase: time.Millisecond})
	hashes := HashBlocks("m", []byte("0123456789ab"), 4, 1)
	g.Expect(hashes).To(gomega.HaveLen(3))
	now := time.Unix(0, 0)
	run := func(id string) (tokens []int, finished Finished) {
		g.Expect(s.Submit(now, Sequence{ID: id, PromptTokens: 12, PrefixHashes: hashes, MaxTokens: 3})).To(gomega.Succeed())
		for {
			result := s.Step(now)
			if result.Idle {
				return tokens, finished
			}
			now = now.Add(result.Duration)
			for _, token := range result.Tokens {
				tokens = append(tokens, token.Index)
			}
			for _, done := range result.Finished {
				finished = done
			}
		}
	}
	tokens, finished := run("a")
	g.Expect(tokens).To(gomega.Equal([]int{0, 1, 2}))
	g.Expect(finished.CachedTokens).To(gomega.Equal(0))
	g.Expect(now.UnixMilli()).To(gomega.BeEquivalentTo(4), "two prefill chunks, then two decodes")
	tokens, finished = run("b")
	g.Expect(tokens).To(gomega.Equal([]int{0, 1, 2}))
	g.Expect(finished.CachedTokens).To(gomega.Equal(8), "the last prompt block is computed again")
	g.Expect(s.Load().BlocksInUse).To(gomega.Equal(0))
}

// Guards against a suspended sequence that loses its blocks, or skips or repeats tokens
// after the requested one.
func TestResumeContinuesFromRequestedToken(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New(Config{BlockTokens: 4, Blocks: 16, TokenBudget: 8})
	now := time.Unix(0, 0)
	g.Expect(s.Submit(now, Sequence{ID: "a", PromptTokens: 5, MaxTokens: 4})).To(gomega.Succeed())
	s.Step(now)
	s.Step(now)
	g.Expect(s.Suspend("a")).To(gomega.Succeed())
	g.Expect(s.Suspend("a")).To(gomega.MatchError(ErrUnknown))
	g.Expect(s.Step(now).Idle).To(gomega.BeTrue())
	g.Expect(s.Load().BlocksSuspended).To(gomega.Equal(2))
	g.Expect(s.Resume(now, "a", 1)).To(gomega.Succeed())
	g.Expect(s.Step(now).Tokens).To(gomega.Equal([]Token{{"a", 1}}))
	g.Expect(s.Step(now).Tokens).To(gomega.Equal([]Token{{"a", 2}}))
	g.Expect(s.Step(now).Finished).To(gomega.HaveLen(1))
}
