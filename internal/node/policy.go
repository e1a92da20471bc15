package node

import (
	"time"

	admission "chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/settings"
)

// servicePolicy gives each service's engines a batch controller with the
// service's settings. Only the dispatcher's goroutine uses it.
type servicePolicy struct {
	source      settings.Source
	engines     fleet.Source
	inForce     *settings.Snapshot
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
	p.follow()
	controller := p.controllerOf(event.Engine)
	if controller == nil {
		return nil
	}
	if event.Kind == admission.EventEngineGone {
		delete(p.byEngine, event.Engine)
	}
	return controller.Step(now, event)
}

// follow puts changed settings in force.
func (p *servicePolicy) follow() {
	current := p.source.Current()
	if current == p.inForce || current == nil {
		return
	}
	p.inForce = current
	for model, controller := range p.controllers {
		if service, ok := current.ServiceByModel(model); ok {
			controller.Configure(controllerConfig(service))
		}
	}
}

// controllerOf finds an engine's controller by the first of its models that
// has a service; nil while there is none.
func (p *servicePolicy) controllerOf(engine string) *admission.Controller {
	if controller, known := p.byEngine[engine]; known || p.inForce == nil {
		return controller
	}
	for _, endpoint := range p.engines.Snapshot().Endpoints {
		if endpoint.Name != engine {
			continue
		}
		for _, model := range endpoint.Load.Models {
			service, ok := p.inForce.ServiceByModel(model)
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
