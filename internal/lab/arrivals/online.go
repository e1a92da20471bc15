package arrivals

import (
	"math/rand/v2"
	"time"
)

// Span is an inclusive range of integers that is sampled uniformly.
type Span struct {
	Min int `koanf:"min" validate:"gte=0"`
	Max int `koanf:"max" validate:"gtefield=Min"`
}

func (s Span) draw(random *rand.Rand) int {
	if s.Max <= s.Min {
		return s.Min
	}
	return s.Min + random.IntN(s.Max-s.Min+1)
}

// Mean returns the expected value of a sample.
func (s Span) Mean() float64 { return float64(s.Min+s.Max) / 2 }

// Burst multiplies the online rate by Factor for Length, at Start and then every
// Every (once if Every is zero).
type Burst struct {
	Start  time.Duration `koanf:"start" validate:"gte=0"`
	Every  time.Duration `koanf:"every" validate:"gte=0"`
	Length time.Duration `koanf:"length" validate:"gt=0"`
	Factor float64       `koanf:"factor" validate:"gt=0"`
}

// Covers reports whether the burst is active at a time since the start of the run.
func (b Burst) Covers(at time.Duration) bool {
	if at < b.Start {
		return false
	}
	since := at - b.Start
	if b.Every > 0 {
		since %= b.Every
	}
	return since < b.Length
}

// Prompts configures prompts. Prompts of the same family start with the same
// SharedTokens tokens, followed by OwnTokens tokens unique to each prompt.
type Prompts struct {
	Families     int  `koanf:"families" validate:"gte=0"`
	SharedTokens int  `koanf:"shared_tokens" validate:"gte=0"`
	OwnTokens    Span `koanf:"own_tokens"`
	OutputTokens Span `koanf:"output_tokens"`
}

// Online configures online traffic.
type Online struct {
	// Rate is in requests per second, outside bursts.
	Rate    float64 `koanf:"rate" validate:"gte=0"`
	Bursts  []Burst `koanf:"bursts" validate:"dive"`
	Prompts Prompts `koanf:"prompts"`
}

// RateAt returns the expected arrival rate at a time, in requests per second.
func (o Online) RateAt(at time.Duration) float64 {
	rate := o.Rate
	for _, burst := range o.Bursts {
		if burst.Covers(at) {
			rate *= burst.Factor
		}
	}
	return rate
}

// maxRate returns an upper bound of RateAt.
func (o Online) maxRate() float64 {
	peak := o.Rate
	for _, burst := range o.Bursts {
		peak *= max(1, burst.Factor)
	}
	return peak
}

// Request is one arrival.
type Request struct {
	At     time.Duration // since the start of the run
	Number int           // sequence number from 0, in order of arrival
	// Family is the prompt family, or -1 if the prompt has no shared prefix.
	Family       int
	SharedTokens int
	OwnTokens    int
	OutputTokens int
}

// PromptTokens returns the length of the prompt in tokens.
func (r Request) PromptTokens() int { return r.SharedTokens + r.OwnTokens }

// OnlineStream generates online requests in order of arrival.
type OnlineStream struct {
	config  Online
	random  *rand.Rand
	maxRate float64
	now     time.Duration
	number  int
}

// Second words of the PCG seeds, which keep online and batch traffic independent.
const (
	seedOnline = 0x6f6e6c696e65
	seedBatch  = 0x6261746368
)

// NewOnline returns the request stream of a seed.
func NewOnline(config Online, seed uint64) *OnlineStream {
	return &OnlineStream{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, seedOnline)),
		maxRate: config.maxRate(),
	}
}

// Next returns the next arrival before end, or false if there is none. It thins
// a Poisson process of the maximum rate to follow the varying rate.
func (s *OnlineStream) Next(end time.Duration) (Request, bool) {
	if s.maxRate <= 0 {
		return Request{}, false
	}
	for {
		s.now += time.Duration(s.random.ExpFloat64() / s.maxRate * float64(time.Second))
		if s.now >= end {
			return Request{}, false
		}
		if s.random.Float64()*s.maxRate < s.config.RateAt(s.now) {
			return s.newRequest(), true
		}
	}
}

func (s *OnlineStream) newRequest() Request {
	request := s.config.Prompts.draw(s.random)
	request.At = s.now
	request.Number = s.number
	s.number++
	return request
}

func (p Prompts) draw(random *rand.Rand) Request {
	request := Request{Family: -1}
	if p.Families > 0 {
		request.Family = random.IntN(p.Families)
		request.SharedTokens = p.SharedTokens
	}
	request.OwnTokens = max(1, p.OwnTokens.draw(random))
	request.OutputTokens = max(1, p.OutputTokens.draw(random))
	return request
}
