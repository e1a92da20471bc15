package edge

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"k8s.io/klog/v2"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/balance"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/fairshare"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/logstory"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/returns"
	"chutelock.dev/chutelock/internal/telemetry"
)

// Each refused request must be counted once for its tenant, by metrics and from the log.
func TestRefusalsNameTheTenant(t *testing.T) {
	g := gomega.NewWithT(t)
	configuration := &catalog.Configuration{Routes: []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Backends: []catalog.Backend{{Service: "s"}}}}}
	configuration.SetTenants([]catalog.Tenant{
		{Name: "limited", Rate: 5, Keys: []apikey.Hash{apikey.HashKey("a")}}, {Name: "free", Keys: []apikey.Hash{apikey.HashKey("b")}},
		{Name: "large", Keys: []apikey.Hash{apikey.HashKey("c")}},
	})
	snapshot := func() *catalog.Snapshot { return catalog.NewSnapshot(configuration, nil) }
	counted := map[string]int{}
	e := &Edge{
		Dialect: plainDialect{}, Snapshot: snapshot, ConfigurationCurrent: func() bool { return true }, ConfigurationExpired: func() bool { return false },
		Admit: func(context.Context, *catalog.Tenant) quota.Decision {
			return quota.Decision{Verdict: quota.Refused, RetryAfter: time.Second, Age: time.Millisecond}
		},
		Share: func(tenant *catalog.Tenant, _ *catalog.Route) fairshare.Decision {
			return fairshare.Decision{Refused: tenant.Name == "large", Share: 12.5, Demand: 90}
		},
		RetryAfter: func(returns.Refusal) time.Duration { return time.Second },
		Refused:    func(tenant, rule string) { counted[tenant+" "+rule]++ },
		Forwarder: &forward.Forwarder{
			Balancer: balance.New(snapshot),
			Observe:  func(result forward.Result) { counted[result.Tenant+" "+result.Verdict]++ },
		},
	}
	var lines bytes.Buffer
	output := telemetry.NewOutput(&lines)
	telemetry.SetJSONLogger(output)
	for _, key := range []string{"a", "b", "c"} {
		r := httptest.NewRequest(http.MethodPost, "http://h/x", strings.NewReader("{}"))
		r.Header.Set("Authorization", "Bearer "+key)
		e.ServeHTTP(httptest.NewRecorder(), r)
	}
	klog.ClearLogger()
	output.Close()

	g.Expect(counted).To(gomega.Equal(map[string]int{"limited " + ruleLimit: 1, "free " + forward.VerdictNotRun.String(): 1, "large " + ruleShare: 1}))
	entries, err := logstory.Read(&lines, "front-1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	spans := logstory.Spans(entries, time.Time{}, time.Time{}, 1000*time.Hour)
	g.Expect(spans).To(gomega.HaveLen(1))
	g.Expect(spans[0].Tenants).To(gomega.HaveLen(3))
	g.Expect(spans[0].Tenants["limited"]).To(gomega.HaveField("Limited", 1))
	g.Expect(spans[0].Tenants["free"].Refused).To(gomega.Equal(map[string]int{balance.ErrNoEngine.Error(): 1}))
	g.Expect(spans[0].Tenants["large"]).To(gomega.And(gomega.HaveField("OverShare", 1), gomega.HaveField("Share", 12.5), gomega.HaveField("Demand", 90.0)))
}
