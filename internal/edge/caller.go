package edge

import (
	"net/http"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/telemetry"
)

var eventLimited = telemetry.Define(2304, "request-limited", "A tenant's request was turned away, as the tenant is at its limit over all nodes; says what was counted and how old that was.")

// caller is whose request it is: a tenant, or nobody in particular where no key is
// needed.
type caller struct{ tenant *catalog.Tenant }

func (c caller) name() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// identify finds the tenant whose key a request carries. It answers the request and
// returns false if a key is needed and there is none that is known. open says that
// the request needs no key.
//
// A key that is not known is refused for good only where the configuration is known
// to be new enough: elsewhere the key may have come since, and the caller is sent to
// another node.
func (e *Edge) identify(w http.ResponseWriter, r *http.Request, configuration *catalog.Configuration, open bool) (caller, bool) {
	if !configuration.Keyed() {
		return caller{}, true
	}
	key, presence := apikey.Read(r.Header)
	if presence == apikey.Given && e.Lapsed() {
		e.reject(w, r, http.StatusServiceUnavailable, "this node can't confirm that the key still holds")
		return caller{}, false
	}
	if presence == apikey.Given {
		if tenant := configuration.TenantOf(key); tenant != nil {
			return caller{tenant}, true
		}
	}
	switch {
	case open:
		return caller{}, true
	case presence == apikey.Given && !e.Current():
		e.reject(w, r, http.StatusServiceUnavailable, "this node's configuration may be behind, and the key is not in it")
	default:
		w.Header().Set("WWW-Authenticate", "Bearer")
		e.reject(w, r, http.StatusUnauthorized, "a key that is known is needed: Authorization: Bearer KEY")
	}
	return caller{}, false
}

// fits answers a request that is beyond its tenant's limit, and returns false then.
func (e *Edge) fits(w http.ResponseWriter, r *http.Request, tenant *catalog.Tenant, request *forward.Request) bool {
	decision := e.Admit(r.Context(), tenant)
	if decision.Verdict == quota.Admitted {
		return true
	}
	eventLimited.Info("request", request.ID, "tenant", tenant.Name, "rate", tenant.Rate, "burst", tenant.Burst,
		"own", decision.Own, "others", decision.Others, "room", decision.Room, "bound", decision.Bound, "age", decision.Age, "come_back", decision.ComeBack)
	answerLater(w, http.StatusTooManyRequests, "the tenant is at its limit; the request has not run", decision.ComeBack)
	return false
}

// openCall says whether a call about batch jobs may come without a key: some batch
// route of the host is public.
func openCall(configuration *catalog.Configuration, host string) bool {
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		if route.Public && route.Kind == catalog.KindBatch && route.OfHost(host) {
			return true
		}
	}
	return false
}
