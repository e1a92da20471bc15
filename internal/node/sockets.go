package node

import (
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/acceptor"
	"chutelock.dev/chutelock/internal/config"
	"chutelock.dev/chutelock/internal/gateway"
	"chutelock.dev/chutelock/internal/node/certificate"
)

// sockets holds the node's listening TCP sockets for HTTP.
type sockets struct {
	callers    net.Listener // without TLS
	callersTLS *tls.Config  // nil if the callers' port is served without TLS
	operators  net.Listener
}

// openSockets listens on the callers' and operators' ports, with TLS if the
// settings name a certificate.
func openSockets(settings *config.Node) (*sockets, error) {
	var tlsConfig *tls.Config
	if settings.TLS.Certificate != "" {
		reloader, err := certificate.NewReloader(settings.TLS.Certificate, settings.TLS.Key)
		if err != nil {
			return nil, err
		}
		tlsConfig = reloader.Config()
	}
	callers, err := listen(settings.Listen.Callers, nil)
	if err != nil {
		return nil, trace.Wrap(err, "opening the callers' port")
	}
	if tlsConfig == nil {
		callers = gateway.NewListener(callers)
	}
	operators, err := listen(settings.Listen.Operators, tlsConfig)
	if err != nil {
		callers.Close()
		return nil, trace.Wrap(err, "opening the operators' port")
	}
	return &sockets{callers: callers, callersTLS: tlsConfig, operators: operators}, nil
}

func listen(address string, tlsConfig *tls.Config) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", address)
	}
	retrying := acceptor.New(listener)
	if tlsConfig == nil {
		return retrying, nil
	}
	return tls.NewListener(retrying, tlsConfig), nil
}
