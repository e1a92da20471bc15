package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
	"chutelock.dev/chutelock/internal/standin/fault"
)

// registerInterval is the interval between registrations with the platform.
const registerInterval = time.Second

// registrationsPerPublish is the number of registrations between checks of the
// engine's object, which is gone after the platform lost its disk.
const registrationsPerPublish = 5

// machineRole is the engine's role in the machine list.
const machineRole = "engine"

// Register keeps the engine in the platform's machine list under its address
// until ctx ends, then deregisters it. Without a platform it does nothing.
func (s *Server) Register(ctx context.Context, address string) {
	if s.config.Platform == "" {
		return
	}
	client := objecthttp.New(s.config.Platform, objecthttp.Options{Timeout: registerInterval})
	registrations := 0
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		if s.injector.Wait(ctx, fault.Pause) != nil {
			s.deregister(client)
			return
		}
		err := client.Register(ctx, s.machine(address))
		if err == nil && registrations%registrationsPerPublish == 0 {
			err = s.publish(ctx, client, address)
		}
		if err == nil {
			registrations++
		}
		if err != nil && ctx.Err() == nil {
			EventRegisterFailed.Error(err, "engine", s.config.Name)
		}
		select {
		case <-ticker.C:
		case <-s.drainChanged:
		case <-ctx.Done():
			s.deregister(client)
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

// publish writes the engine's object if it is missing or outdated. A real
// platform does this itself.
func (s *Server) publish(ctx context.Context, store *objecthttp.Client, address string) error {
	models := make([]string, 0, len(s.config.Models))
	models = append(models, s.config.Models...)
	spec, err := json.Marshal(fleet.Spec{
		Address: address,
		Zone:    s.config.Zone,
		Region:  s.config.Region,
		Models:  models,
	})
	if err != nil {
		return err
	}
	object, err := store.Get(ctx, platform.KindEngine, s.config.Name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil && bytes.Equal(object.Spec, spec) {
		return nil
	}
	_, err = store.Put(ctx, platform.Object{
		Kind:     platform.KindEngine,
		Name:     s.config.Name,
		Revision: object.Revision,
		Spec:     spec,
	})
	return err
}

func (s *Server) deregister(client *objecthttp.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), registerInterval)
	defer cancel()
	err := client.Deregister(ctx, s.config.Name)
	if err == nil {
		err = client.Delete(ctx, platform.KindEngine, s.config.Name, 0)
	}
	if err != nil {
		EventRegisterFailed.Error(err, "engine", s.config.Name)
	}
}
