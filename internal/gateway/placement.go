package gateway

import (
	"sync"
	"time"

	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/routing"
	"chutelock.dev/chutelock/internal/settings"
)

// placement guards the router that all requests share and reports its ejections.
type placement struct {
	fleet   fleet.Source
	metrics *metrics

	mutex  sync.Mutex
	router *routing.Router
}

func (p *placement) pick(now time.Time, request routing.Request) (routing.Decision, error) {
	snapshot := p.fleet.Snapshot()
	p.mutex.Lock()
	decision, err := p.router.Pick(now, request, snapshot)
	transitions := p.router.Transitions()
	p.mutex.Unlock()
	p.report(transitions)
	return decision, err
}

func (p *placement) observe(now time.Time, outcome routing.Outcome) {
	p.mutex.Lock()
	p.router.Observe(now, outcome)
	transitions := p.router.Transitions()
	p.mutex.Unlock()
	p.report(transitions)
}

// capacity returns the number of requests of a service that this node may have in
// flight.
func (p *placement) capacity(now time.Time, service *settings.Service) int {
	snapshot := p.fleet.Snapshot()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.router.Capacity(now, routing.Request{Model: service.Model, Regions: service.Regions, Slots: service.SlotsPerEngine}, snapshot)
}

func (p *placement) report(transitions []routing.Transition) {
	for _, transition := range transitions {
		if transition.Ejected {
			p.metrics.ejections.WithLabelValues(transition.Cause).Inc()
			eventEndpointEjected.Info("engine", transition.Endpoint, "cause", transition.Cause, "until", transition.Until)
			continue
		}
		p.metrics.restorations.Inc()
		eventEndpointRestored.Info("engine", transition.Endpoint)
	}
}
