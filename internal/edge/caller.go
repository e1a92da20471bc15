package edge

import (
	"net/http"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/returns"
	"chutelock.dev/chutelock/internal/telemetry"
)

var (
	eventLimited   = telemetry.Define(2304, "request-limited", "A tenant's request was refused, as the tenant is at its limit over all nodes; gives the counts and their age.")
	eventOverShare = telemetry.Define(2305, "request-over-share", "A tenant's request was refused, as room is short and the tenant asks for more than its share; gives both and the age of the counts.")
)

// Rules that refuse a tenant's requests: ruleLimit those beyond its limit, ruleShare those
// beyond its share while room is short.
const (
	ruleLimit = "limit"
	ruleShare = "share"
)

// caller is the tenant that sent a request, or nil if it came without a key.
type caller struct{ tenant *catalog.Tenant }

func (c caller) name() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// authenticate finds the tenant of the request's key. If a required key is missing or
// unknown, it writes the response and returns false. anonymous allows requests without a key.
//
// An unknown key is rejected for good only if the configuration is current. Otherwise the
// key may be newer than the configuration, and the caller is told to retry.
func (e *Edge) authenticate(w http.ResponseWriter, r *http.Request, configuration *catalog.Configuration, anonymous bool) (caller, bool) {
	if !configuration.KeyRequired() {
		return caller{}, true
	}
	key, presence := apikey.Read(r.Header)
	if presence == apikey.Given && e.ConfigurationExpired() {
		e.reject(w, r, http.StatusServiceUnavailable, "this node can't confirm that the key still holds")
		return caller{}, false
	}
	if presence == apikey.Given {
		if tenant := configuration.TenantOf(key); tenant != nil {
			return caller{tenant}, true
		}
	}
	switch {
	case anonymous:
		return caller{}, true
	case presence == apikey.Given && !e.ConfigurationCurrent():
		e.reject(w, r, http.StatusServiceUnavailable, "this node's configuration may be behind, and the key is not in it")
	default:
		w.Header().Set("WWW-Authenticate", "Bearer")
		e.reject(w, r, http.StatusUnauthorized, "a key that is known is needed: Authorization: Bearer KEY")
	}
	return caller{}, false
}

// checkLimit refuses a request that exceeds its tenant's limit, and then returns false.
func (e *Edge) checkLimit(w http.ResponseWriter, r *http.Request, tenant *catalog.Tenant, request *forward.Request) bool {
	decision := e.Admit(r.Context(), tenant)
	if decision.Verdict == quota.Admitted {
		return true
	}
	eventLimited.Info("request", request.ID, "tenant", tenant.Name, "rate", tenant.Rate, "burst", tenant.Burst,
		"own", decision.Own, "others", decision.Others, "room", decision.Reserve, "bound", decision.Bound, "age", decision.Age, "come_back", decision.RetryAfter)
	e.countRefusal(tenant, ruleLimit)
	writeErrorRetryAfter(w, http.StatusTooManyRequests, "the tenant is at its limit; the request has not run", decision.RetryAfter)
	return false
}

// checkShare refuses a request that exceeds its tenant's share of the room, and then returns
// false.
func (e *Edge) checkShare(w http.ResponseWriter, tenant *catalog.Tenant, route *catalog.Route, request *forward.Request) bool {
	if e.Share == nil || tenant == nil {
		return true
	}
	decision := e.Share(tenant, route)
	if !decision.Refused {
		return true
	}
	retryAfter := e.RetryAfter(returns.Refusal{Tenant: tenant.Name, Deadline: request.Deadline, Earliest: decision.Earliest})
	eventOverShare.Info("request", request.ID, "route", route.Name, "tenant", tenant.Name, "weight", decision.Weight, "share", decision.Share,
		"demand", decision.Demand, "capacity", decision.Capacity, "age", decision.Age, "come_back", retryAfter)
	e.countRefusal(tenant, ruleShare)
	writeErrorRetryAfter(w, http.StatusServiceUnavailable, "the tenant asks for more than its share while room is short; the request has not run", retryAfter)
	return false
}

func (e *Edge) countRefusal(tenant *catalog.Tenant, rule string) {
	if e.Refused != nil {
		e.Refused(tenant.Name, rule)
	}
}

// callAllowsAnonymous reports whether calls about batch jobs need no key: the host has a
// public batch route.
func callAllowsAnonymous(configuration *catalog.Configuration, host string) bool {
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		if route.Public && route.Kind == catalog.KindBatch && route.MatchesHost(host) {
			return true
		}
	}
	return false
}
