package balance

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
)

// twoReleases returns engines of two releases; the second release's are idle and in the same zone.
func twoReleases() *catalog.Snapshot {
	return catalog.NewSnapshot(nil, []catalog.Engine{
		{ID: "a", Service: "s", Version: "1", Zone: "z2", Slots: 1}, {ID: "b", Service: "s", Version: "2", Zone: "z1", Slots: 8},
		{ID: "c", Service: "s", Version: "2", Zone: "z1", Slots: 8}, {ID: "d", Service: "other", Version: "1", Zone: "z1", Slots: 8},
	})
}

var firstRelease = catalog.Release{Service: "s", Version: "1"}

func TestWishOfReleaseGetsNoEngineOfAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(twoReleases)
	wish := Wish{Service: "s", Zone: "z1", Release: firstRelease}
	held := 0
	for {
		lease, err := b.Acquire(context.Background(), wish, 0, 0, nil)
		if err != nil {
			g.Expect(err).To(gomega.MatchError(ErrNoRoom))
			break
		}
		g.Expect(lease.Engine.ID).To(gomega.Equal("a"))
		held++
	}
	g.Expect(held).To(gomega.BeNumerically(">", 0))
	b.RecordFailure("a", nil) // an ejected engine isn't replaced by one of another release
	wish.Avoid = []string{"a"}
	_, err := b.Acquire(context.Background(), wish, 0, 0, nil)
	g.Expect(err).To(gomega.MatchError(ErrNoRoom))
}

func TestBatchWishOfReleaseGetsNoEngineOfAnother(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(twoReleases)
	wish := Wish{Service: "s", Class: ClassBatch, Release: catalog.Release{Service: "s", Version: "2"}}
	wishes := make([]Wish, 40)
	for i := range wishes {
		wishes[i] = wish
	}
	leases := b.AcquireMany(wishes, 0)
	g.Expect(leases).NotTo(gomega.BeEmpty())
	for _, lease := range leases {
		g.Expect(lease.Engine.Version).To(gomega.Equal("2"))
	}
}

func TestWishOfReleaseRejectedAtOnceWithoutItsEngines(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(twoReleases)
	wish := Wish{Service: "s", Release: catalog.Release{Service: "s", Version: "0"}}
	_, err := b.Acquire(context.Background(), wish, 0, time.Hour, nil)
	g.Expect(err).To(gomega.MatchError(ErrNoEngine))
	g.Expect(err.(*NoEngineError).Rule).To(gomega.Equal(RuleRelease))
	g.Expect(b.Serves(wish)).To(gomega.BeFalse())
	wish.Release = firstRelease
	g.Expect(b.Serves(wish)).To(gomega.BeTrue())
}
