package callerconn

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// startLimitedGate serves requests within configured limits; the server's own are 100 ms.
func startLimitedGate(t *testing.T, limits func() catalog.Limits) *Gate {
	const own = 100 * time.Millisecond
	gate := NewGate(0)
	gate.Limits = limits
	gate.Listener = listen(t)
	serveGate(t, gate, &http.Server{IdleTimeout: own, ReadHeaderTimeout: own, Handler: http.HandlerFunc(serveShortly)})
	return gate
}

// Guards against closing connections that callers may keep idle by the configuration.
func TestIdleConnectionIsKeptForConfiguredTime(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := startLimitedGate(t, func() catalog.Limits { return catalog.Limits{IdleTimeout: time.Minute} })
	conn := dialGate(t, gate)
	g.Expect(exchange(conn)).To(gomega.Succeed())
	time.Sleep(300 * time.Millisecond)
	g.Expect(exchange(conn)).To(gomega.Succeed())
}

// Guards against closing connections by a limit that was raised since they became idle.
func TestIdleConnectionIsKeptForRaisedTime(t *testing.T) {
	g := gomega.NewWithT(t)
	var raised atomic.Bool
	gate := startLimitedGate(t, func() catalog.Limits {
		if raised.Load() {
			return catalog.Limits{IdleTimeout: time.Minute}
		}
		return catalog.Limits{IdleTimeout: 200 * time.Millisecond}
	})
	conn := dialGate(t, gate)
	g.Expect(exchange(conn)).To(gomega.Succeed())
	raised.Store(true)
	time.Sleep(400 * time.Millisecond)
	g.Expect(exchange(conn)).To(gomega.Succeed())
	raised.Store(false)
	g.Expect(exchange(conn)).To(gomega.Succeed())
	g.Eventually(gate.Open, 10*time.Second).Should(gomega.BeZero(), "a limit that was lowered holds, too")
}

// Guards against dropping a request whose head comes as slowly as the configuration allows.
func TestHeadMayTakeConfiguredTime(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := startLimitedGate(t, func() catalog.Limits { return catalog.Limits{HeaderTimeout: time.Minute} })
	conn := dialGate(t, gate)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nX: ")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(300 * time.Millisecond)
	_, err = io.WriteString(conn, "y\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(exchangeRest(conn)).To(gomega.Succeed())
}
