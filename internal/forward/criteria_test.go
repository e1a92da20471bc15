package forward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

func TestCriteriaFromRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	fl := &inflight{
		Forwarder: &Forwarder{Zone: "a", Region: "north"}, service: "s", avoidEngines: []string{"e"},
		request: &Request{Regions: catalog.Regions{"north", "south"}, Prefix: "p", PrefixTokens: 2, PromptTokens: 3},
	}
	criteria := fl.wish(time.Second)
	g.Expect([]string{criteria.Service, criteria.Zone, criteria.Region, criteria.Prefix}).To(gomega.Equal([]string{"s", "a", "north", "p"}))
	g.Expect(criteria.Regions).To(gomega.Equal(catalog.Regions{"north", "south"}))
	g.Expect(criteria.Avoid).To(gomega.Equal([]string{"e"}))
	g.Expect([]int{criteria.PrefixTokens, criteria.PromptTokens}).To(gomega.Equal([]int{2, 3}))
	g.Expect(criteria.Wait).To(gomega.Equal(time.Second))
}
