package engine

import (
	"context"
	"time"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
	"chutelock.dev/chutelock/internal/standin/fault"
)

// registerEvery is the time between registrations with the platform.
const registerEvery = time.Second

// machineRole is the engine's role in the machine list.
const machineRole = "engine"

// Register keeps the engine in the platform's machine list under its address
// until ctx ends, and then takes it off. It returns at once without a platform.
func (s *Server) Register(ctx context.Context, address string) {
	if s.config.Platform == "" {
		return
	}
	list := objecthttp.New(s.config.Platform, objecthttp.Options{Timeout: registerEvery})
	ticker := time.NewTicker(registerEvery)
	defer ticker.Stop()
	for {
		if s.injector.Wait(ctx, fault.Pause) != nil {
			s.deregister(list)
			return
		}
		if err := list.Register(ctx, s.machine(address)); err != nil && ctx.Err() == nil {
			EventRegisterFailed.Error(err, "engine", s.config.Name)
		}
		select {
		case <-ticker.C:
		case <-s.drainChanged:
		case <-ctx.Done():
			s.deregister(list)
			return
		}
	}
}

func (s *Server) machine(address string) platform.Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return platform.Machine{
		Name:    s.config.Name,
		Zone:    s.config.Zone,
		Role:    machineRole,
		Address: address,
		Leaving: s.draining,
	}
}

func (s *Server) deregister(list *objecthttp.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), registerEvery)
	defer cancel()
	if err := list.Deregister(ctx, s.config.Name); err != nil {
		EventRegisterFailed.Error(err, "engine", s.config.Name)
	}
}
