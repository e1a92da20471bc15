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

// Bodies go only to nodes known to be in their shard's region, while the newest
// configuration permits that shard.
func TestCallerSendsBodyOnlyWithinRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	north := ledger.RegionShard("north")
	policy := RegionPolicy{Regions: catalog.Regions{"north"}}
	c := NewCaller(CallerOptions{
		RegionPolicy: func(*Job) RegionPolicy { return policy },
		InRegion:     func(to transport.Address, shard ledger.ShardID) bool { return shard == north && to == "inside" },
	})
	job := testJob("a", 1, 0)
	place := c.prepare(job, placementCall{shard: north, kind: kindPlace, body: true})
	g.Expect(place.maySend("inside")).To(gomega.Succeed())
	g.Expect(place.maySend("outside")).To(gomega.MatchError(ErrNotTaken))
	unrestricted := c.prepare(job, placementCall{kind: kindSubmit, body: true})
	g.Expect(unrestricted.maySend("inside")).To(gomega.MatchError(errRegionsChanged))
	policy.Regions = catalog.Regions{"south"}
	g.Expect(place.maySend("inside")).To(gomega.MatchError(errRegionsChanged))
	policy.Regions = nil
	g.Expect(unrestricted.maySend("outside")).To(gomega.Succeed())
	g.Expect(c.prepare(job, placementCall{kind: kindClaim}).maySend).To(gomega.BeNil(), "a claim contains no body")
}

// An item must not go to an engine that a newer configuration excludes, at the leader or at
// an executor, which gets the path to find the regions by.
func TestRunChecksNewestRegions(t *testing.T) {
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
	node := &runNode{ // nothing can be sent without a pool
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

func TestMachineCountsMisplacedJobs(t *testing.T) {
	g := gomega.NewWithT(t)
	m, store := NewMachine(), memoryStore{}
	for _, id := range []string{"a", "b", "c"} {
		apply(g, m, store, encodeSubmit(testJob(id, 1, 0)))
	}
	all, astray := m.Jobs(func(_, path, _ string) bool { return path == "/p/b" })
	g.Expect(all).To(gomega.Equal(3))
	g.Expect(astray).To(gomega.Equal(2))
}

// The lookup follows a job that moves between shards, and fails only after shard 0 denies
// it.
func TestCallerFollowsJobAcrossShards(t *testing.T) {
	north, south := ledger.RegionShard("north"), ledger.RegionShard("south")
	for name, test := range map[string]struct {
		located ledger.ShardID
		answers []error // in order
		asked   []ledger.ShardID
		outcome error
	}{
		"at shard 0":                {0, []error{nil}, []ledger.ShardID{0}, nil},
		"unknown to shard 0":        {0, []error{ErrNoJob}, []ledger.ShardID{0}, ErrNoJob},
		"claimed for another shard": {0, []error{&otherShardError{north}, nil}, []ledger.ShardID{0, north}, nil},
		"location cached":           {north, []error{nil}, []ledger.ShardID{north}, nil},
		"moved since it was cached": {north, []error{ErrNoJob, &otherShardError{south}, nil}, []ledger.ShardID{north, 0, south}, nil},
		"claimed but not accepted":  {0, []error{&otherShardError{north}, ErrNoJob, &otherShardError{north}}, []ledger.ShardID{0, north, 0}, ErrNoJob},
		"moved during the lookup":   {0, []error{&otherShardError{north}, ErrNoJob, &otherShardError{south}, nil}, []ledger.ShardID{0, north, 0, south}, nil},
		"shard unreachable":         {0, []error{&otherShardError{north}, ErrNotTaken}, []ledger.ShardID{0, north}, ErrNotTaken},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := NewCaller(CallerOptions{})
			c.setLocation("a", test.located)
			var asked []ledger.ShardID
			_, err := c.callOwner(context.Background(), "a", func(shard ledger.ShardID) ([]byte, error) {
				asked = append(asked, shard)
				return nil, test.answers[len(asked)-1]
			})
			g.Expect(asked).To(gomega.Equal(test.asked))
			if test.outcome == nil {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				g.Expect(err).To(gomega.MatchError(test.outcome))
			}
		})
	}
}
