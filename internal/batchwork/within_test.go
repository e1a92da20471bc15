package batchwork

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// Bodies go only to nodes that are known to be in the region of their shard, and only
// while the newest configuration allows that shard.
func TestABodyIsKeptBackFromOtherNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	north := ledger.RegionShard("north")
	within := Within{Regions: catalog.Regions{"north"}}
	c := NewCaller(CallerOptions{
		Within:     func(*Job) Within { return within },
		LiesWithin: func(to transport.Address, shard ledger.ShardID) bool { return shard == north && to == "inside" },
	})
	job := testJob("a", 1, 0)
	place := c.prepare(job, order{shard: north, kind: kindPlace, body: true})
	g.Expect(place.may("inside")).To(gomega.Succeed())
	g.Expect(place.may("outside")).To(gomega.MatchError(ErrNotTaken))
	plain := c.prepare(job, order{kind: kindSubmit, body: true})
	g.Expect(plain.may("inside")).To(gomega.MatchError(errChanged))
	within.Regions = catalog.Regions{"south"}
	g.Expect(place.may("inside")).To(gomega.MatchError(errChanged))
	within.Regions = nil
	g.Expect(plain.may("outside")).To(gomega.Succeed())
	g.Expect(c.prepare(job, order{kind: kindClaim}).may).To(gomega.BeNil(), "it holds no body")
}

// An item is not sent to an engine that a newer configuration excludes, here or at an
// executor, which hears of the path by which it finds the regions.
func TestAnItemHoldsToTheNewestRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	asked := ""
	permitted := func(host, path, tenant, engine string) bool {
		asked = host + " " + path + " " + tenant + " " + engine
		return false
	}
	request := runRequest{
		item: openItem{job: "a", host: "h", path: "/p", tenant: "t", giveUp: submitted.Add(time.Minute)}, read: Item{ID: "a-0", Path: "/x"},
		engine: catalog.Engine{ID: "e"}, restricted: true,
	}
	read, err := unmarshalRun(request.marshal(submitted), submitted)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read.restricted).To(gomega.BeTrue())
	node := &runNode{ // without a pool nothing can be sent
		usable: func(string, string) bool { return true }, permitted: ExecutorOptions{Permitted: permitted}.permitted,
	}
	result := (&itemRun{node: node, item: read.item, engine: read.engine}).run(context.Background(), &read.read)
	g.Expect(result.pause).To(gomega.Equal(refusalPause))
	g.Expect(asked).To(gomega.Equal("h /p t e"))
	request.restricted = false
	plain, err := unmarshalRun(request.marshal(submitted), submitted)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(plain.item.path).To(gomega.BeEmpty())
	g.Expect(ExecutorOptions{Permitted: permitted}.permitted(&plain.item, "e")).To(gomega.BeTrue())
}

func TestJobsThatLieWhereTheyMayNotAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	for _, id := range []string{"a", "b", "c"} {
		apply(g, m, store, encodeSubmit(testJob(id, 1, 0)))
	}
	all, astray := m.Jobs(func(_, path, _ string) bool { return path == "/p/b" })
	g.Expect(all).To(gomega.Equal(3))
	g.Expect(astray).To(gomega.Equal(2))
}

// The lookup of a job ends at the shard that has it, also when it was moved meanwhile, and
// says that there is none only after shard 0 did.
func TestAJobIsLookedForUntilShardZeroDeniesIt(t *testing.T) {
	north, south := ledger.RegionShard("north"), ledger.RegionShard("south")
	for name, one := range map[string]struct {
		located ledger.ShardID
		answers []error // in turn
		asked   []ledger.ShardID
		outcome error
	}{
		"it is at shard 0":          {0, []error{nil}, []ledger.ShardID{0}, nil},
		"there is none":             {0, []error{ErrNoJob}, []ledger.ShardID{0}, ErrNoJob},
		"shard 0 names another":     {0, []error{&elsewhereError{north}, nil}, []ledger.ShardID{0, north}, nil},
		"it is remembered":          {north, []error{nil}, []ledger.ShardID{north}, nil},
		"it was moved":              {north, []error{ErrNoJob, &elsewhereError{south}, nil}, []ledger.ShardID{north, 0, south}, nil},
		"claimed and not taken":     {0, []error{&elsewhereError{north}, ErrNoJob, &elsewhereError{north}}, []ledger.ShardID{0, north, 0}, ErrNoJob},
		"moved while it was looked": {0, []error{&elsewhereError{north}, ErrNoJob, &elsewhereError{south}, nil}, []ledger.ShardID{0, north, 0, south}, nil},
		"a shard can't be asked":    {0, []error{&elsewhereError{north}, ErrNotTaken}, []ledger.ShardID{0, north}, ErrNotTaken},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := NewCaller(CallerOptions{})
			c.locate("a", one.located)
			var asked []ledger.ShardID
			_, err := c.find(context.Background(), "a", func(shard ledger.ShardID) ([]byte, error) {
				asked = append(asked, shard)
				return nil, one.answers[len(asked)-1]
			})
			g.Expect(asked).To(gomega.Equal(one.asked))
			if one.outcome == nil {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				g.Expect(err).To(gomega.MatchError(one.outcome))
			}
		})
	}
}
