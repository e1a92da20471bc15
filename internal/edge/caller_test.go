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

// plainDialect has no calls and no facts.
type plainDialect struct{}

func (plainDialect) Facts(*http.Request, time.Time) (forward.Request, error) {
	return forward.Request{}, nil
}
func (plainDialect) Call(*http.Request) (Call, bool)                     { return Call{}, false }
func (plainDialect) Job(*http.Request, []byte) (*batchwork.Job, error)   { return nil, nil }
func (plainDialect) WritePage(http.ResponseWriter, batchwork.Page) error { return nil }

// A key is called unknown only where the configuration is known to be new, and none is
// taken where it can't be confirmed for too long.
func TestAKeyIsJudgedByWhatIsKnownOfTheConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	configuration := &catalog.Configuration{}
	configuration.SetTenants([]catalog.Tenant{{Name: "x", Keys: []apikey.Hash{apikey.Of("k")}}})
	for _, one := range []struct {
		header          string
		current, lapsed bool
		open            bool
		status          int // 0: known, or not asked for
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
			Dialect: plainDialect{}, Current: func() bool { return one.current }, Lapsed: func() bool { return one.lapsed },
		}
		r := httptest.NewRequest(http.MethodPost, "/x", nil)
		if one.header != "" {
			r.Header.Set("Authorization", one.header)
		}
		w := httptest.NewRecorder()
		from, known := e.identify(w, r, configuration, one.open)
		g.Expect(known).To(gomega.Equal(one.status == 0), "%+v", one)
		g.Expect(from.name()).To(gomega.Equal(one.tenant), "%+v", one)
		if one.status != 0 {
			g.Expect(w.Code).To(gomega.Equal(one.status), "%+v", one)
			g.Expect(w.Body.String()).NotTo(gomega.ContainSubstring("other"), "a key stands in no answer")
		}
	}
}

func TestNoKeyIsAskedForWithoutTenants(t *testing.T) {
	g := gomega.NewWithT(t)
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	from, known := (&Edge{}).identify(httptest.NewRecorder(), r, &catalog.Configuration{}, false)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(from.name()).To(gomega.BeEmpty())
}
