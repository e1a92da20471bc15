package node

import (
	"time"

	admission "chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/settings"
)

// servicePolicy applies to each engine the batch controller of its service. It
// is not safe for concurrent use; only the dispatcher's goroutine calls it.
type servicePolicy struct {
	source      settings.Source
	engines     fleet.Source
	applied     *settings.Snapshot
	controllers map[string]*admission.Controller // by model
	byEngine    map[string]*admission.Controller
}

func newServicePolicy(source settings.Source, engines fleet.Source) *servicePolicy {
	return &servicePolicy{
		source:      source,
		engines:     engines,
		controllers: map[string]*admission.Controller{},
		byEngine:    map[string]*admission.Controller{},
	}
}

// Step implements admission.Policy.
func (p *servicePolicy) Step(now time.Time, event admission.Event) []admission.Action {
	p.applySettings()
	controller := p.controllerFor(event.Engine)
	if controller == nil {
		return nil
	}
	if event.Kind == admission.EventEngineGone {
		delete(p.byEngine, event.Engine)
	}
	return controller.Step(now, event)
}

// applySettings reconfigures the controllers after a change of settings.
func (p *servicePolicy) applySettings() {
	current := p.source.Current()
	if current == p.applied || current == nil {
		return
	}
	p.applied = current
	for model, controller := range p.controllers {
		if service, ok := current.ServiceByModel(model); ok {
			controller.Configure(controllerConfig(service))
		}
	}
}

// controllerFor returns the controller of the first of the engine's models
// that has a service, or nil if there is none.
func (p *servicePolicy) controllerFor(engine string) *admission.Controller {
	if controller, known := p.byEngine[engine]; known || p.applied == nil {
		return controller
	}
	for _, endpoint := range p.engines.Snapshot().Endpoints {
		if endpoint.Name != engine {
			continue
		}
		for _, model := range endpoint.Load.Models {
			service, ok := p.applied.ServiceByModel(model)
			if !ok {
				continue
			}
			if p.controllers[model] == nil {
				p.controllers[model] = admission.NewController(controllerConfig(service))
			}
			p.byEngine[engine] = p.controllers[model]
			return p.controllers[model]
		}
	}
	return nil
}

func controllerConfig(service *settings.Service) admission.Config {
	return admission.Config{Share: service.BatchShare, Slots: service.SlotsPerEngine}
}
