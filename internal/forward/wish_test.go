package forward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

func TestAWishTellsWhereTheRequestIsAndMayGo(t *testing.T) {
	g := gomega.NewWithT(t)
	fl := &flight{
		Forwarder: &Forwarder{Zone: "a", Region: "north"}, service: "s", avoid: []string{"e"},
		request: &Request{Regions: catalog.Regions{"north", "south"}, Prefix: "p", PrefixTokens: 2, PromptTokens: 3},
	}
	wish := fl.wish(time.Second)
	g.Expect([]string{wish.Service, wish.Zone, wish.Region, wish.Prefix}).To(gomega.Equal([]string{"s", "a", "north", "p"}))
	g.Expect(wish.Regions).To(gomega.Equal(catalog.Regions{"north", "south"}))
	g.Expect(wish.Avoid).To(gomega.Equal([]string{"e"}))
	g.Expect([]int{wish.PrefixTokens, wish.PromptTokens}).To(gomega.Equal([]int{2, 3}))
	g.Expect(wish.Wait).To(gomega.Equal(time.Second))
}
