package gateway

import (
	"net/http"
	"time"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/settings"
)

// retryAfterNoSettings is the suggested retry delay until a node has settings.
const retryAfterNoSettings = time.Second

// Authenticate returns the tenant of the request's API key.
func Authenticate(snapshot *settings.Snapshot, r *http.Request) (*settings.Tenant, *apierror.Error) {
	if snapshot == nil {
		return nil, apierror.NotRun(http.StatusServiceUnavailable, retryAfterNoSettings, "this node has no settings yet")
	}
	key, presence := apikey.Read(r.Header)
	if presence != apikey.Given {
		return nil, apierror.InvalidKey("give one API key as 'Authorization: Bearer KEY'")
	}
	tenant, ok := snapshot.TenantByKey(key)
	if !ok {
		return nil, apierror.InvalidKey("the API key is not known")
	}
	return tenant, nil
}

// MayUse reports whether the tenant may use the model.
func MayUse(tenant *settings.Tenant, model string) bool {
	if len(tenant.Models) == 0 {
		return true
	}
	for _, allowed := range tenant.Models {
		if allowed == model {
			return true
		}
	}
	return false
}
