package node

import (
	"context"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	admission "chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/gateway/batchapi"
	"chutelock.dev/chutelock/internal/jobs/dispatch"
	"chutelock.dev/chutelock/internal/jobs/service"
	"chutelock.dev/chutelock/internal/settings"
)

// batch is the node's part in batch jobs: keeping them and running items.
type batch struct {
	*service.Service
	dispatcher *dispatch.Dispatcher
}

// runsOn gives the batch part its engines; name is unique to this run of the
// node.
func (b *batch) runsOn(engines fleet.Clients, policy admission.Policy, name string, registry prometheus.Registerer) {
	b.dispatcher = dispatch.New(dispatch.Dependencies{
		Name:    name,
		Work:    b.Work,
		Policy:  policy,
		Clients: engines,
		Metrics: registry,
	})
}

func (b *batch) handler(source settings.Source) http.Handler {
	return batchapi.New(batchapi.Dependencies{
		Files:    b.Files,
		Jobs:     b.Jobs,
		Queries:  b.Queries,
		Settings: source,
	})
}

func (b *batch) run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { b.Run(ctx) })
	both.Go(func() { b.dispatcher.Run(ctx) })
	both.Wait()
}
