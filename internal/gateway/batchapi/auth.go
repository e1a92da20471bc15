package batchapi

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"chutelock.dev/chutelock/internal/gateway/apierror"
	"chutelock.dev/chutelock/internal/settings"
)

// keyAuthenticator finds tenants by the key of the Authorization header.
type keyAuthenticator struct {
	source settings.Source
}

const bearerPrefix = "Bearer "

// Authenticate implements Authenticator.
func (a keyAuthenticator) Authenticate(r *http.Request) (*settings.Tenant, error) {
	header := r.Header.Get("Authorization")
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return nil, apierror.InvalidKey("the Authorization header must be \"Bearer\" and a key")
	}
	snapshot := a.source.Current()
	if snapshot == nil {
		return nil, errNoSettings()
	}
	tenant, ok := snapshot.TenantByKey(settings.HashKey(header[len(bearerPrefix):]))
	if !ok {
		return nil, apierror.InvalidKey("the key is not known")
	}
	return tenant, nil
}

func errNoSettings() *apierror.Error {
	return apierror.NotRun(http.StatusServiceUnavailable, retryAfter, "this node has no settings yet")
}

// checkModel says whether the tenant may use the model.
func (h *handler) checkModel(tenant *settings.Tenant, model string) error {
	snapshot := h.Settings.Current()
	if snapshot == nil {
		return errNoSettings()
	}
	_, known := snapshot.ServiceByModel(model)
	allowed := len(tenant.Models) == 0 || slices.Contains(tenant.Models, model)
	if !known || !allowed {
		return fmt.Errorf("the model %q does not exist or you may not use it", model)
	}
	return nil
}
