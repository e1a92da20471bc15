package openaihttp

import (
	"context"
	"net"
	"time"
)

// keepAlive is the interval of TCP keep-alive probes to engines.
const keepAlive = 15 * time.Second

func dialer(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, KeepAlive: keepAlive}).DialContext
}
