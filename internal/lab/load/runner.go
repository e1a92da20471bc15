package load

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/lab/arrivals"
)

// Run sends the configured traffic and waits for all responses. Canceling ctx
// stops new requests and cancels those in flight.
func Run(ctx context.Context, config Config) (Summary, error) {
	if err := config.validate(); err != nil {
		return Summary{}, trace.Wrap(err, "load configuration")
	}
	client := newClient(config)
	defer client.http.CloseIdleConnections()
	recorder := newRecorder()
	pool := pond.NewPool(config.MaxInFlight, pond.WithQueueSize(1))
	start := time.Now()
	stream := arrivals.NewOnline(config.Online, config.Seed)
	for sent := 0; config.MaxRequests <= 0 || sent < config.MaxRequests; sent++ {
		request, ok := stream.Next(config.Duration)
		if !ok || !sleepUntil(ctx, start.Add(request.At)) {
			break
		}
		call := call{
			targets:   config.targetOrder(request.Number),
			prompt:    request.Text(config.Label),
			maxTokens: request.OutputTokens,
			scheduled: start.Add(request.At),
		}
		_, accepted := pool.TrySubmit(func() { recorder.record(client.do(ctx, call)) })
		if !accepted {
			recorder.record(callResult{outcome: OutcomeNotSent})
		}
	}
	pool.StopAndWait()
	summary := recorder.summary()
	summary.Seed = config.Seed
	summary.Checked = config.Expected != nil
	summary.Seconds = time.Since(start).Seconds()
	return summary, nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
