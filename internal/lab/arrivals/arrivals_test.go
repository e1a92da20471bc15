package arrivals_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/lab/arrivals"
	"chutelock.dev/chutelock/internal/standin/truth"
)

func collect(config arrivals.Online, seed uint64, end time.Duration) []arrivals.Request {
	var requests []arrivals.Request
	stream := arrivals.NewOnline(config, seed)
	for {
		request, ok := stream.Next(end)
		if !ok {
			return requests
		}
		requests = append(requests, request)
	}
}

// Guards against a wrong arrival rate inside or outside bursts and against a seed that does not
// fix the traffic.
func TestOnlineMatchesRateAndIsDeterministic(t *testing.T) {
	g := gomega.NewWithT(t)
	config := arrivals.Online{
		Rate:   100,
		Bursts: []arrivals.Burst{{Start: 10 * time.Second, Every: 20 * time.Second, Length: 5 * time.Second, Factor: 4}},
		Prompts: arrivals.Prompts{Families: 3, SharedTokens: 16, OwnTokens: arrivals.Span{Min: 2, Max: 9},
			OutputTokens: arrivals.Span{Min: 1, Max: 5}},
	}
	first := collect(config, 7, 100*time.Second)
	g.Expect(collect(config, 7, 100*time.Second)).To(gomega.Equal(first))
	g.Expect(collect(config, 8, 100*time.Second)).NotTo(gomega.Equal(first))
	inBurst := 0
	for _, request := range first {
		if config.Bursts[0].Covers(request.At) {
			inBurst++
		}
	}
	g.Expect(inBurst).To(gomega.BeNumerically("~", 25*400, 500))
	g.Expect(len(first) - inBurst).To(gomega.BeNumerically("~", 75*100, 500))
}

// Guards against prompts that share too much or too little for prefix-cache experiments.
func TestTextSharesOnlyFamilyPrefix(t *testing.T) {
	g := gomega.NewWithT(t)
	request := arrivals.Request{Number: 1, Family: 2, SharedTokens: 16, OwnTokens: 4}
	sibling := arrivals.Request{Number: 2, Family: 2, SharedTokens: 16, OwnTokens: 4}
	other := arrivals.Request{Number: 1, Family: 3, SharedTokens: 16, OwnTokens: 4}
	text := request.Text("a")
	g.Expect(truth.PromptTokens(text)).To(gomega.Equal(request.PromptTokens()))
	prefix := text[:16*truth.TokenBytes]
	g.Expect(sibling.Text("a")).To(gomega.HavePrefix(prefix))
	g.Expect(sibling.Text("a")).NotTo(gomega.Equal(text))
	g.Expect(request.Text("b")).NotTo(gomega.Equal(text))
	g.Expect(other.Text("a")).NotTo(gomega.HavePrefix(prefix))
}

// Guards against job sizes, intervals or deadlines outside the configured ranges.
func TestNewBatchJobSizesAndDeadlines(t *testing.T) {
	g := gomega.NewWithT(t)
	config := arrivals.Batch{Every: 8 * time.Second, Jitter: 0.2, Items: arrivals.Span{Min: 5, Max: 9},
		DeadlineMin: time.Minute, DeadlineMax: 2 * time.Minute}
	jobs := arrivals.NewBatch(config, 3, 80*time.Second)
	g.Expect(arrivals.NewBatch(config, 3, 80*time.Second)).To(gomega.Equal(jobs))
	g.Expect(len(jobs)).To(gomega.BeNumerically("~", 10, 2))
	for _, job := range jobs {
		g.Expect(len(job.Items)).To(gomega.And(gomega.BeNumerically(">=", 5), gomega.BeNumerically("<=", 9)))
		g.Expect(job.Deadline - job.At).To(gomega.And(
			gomega.BeNumerically(">=", time.Minute), gomega.BeNumerically("<=", 2*time.Minute)))
	}
}
