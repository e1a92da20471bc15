package mirror

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// registryInterval is the mean time between reads of the data nodes registered in the
	// store.
	registryInterval = 4 * time.Second
	// registerRetry is the pause after a failed call of the registry.
	registerRetry = 500 * time.Millisecond
)

// registryLoop reads the registered data nodes from the store. Once a node knows some, it
// learns of others from its peers, and only watchers keep reading.
func (a *Agent) registryLoop() {
	for a.running.Err() == nil {
		ctx, cancel := context.WithTimeout(a.running, listTimeout)
		nodes, err := a.options.Registry.Registered(ctx)
		cancel()
		if err == nil {
			a.addNodes(nodes)
			a.markRegistryRead()
		}
		if err != nil || len(a.Nodes()) == 0 {
			a.pause(registerRetry)
			continue
		}
		a.pause(registryInterval/2 + rand.N(registryInterval))
		for !a.mustReadRegistry() && a.running.Err() == nil {
			a.pause(registryInterval)
		}
	}
}

func (a *Agent) markRegistryRead() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.registryRead = true
}

// readsRegistry says whether this node is to read the registered data nodes: it is a watcher, or
// no data node answers it.
func (a *Agent) mustReadRegistry() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, isWatcher := a.rank()
	return isWatcher || len(a.candidates("")) == 0
}

// register registers this data node in the store, with retries until it succeeds.
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
