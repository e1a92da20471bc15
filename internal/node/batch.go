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

// batch combines the service that stores batch jobs with the dispatcher that
// runs their items.
type batch struct {
	*service.Service
	dispatcher *dispatch.Dispatcher
}

// openDispatcher creates the dispatcher; name must be unique to this run of
// the node.
func (b *batch) openDispatcher(engines fleet.Clients, policy admission.Policy, name string, registry prometheus.Registerer) {
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
	var tasks sync.WaitGroup
	tasks.Go(func() { b.Run(ctx) })
	tasks.Go(func() { b.dispatcher.Run(ctx) })
	tasks.Wait()
}
