package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/upstream"
)

// reusedAddressDialect recognizes engines that report that another engine has their address.
type reusedAddressDialect struct{ testDialect }

func (d reusedAddressDialect) Facts(status int, header http.Header) upstream.Facts {
	facts := d.testDialect.Facts(status, header)
	facts.AddressReused = status == http.StatusMisdirectedRequest
	facts.NotRun = facts.AddressReused
	return facts
}

// Requests must not be refused after trying only the unreachable engines of a lost zone, which
// look near and idle, while other zones have free engines.
func TestForwarderLeavesZoneWithLostEngines(t *testing.T) {
	for name, stop := range map[string]func(*httptest.Server){
		"restarted with new IDs": func(*httptest.Server) {},
		"still unreachable":      (*httptest.Server).Close,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var engines []catalog.Engine
			add := func(zone string, count int, handler http.HandlerFunc, stop func(*httptest.Server)) {
				for i := range count {
					server := httptest.NewServer(handler)
					t.Cleanup(server.Close)
					stop(server)
					address := strings.TrimPrefix(server.URL, "http://")
					engines = append(engines, catalog.Engine{ID: fmt.Sprint(zone, i), Service: "s", Zone: zone, Address: address, Slots: 8})
				}
			}
			add("lost", 20, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, stop)
			add("other", 2, func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Id", r.Header.Get("X-Id")) }, func(*httptest.Server) {})
			snapshot := catalog.NewSnapshot(nil, engines)
			f := &Forwarder{
				Pool: upstream.NewPool(reusedAddressDialect{}), Balancer: balance.New(func() *catalog.Snapshot { return snapshot }),
				Usable: snapshot.Usable, Zone: "lost",
			}
			for range 3 {
				sink := serveArrived(f, time.Now(), time.Hour, "s")
				g.Expect(sink.refused).To(gomega.BeFalse())
				g.Expect(sink.status).To(gomega.Equal(http.StatusOK))
			}
		})
	}
}
