package mirror

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// registryInterval is the time between two looks at the data nodes that
	// are registered in the store.
	registryInterval = 4 * time.Second
	// registerRetry is the pause after a failed registration.
	registerRetry = 500 * time.Millisecond
)

// registryLoop looks for data nodes in the store. Once a node knows some, its
// peers tell it of others, and only watchers go on looking.
func (a *Agent) registryLoop() {
	for a.running.Err() == nil {
		ctx, cancel := context.WithTimeout(a.running, listTimeout)
		nodes, err := a.options.Registry.Registered(ctx)
		cancel()
		if err == nil {
			a.learnNodes(nodes)
			a.noteSurveyed()
		}
		if err != nil || len(a.Nodes()) == 0 {
			a.pause(registerRetry)
			continue
		}
		a.pause(registryInterval/2 + rand.N(registryInterval))
		for !a.readsRegistry() && a.running.Err() == nil {
			a.pause(registryInterval)
		}
	}
}

func (a *Agent) noteSurveyed() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.surveyed = true
}

// readsRegistry says whether this node is to look for data nodes in the store:
// it watches, or no peer answers it.
func (a *Agent) readsRegistry() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, watches := a.rank()
	return watches || len(a.candidates("")) == 0
}

// register enters this data node into the store, until it is in.
func (a *Agent) register() {
	for a.running.Err() == nil {
		ctx, cancel := context.WithTimeout(a.running, listTimeout)
		err := a.options.Registry.Register(ctx, a.options.Self)
		cancel()
		if err == nil {
			return
		}
		a.pause(registerRetry)
	}
}
