package system

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

func TestLoadResponsesRateLimitedPerPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	var limiter peerRateLimiter
	g.Expect(limiter.allow("a", start)).To(gomega.BeTrue())
	g.Expect(limiter.allow("a", start.Add(responseInterval/2))).To(gomega.BeFalse())
	g.Expect(limiter.allow("b", start.Add(responseInterval/2))).To(gomega.BeTrue(), "limited per peer")
	g.Expect(limiter.allow("a", start.Add(responseInterval))).To(gomega.BeTrue())
}

func TestEncodedSumReusedUntilMaxAge(t *testing.T) {
	g := gomega.NewWithT(t)
	var sum encodedCache
	encodings := 0
	encode := func() []byte { encodings++; return []byte{byte(encodings)} }
	g.Expect(sum.get(start, encode)).To(gomega.Equal([]byte{1}))
	g.Expect(sum.get(start.Add(maxSumAge/2), encode)).To(gomega.Equal([]byte{1}))
	g.Expect(sum.get(start.Add(maxSumAge), encode)).To(gomega.Equal([]byte{2}))
}
