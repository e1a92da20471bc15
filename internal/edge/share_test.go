package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/fairshare"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/returns"
)

// A request over its tenant's share must be refused before an engine is sought, and not count
// against the tenant's limit.
func TestRequestOverShareIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	configuration := &catalog.Configuration{Routes: []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Backends: []catalog.Backend{{Service: "s"}}}}}
	configuration.SetTenants([]catalog.Tenant{
		{Name: "limited", Rate: 5, Keys: []apikey.Hash{apikey.HashKey("a")}}, {Name: "free", Keys: []apikey.Hash{apikey.HashKey("b")}},
	})
	snapshot := func() *catalog.Snapshot { return catalog.NewSnapshot(configuration, nil) }
	earliest := time.Now().Add(time.Second)
	var sharesAsked, withdrawn []string
	refuse := true
	e := &Edge{
		Dialect: plainDialect{}, Snapshot: snapshot, ConfigurationCurrent: func() bool { return true }, ConfigurationExpired: func() bool { return false },
		Admit:    func(context.Context, *catalog.Tenant) quota.Decision { return quota.Decision{} },
		Withdraw: func(tenant *catalog.Tenant, _ time.Time) { withdrawn = append(withdrawn, tenant.Name) },
		Share: func(tenant *catalog.Tenant, route *catalog.Route) fairshare.Decision {
			sharesAsked = append(sharesAsked, tenant.Name+" "+route.Name)
			return fairshare.Decision{Refused: refuse, Earliest: earliest}
		},
		RetryAfter: func(refusal returns.Refusal) time.Duration {
			g.Expect(refusal.Earliest).To(gomega.Equal(earliest))
			g.Expect(refusal.Tenant).NotTo(gomega.BeEmpty())
			return 1500 * time.Millisecond
		},
		Forwarder: &forward.Forwarder{Balancer: balance.New(snapshot)},
	}
	send := func(key string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "http://h/x", strings.NewReader("{}"))
		r.Header.Set("Authorization", "Bearer "+key)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		return w
	}
	for _, key := range []string{"a", "b"} {
		w := send(key)
		g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("1.5"))
		g.Expect(w.Body.String()).To(gomega.ContainSubstring("share"))
		g.Expect(w.Body.String()).To(gomega.ContainSubstring("has not run"))
	}
	g.Expect(sharesAsked).To(gomega.Equal([]string{"limited r", "free r"}))
	g.Expect(withdrawn).To(gomega.Equal([]string{"limited"}))

	refuse = false // the request is forwarded, and there is no engine
	g.Expect(send("a").Body.String()).NotTo(gomega.ContainSubstring("share"))
	g.Expect(withdrawn).To(gomega.HaveLen(2))
}
