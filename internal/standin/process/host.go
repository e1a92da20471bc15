package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/standin/fault"
)

// CrashExitCode is the exit code of an injected crash.
const CrashExitCode = 86

// headerTimeout is the maximum time to read a request header.
const headerTimeout = 10 * time.Second

// Service describes a stand-in that a Host serves.
type Service struct {
	Name    string
	Listen  string
	Control string
	// Handler serves the stand-in's API at Listen; fault.Down stops it.
	Handler http.Handler
	// ControlHandler serves Control and stays up during fault.Down.
	ControlHandler http.Handler
	Injector       *fault.Injector
	// Crash is called on fault.Crash; if nil, the process exits.
	Crash func()
}

// Host serves a stand-in at its API and control addresses.
type Host struct {
	listener *fault.Listener
	control  net.Listener
	servers  []*http.Server
	failed   chan error
	name     string
}

// Start starts serving and registers the actions of fault.Down and fault.Crash.
func Start(service Service) (*Host, error) {
	listener, err := fault.Listen(service.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "listen at %s", service.Listen)
	}
	control, err := net.Listen("tcp", service.Control)
	if err != nil {
		_ = listener.Close()
		return nil, trace.Wrap(err, "listen at %s", service.Control)
	}
	host := &Host{listener: listener, control: control, failed: make(chan error, 2), name: service.Name}
	service.Injector.On(fault.Down, func(down fault.Fault) error {
		listener.Down(time.Duration(down.Duration))
		return nil
	})
	crash := service.Crash
	if crash == nil {
		crash = func() { os.Exit(CrashExitCode) }
	}
	service.Injector.On(fault.Crash, func(fault.Fault) error {
		crash()
		return nil
	})
	host.serve(listener, service.Handler)
	host.serve(control, service.ControlHandler)
	return host, nil
}

func (h *Host) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	h.servers = append(h.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.failed <- trace.Wrap(err, "serve at %s", listener.Addr())
		}
	}()
}

// Ready returns the content of the ready file.
func (h *Host) Ready() Ready {
	return Ready{
		Process: os.Getpid(),
		Name:    h.name,
		Address: h.listener.Addr().String(),
		Control: h.control.Addr().String(),
	}
}

// Failed returns a channel that receives an error if a server ends unexpectedly.
func (h *Host) Failed() <-chan error { return h.failed }

// Shutdown stops listening, waits for requests in progress until ctx ends, and
// then closes their connections.
func (h *Host) Shutdown(ctx context.Context) {
	for _, server := range h.servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

// Close closes the listeners and all connections immediately.
func (h *Host) Close() {
	for _, server := range h.servers {
		_ = server.Close()
	}
}
