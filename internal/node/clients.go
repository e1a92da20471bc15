package node

import (
	"context"
	"errors"

	"chutelock.dev/chutelock/internal/engine"
	"chutelock.dev/chutelock/internal/fleet"
)

// observedClients wraps clients to report engine failures seen by this node's
// own traffic, so that the engine's home polls it at once.
type observedClients struct {
	fleet.Clients
	observer fleet.FailureObserver
}

// Client implements fleet.Clients.
func (c observedClients) Client(endpoint *fleet.Endpoint) engine.Client {
	return observedClient{Client: c.Clients.Client(endpoint), endpoint: endpoint, observer: c.observer}
}

type observedClient struct {
	engine.Client
	endpoint *fleet.Endpoint
	observer fleet.FailureObserver
}

// Generate implements engine.Client.
func (c observedClient) Generate(ctx context.Context, request engine.Request, sink func(engine.Chunk) error) (engine.Finish, error) {
	finish, err := c.Client.Generate(ctx, request, sink)
	var failure *engine.Error
	// An error response concerns the request, not the engine; a cancelled
	// context comes from the caller.
	if errors.As(err, &failure) && failure.Status == 0 && ctx.Err() == nil {
		c.observer.EngineFailed(c.endpoint)
	}
	return finish, err
}
