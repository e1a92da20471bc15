package batchapi

import (
	"fmt"
	"net/http"

	"chutelock.dev/chutelock/internal/gateway"
	"chutelock.dev/chutelock/internal/settings"
)

// keyAuthenticator finds tenants by the key of the Authorization header.
type keyAuthenticator struct {
	source settings.Source
}

// Authenticate implements Authenticator, by the rules of the online API.
func (a keyAuthenticator) Authenticate(r *http.Request) (*settings.Tenant, error) {
	tenant, failure := gateway.Authenticate(a.source.Current(), r)
	if failure != nil {
		return nil, failure
	}
	return tenant, nil
}

// checkModel says whether the tenant may use the model.
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
