package replica

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/membership"
)

// Guards against an unresponsive node delaying a replica's replacement.
func TestBestOfferIgnoresUnresponsiveNode(t *testing.T) {
	g := gomega.NewWithT(t)
	offers := make(chan offer, 3)
	offers <- offer{member: membership.Member{Name: "busy"}, replicas: 3}
	offers <- offer{member: membership.Member{Name: "idle"}, replicas: 1}
	chosen, err := bestOffer(offers, 3) // the third offer never arrives
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(chosen.Name).To(gomega.Equal("idle"))
}

// Guards against hiding why no candidate made an offer.
func TestBestOfferReturnsCallError(t *testing.T) {
	g := gomega.NewWithT(t)
	offers := make(chan offer, 2)
	offers <- offer{member: membership.Member{Name: "a"}, err: errors.New("unreachable")}
	offers <- offer{member: membership.Member{Name: "b"}, err: errors.New("unreachable")}
	_, err := bestOffer(offers, 2)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("unreachable")))
}
