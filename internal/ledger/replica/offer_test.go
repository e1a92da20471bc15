package replica

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/membership"
)

// A node that never answers must not hold the replacement of a replica up.
func TestTheBestOfThoseWhoAnswerIsChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	offers := make(chan offer, 3)
	offers <- offer{member: membership.Member{Name: "busy"}, replicas: 3}
	offers <- offer{member: membership.Member{Name: "idle"}, replicas: 1}
	chosen, err := bestOffer(offers, 3) // the third never comes
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(chosen.Name).To(gomega.Equal("idle"))
}

func TestWithoutAnyOfferTheReasonIsSaid(t *testing.T) {
	g := gomega.NewWithT(t)
	offers := make(chan offer, 2)
	offers <- offer{member: membership.Member{Name: "a"}, err: errors.New("unreachable")}
	offers <- offer{member: membership.Member{Name: "b"}, err: errors.New("unreachable")}
	_, err := bestOffer(offers, 2)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("unreachable")))
}
