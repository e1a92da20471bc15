package batchapi

import (
	"fmt"
	"net/http"

	"chutelock.dev/chutelock/internal/gateway"
	"chutelock.dev/chutelock/internal/settings"
)

// keyAuthenticator identifies tenants by the API key of the Authorization header.
type keyAuthenticator struct {
	source settings.Source
}

// Authenticate implements Authenticator with the rules of the online API.
func (a keyAuthenticator) Authenticate(r *http.Request) (*settings.Tenant, error) {
	tenant, failure := gateway.Authenticate(a.source.Current(), r)
	if failure != nil {
		return nil, failure
	}
	return tenant, nil
}

// checkModel returns an error unless the model exists and the tenant may use it.
func (h *handler) checkModel(tenant *settings.Tenant, model string) error {
	snapshot := h.Settings.Current()
	known := false
	if snapshot != nil {
		_, known = snapshot.ServiceByModel(model)
	}
	if !known || !gateway.MayUse(tenant, model) {
		return fmt.Errorf("the model %q does not exist or you may not use it", model)
	}
	return nil
}
