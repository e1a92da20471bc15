package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
)

// proposalOutcomes records the outcomes returned to proposers.
type proposalOutcomes struct {
	mutex     sync.Mutex
	committed map[string]bool
	refused   map[string]bool
	unknown   int
}

func (o *proposalOutcomes) record(entry string, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var notLeader *ledger.NotLeaderError
	switch {
	case err == nil:
		o.committed[entry] = true
	case errors.As(err, &notLeader), errors.Is(err, ledger.ErrUnavailable):
		o.refused[entry] = true
	case errors.Is(err, ledger.ErrUnknownOutcome):
		o.unknown++
	default:
		panic(fmt.Sprintf("entry %s: %v", entry, err))
	}
}

// proposeAt proposes an entry at a node, whether or not it leads.
func (o *proposalOutcomes) proposeAt(n *node, entry string) {
	n.mutex.Lock()
	service := n.service
	n.mutex.Unlock()
	if service == nil {
		return
	}
	shard, found := service.Local(0)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := shard.Propose(ctx, []byte(entry))
	o.record(entry, err)
}

// Guards against lost committed entries and applied refused entries while up to two
// nodes at a time lose power, disk, network or disk space. CHUTELOCK_CAMPAIGN sets
// the number of rounds, CHUTELOCK_SEED the first seed.
func TestChaos(t *testing.T) { runChaosRounds(t, chaosKinds) }

// Guards against the same while disks refuse writes and accept them again.
func TestChaosWithRefusedWrites(t *testing.T) { runChaosRounds(t, chaosKinds+2) }

// chaosKinds is the number of kinds of faults of TestChaos.
const chaosKinds = 5

func runChaosRounds(t *testing.T, kinds int) {
	rounds, seed := 1, uint64(7)
	if campaign := os.Getenv("CHUTELOCK_CAMPAIGN"); campaign != "" {
		rounds, _ = strconv.Atoi(campaign)
		rounds = max(rounds, 2)
		if given, err := strconv.ParseUint(os.Getenv("CHUTELOCK_SEED"), 10, 64); err == nil {
			seed = given
		}
	}
	for round := range rounds {
		name := fmt.Sprintf("seed %d", seed+uint64(round))
		t.Run(name, func(t *testing.T) { runChaos(t, rand.New(rand.NewPCG(seed+uint64(round), 1)), kinds) })
	}
}

func runChaos(t *testing.T, random *rand.Rand, kinds int) {
	c := newCluster(t, Options{Copies: 5, ReplaceAfter: time.Second, RetainBytes: 8 << 10, Reserve: 1 << 20})
	disks := newRefusedDisks(c, (*node).poweredFS)
	c.addAll("a", "a", "b", "b", "c", "c")
	c.proposeMany(0, "first", 20)
	outcomes := &proposalOutcomes{committed: map[string]bool{}, refused: map[string]bool{}}
	var stop atomic.Bool
	var group sync.WaitGroup
	for worker := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; !stop.Load(); i++ {
				outcomes.proposeAt(c.nodes[fmt.Sprintf("n%d", (worker+i)%6)], fmt.Sprintf("w%d-%d", worker, i))
				time.Sleep(time.Millisecond)
			}
		}()
	}
	for range 8 {
		c.injectFaults(random, kinds, disks)
	}
	stop.Store(true)
	group.Wait()
	c.waitForReplicas(0, 5)
	t.Logf("%d committed, %d refused, %d unknown", len(outcomes.committed), len(outcomes.refused), outcomes.unknown)
	c.g.Expect(outcomes.committed).NotTo(gomega.BeEmpty())
	c.expectEntries(0, "first", 20)
	c.expectOutcomes(outcomes)
}

// injectFaults injects faults into one or two nodes and then reverts them.
func (c *cluster) injectFaults(random *rand.Rand, kinds int, disks *refusedDisks) {
	names := random.Perm(6)[:1+random.IntN(2)]
	var reverts []func()
	for _, at := range names {
		n := c.nodes[fmt.Sprintf("n%d", at)]
		reverts = append(reverts, c.injectFault(n, random.IntN(kinds), disks))
	}
	c.store.down.Store(random.IntN(2) == 0)
	time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
	for _, revert := range reverts {
		revert()
	}
	c.store.down.Store(false)
	c.waitForReplicas(0, 5)
}

// injectFault injects one kind of fault and returns the function that reverts it.
func (c *cluster) injectFault(n *node, kind int, disks *refusedDisks) func() {
	switch kind {
	case 0:
		c.kill(n)
		return func() { c.start(n) }
	case 1:
		c.wipe(n)
		return func() { c.start(n) }
	case 2:
		n.partitioned.Store(true)
		return func() { n.partitioned.Store(false) }
	case 3:
		n.fs.TestingSetDiskUsage(vfs.DiskUsage{AvailBytes: 1, TotalBytes: 1 << 30})
		return func() { n.fs.TestingSetDiskUsage(vfs.DiskUsage{AvailBytes: 1 << 29, TotalBytes: 1 << 30}) }
	case 4:
		c.kill(n)
		c.start(n)
		return func() {}
	case 5:
		disks.refuse(n.name, syscall.ENOSPC)
	default:
		disks.refuse(n.name, syscall.EIO)
	}
	return func() { disks.refuse(n.name, nil) }
}

func (c *cluster) expectOutcomes(outcomes *proposalOutcomes) {
	shard, _ := c.leader(0).service.Local(0)
	err := shard.Read(context.Background(), func(reader ledger.Reader) error {
		for entry := range outcomes.committed {
			if _, found, err := reader.Get([]byte("entry/" + entry)); err != nil || !found {
				return fmt.Errorf("committed entry %s: found %v, %w", entry, found, err)
			}
		}
		for entry := range outcomes.refused {
			if _, found, _ := reader.Get([]byte("entry/" + entry)); found {
				return fmt.Errorf("refused entry %s was applied", entry)
			}
		}
		return nil
	})
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
}
