package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/membership"
)

// askAll returns the best offer of the named nodes; those that answer say so with their load.
func askAll(names []string, loads map[string]uint32, failure error) (membership.Member, error) {
	var candidates []membership.Member
	for _, name := range names {
		candidates = append(candidates, membership.Member{Name: name})
	}
	offers := make(chan offer, len(names))
	return bestOffer(context.Background(), candidates, offers, func(m membership.Member) {
		load, answers := loads[m.Name]
		switch {
		case answers:
			offers <- offer{member: m, replicas: load}
		case failure != nil:
			offers <- offer{member: m, err: failure}
		}
	})
}

// Guards against an unresponsive node delaying a replica's replacement.
func TestBestOfferIgnoresUnresponsiveNode(t *testing.T) {
	g := gomega.NewWithT(t)
	chosen, err := askAll([]string{"busy", "silent", "idle"}, map[string]uint32{"busy": 3, "idle": 1}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(chosen.Name).To(gomega.Equal("idle"))
}

// Guards against hiding why no candidate made an offer.
func TestBestOfferReturnsCallError(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := askAll([]string{"a", "b"}, nil, errors.New("unreachable"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("unreachable")))
}

// Guards against a search for a node that ends before it has asked the one that is there.
func TestBestOfferAsksOthersWhileNoneAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("gone", i))
	}
	started := time.Now()
	chosen, err := askAll(append(names, "here"), map[string]uint32{"here": 5}, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(chosen.Name).To(gomega.Equal("here"))
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", changeTimeout))
}

// Guards against asking nodes that are gone before the one that answered a moment ago, or before
// the one that started last.
func TestMembersOrderedByResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	r := newResponses()
	var members []membership.Member
	for i := range 50 {
		members = append(members, membership.Member{Name: fmt.Sprint("gone", i), Incarnation: uint64(i)})
	}
	back, newest := membership.Member{Name: "back", Incarnation: 3}, membership.Member{Name: "newest", Incarnation: 99}
	members = append(members, back, newest)
	r.record(back, true, now)
	r.order(members, now.Add(time.Second))
	g.Expect(members[:2]).To(gomega.Equal([]membership.Member{back, newest}))

	r.record(members[2], false, now)
	g.Expect(r.isSilent(members[2], now.Add(minSilence-1))).To(gomega.BeTrue())
	g.Expect(r.isSilent(members[2], now.Add(minSilence))).To(gomega.BeFalse())
	r.record(members[2], false, now.Add(minSilence))
	g.Expect(r.isSilent(members[2], now.Add(3*minSilence-1))).To(gomega.BeTrue(), "longer after each call")
	restarted := members[2]
	restarted.Incarnation++
	g.Expect(r.isSilent(restarted, now.Add(minSilence))).To(gomega.BeFalse(), "it has started again")

	r.retain(slices.Clone(members[:3]))
	g.Expect(r.byNode).To(gomega.HaveLen(2))
}
