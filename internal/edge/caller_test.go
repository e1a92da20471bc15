package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/batchwork"
	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/forward"
)

// plainDialect recognizes no calls and reads no facts.
type plainDialect struct{}

func (plainDialect) ParseRequest(*http.Request, time.Time) (forward.Request, error) {
	return forward.Request{}, nil
}
func (plainDialect) Call(*http.Request) (Call, bool)                     { return Call{}, false }
func (plainDialect) Job(*http.Request, []byte) (*batchwork.Job, error)   { return nil, nil }
func (plainDialect) WritePage(http.ResponseWriter, batchwork.Page) error { return nil }

// A key must not be rejected by an outdated configuration, nor accepted by one that was not
// confirmed for too long.
func TestAuthenticateByConfigurationAge(t *testing.T) {
	g := gomega.NewWithT(t)
	configuration := &catalog.Configuration{}
	configuration.SetTenants([]catalog.Tenant{{Name: "x", Keys: []apikey.Hash{apikey.HashKey("k")}}})
	for _, test := range []struct {
		header          string
		current, lapsed bool
		anonymous       bool
		status          int // 0: accepted
		tenant          string
	}{
		{"Bearer k", true, false, false, 0, "x"},
		{"Bearer k", false, false, false, 0, "x"},
		{"Bearer other", true, false, false, http.StatusUnauthorized, ""},
		{"Bearer other", false, false, false, http.StatusServiceUnavailable, ""},
		{"", false, false, false, http.StatusUnauthorized, ""},
		{"Basic k", false, false, false, http.StatusUnauthorized, ""},
		{"Bearer k", false, true, false, http.StatusServiceUnavailable, ""},
		{"Bearer other", true, false, true, 0, ""},
		{"Bearer k", true, false, true, 0, "x"},
		{"", true, false, true, 0, ""},
	} {
		e := &Edge{
			Dialect: plainDialect{}, ConfigurationCurrent: func() bool { return test.current }, ConfigurationExpired: func() bool { return test.lapsed },
		}
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		if test.header != "" {
			r.Header.Set("Authorization", test.header)
		}
		w := httptest.NewRecorder()
		from, known := e.authenticate(w, r, configuration, test.anonymous)
		g.Expect(known).To(gomega.Equal(test.status == 0), "%+v", test)
		g.Expect(from.name()).To(gomega.Equal(test.tenant), "%+v", test)
		if test.status != 0 {
			g.Expect(w.Code).To(gomega.Equal(test.status), "%+v", test)
			g.Expect(w.Body.String()).NotTo(gomega.ContainSubstring("other"), "a response must not contain a key")
		}
	}
}

func TestAuthenticateWithoutTenants(t *testing.T) {
	g := gomega.NewWithT(t)
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	from, known := (&Edge{}).authenticate(httptest.NewRecorder(), r, &catalog.Configuration{}, false)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(from.name()).To(gomega.BeEmpty())
}
