package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/membership"
)

const (
	powerLossWriters = 4
	powerLossReaders = 2
	// maxPadding is the maximum number of bytes added to an entry, so that logs are
	// compacted and lagging replicas need snapshots.
	maxPadding = 2000
	// maxAcknowledgements limits the acknowledgements between arming and the crash.
	maxAcknowledgements = 60
	// Maximum durations of a sync. The disks that will be lost are faster, so that they hold
	// entries that other replicas don't have yet.
	maxSyncTime     = 16 * time.Millisecond
	maxSyncTimeLost = time.Millisecond
)

// powerLoss is a cluster under load whose nodes all lose power in the moment after an
// acknowledgement. The disks are one file system, so that a crash clone has the state of all
// of them at that moment.
type powerLoss struct {
	*cluster
	random *rand.Rand
	lost   atomic.Pointer[[]*node] // whose disks will be lost

	mutex        sync.Mutex
	acknowledged map[string]bool
	readCount    uint64 // highest count of entries read at any replica before the crash
	remaining    int    // acknowledgements until the crash; 0 if not armed
	percent      int    // of unsynced data that survives the crash
	crashed      *vfs.MemFS
	done         chan struct{} // closed at the crash
}

func newPowerLoss(t *testing.T, options Options, seed uint64, zones ...string) *powerLoss {
	options.ReplaceAfter, options.RetainBytes = 300*time.Millisecond, 8<<10
	p := &powerLoss{
		cluster: newCluster(t, options), random: rand.New(rand.NewPCG(seed, 1)), acknowledged: map[string]bool{},
	}
	p.disks = vfs.NewCrashableMem()
	p.wrapFS = p.slowSyncs
	for i := range zones {
		p.emptyDisk(fmt.Sprintf("n%d", i))
	}
	p.addAll(zones...)
	for _, n := range p.nodes {
		n.listen = string(n.transport.Address())
	}
	p.proposeMany(0, "first", 20)
	p.waitForReplicas(0, options.Copies)
	return p
}

func (p *powerLoss) slowSyncs(n *node) vfs.FS {
	return errorfs.Wrap(p.disks, errorfs.InjectorFunc(func(op errorfs.Op) error {
		switch op.Kind {
		case errorfs.OpFileSync, errorfs.OpFileSyncData, errorfs.OpFileSyncTo:
			limit := maxSyncTime
			if lost := p.lost.Load(); lost == nil || slices.Contains(*lost, n) {
				limit = maxSyncTimeLost
			}
			time.Sleep(rand.N(limit))
		}
		return nil
	}))
}

// emptyDisk replaces a node's disk with an empty one.
func (p *powerLoss) emptyDisk(name string) {
	p.g.Expect(p.disks.RemoveAll(name)).To(gomega.Succeed())
	p.g.Expect(p.disks.MkdirAll(name, 0o750)).To(gomega.Succeed())
	root, err := p.disks.OpenDir("/")
	p.g.Expect(err).NotTo(gomega.HaveOccurred())
	p.g.Expect(root.Sync()).To(gomega.Succeed())
	p.g.Expect(root.Close()).To(gomega.Succeed())
}

// arm makes the power fail after a random number of acknowledgements.
func (p *powerLoss) arm() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.remaining = 1 + p.random.IntN(maxAcknowledgements)
}

// begin starts the load of a round at whose end the disks of some nodes will be lost. The
// returned function waits for the power loss and ends the load.
func (p *powerLoss) begin(round int, lost []*node) (await func()) {
	p.lost.Store(&lost)
	p.crashed, p.done, p.percent = nil, make(chan struct{}), []int{0, 0, 50}[p.random.IntN(3)]
	var group sync.WaitGroup
	for worker := range powerLossWriters {
		random := rand.New(rand.NewPCG(p.random.Uint64(), 1))
		group.Go(func() {
			for i := 0; p.powered(); i++ {
				p.write(fmt.Sprintf("r%d-w%d-%d-%s", round, worker, i, strings.Repeat("x", random.IntN(maxPadding))))
			}
		})
	}
	for range powerLossReaders {
		random := rand.New(rand.NewPCG(p.random.Uint64(), 1))
		group.Go(func() {
			for p.powered() {
				p.read(p.nodes[fmt.Sprintf("n%d", random.IntN(len(p.nodes)))])
				time.Sleep(time.Millisecond)
			}
		})
	}
	p.t.Cleanup(func() { // after a failure, the load must end before the nodes
		p.mutex.Lock()
		if p.crashed == nil {
			p.fail()
		}
		p.mutex.Unlock()
		group.Wait()
	})
	return func() {
		p.g.Eventually(p.done).Should(gomega.BeClosed(), "no acknowledgement")
		group.Wait()
	}
}

func (p *powerLoss) powered() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// write proposes an entry at the leader, if there is one, and records its acknowledgement.
func (p *powerLoss) write(entry string) {
	n := p.leaderNow(0)
	if n == nil {
		time.Sleep(time.Millisecond)
		return
	}
	shard, _ := n.service.Local(0)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := shard.Propose(ctx, []byte(entry)); err != nil {
		time.Sleep(time.Millisecond)
		return
	}
	p.acknowledge(entry)
}

// read reads the count of entries at a replica and records it as acknowledged.
func (p *powerLoss) read(n *node) {
	shard, found := n.service.Local(0)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	count, err := readCount(ctx, shard.FollowerRead)
	if err != nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.crashed == nil {
		p.readCount = max(p.readCount, count)
	}
}

func readCount(ctx context.Context, read func(context.Context, func(ledger.Reader) error) error) (count uint64, err error) {
	err = read(ctx, func(reader ledger.Reader) error {
		value, found, err := reader.Get(countKey)
		if found {
			count = binary.BigEndian.Uint64(value)
		}
		return err
	})
	return count, err
}

// acknowledge records an acknowledged entry unless the power has failed; it fails after the
// last one.
func (p *powerLoss) acknowledge(entry string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.crashed != nil {
		return
	}
	p.acknowledged[entry] = true
	if p.remaining--; p.remaining != 0 {
		p.remaining = max(p.remaining, 0)
		return
	}
	p.fail()
}

// fail makes all nodes lose power now; the caller holds the mutex.
func (p *powerLoss) fail() {
	cfg := vfs.CrashCloneCfg{UnsyncedDataPercent: p.percent}
	if p.percent > 0 {
		cfg.RNG = rand.New(rand.NewPCG(p.random.Uint64(), 1))
	}
	p.crashed = p.disks.CrashClone(cfg)
	close(p.done)
}

// restart starts all nodes at their former addresses after the power loss, the lost disks
// empty. In some rounds, the members are not known or the store is down until check.
func (p *powerLoss) restart() {
	lost := *p.lost.Load()
	incarnations := map[*node]uint64{}
	for _, n := range p.nodes {
		incarnations[n] = n.service.Status().Incarnation
		p.stop(n)
	}
	p.disks = p.crashed
	p.lost.Store(nil)
	for _, n := range lost {
		p.emptyDisk(n.name)
	}
	p.list.hidden.Store(p.random.IntN(2) == 0)
	p.store.down.Store(p.random.IntN(2) == 0)
	for _, at := range p.random.Perm(len(p.nodes)) {
		p.start(p.nodes[fmt.Sprintf("n%d", at)])
	}
	for _, n := range p.nodes {
		if !slices.Contains(lost, n) {
			p.g.Expect(n.service.Status().Incarnation).To(gomega.Equal(incarnations[n]), "an intact disk was discarded")
		}
	}
}

// pickWithLeader returns the leader and random other nodes.
func (p *powerLoss) pickWithLeader(count int) []*node {
	leader := p.leader(0)
	others := slices.DeleteFunc(p.pick(len(p.nodes)), func(n *node) bool { return n == leader })
	return append([]*node{leader}, others[:count-1]...)
}

// pick returns random nodes.
func (p *powerLoss) pick(count int) (picked []*node) {
	for _, at := range p.random.Perm(len(p.nodes))[:count] {
		picked = append(picked, p.nodes[fmt.Sprintf("n%d", at)])
	}
	return picked
}

// check checks that nothing acknowledged is lost, that the shard accepts entries, and that it
// regains its replicas once the members are known and the store is up.
func (p *powerLoss) check(round int) {
	shard, _ := p.leader(0).service.Local(0)
	var count uint64
	p.g.Eventually(func() (err error) {
		count, err = readCount(context.Background(), shard.Read)
		if err != nil {
			shard, _ = p.leader(0).service.Local(0)
		}
		return err
	}).Should(gomega.Succeed())
	p.g.Expect(count).To(gomega.BeNumerically(">=", p.readCount), "older state than was read")
	p.propose(0, fmt.Sprintf("after%d", round))
	p.expectAcknowledged()
	p.list.hidden.Store(false)
	p.store.down.Store(false)
	p.waitForReplicas(0, p.options.Copies)
	p.expectAcknowledged()
}

func (p *powerLoss) expectAcknowledged() {
	p.expectEntries(0, "first", 20)
	p.g.Eventually(func() error {
		shard, _ := p.leader(0).service.Local(0)
		return shard.Read(context.Background(), func(reader ledger.Reader) error {
			return findLost(reader, p.acknowledged)
		})
	}, lostEntryTimeout).Should(gomega.Succeed())
}

// lostEntryTimeout is the time to find a leader that serves reads; a lost entry doesn't come
// back.
const lostEntryTimeout = 10 * time.Second

func findLost(reader ledger.Reader, acknowledged map[string]bool) error {
	for entry := range acknowledged {
		if _, found, err := reader.Get([]byte("entry/" + entry)); err != nil || !found {
			return fmt.Errorf("acknowledged entry %.20s: found %v, error %v", entry, found, err)
		}
	}
	return nil
}

// powerLossRounds returns the number of power losses per case and the seed.
func powerLossRounds(rounds int) (int, uint64) {
	if campaign, err := strconv.Atoi(os.Getenv("CHUTELOCK_CAMPAIGN")); err == nil {
		rounds = max(rounds, campaign)
	}
	seed, err := strconv.ParseUint(os.Getenv("CHUTELOCK_SEED"), 10, 64)
	if err != nil {
		seed = 7
	}
	return rounds, seed
}

// Guards against losing acknowledged entries, or showing an older state than was read, when
// disks are lost and all other nodes lose power at that moment.
func TestDisksLostWhileAllOthersLosePower(t *testing.T) {
	rounds, seed := powerLossRounds(4)
	for _, test := range []struct{ copies, lost int }{{3, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d of %d disks", test.lost, test.copies), func(t *testing.T) {
			p := newPowerLoss(t, Options{Copies: test.copies}, seed, strings.Split("abcde"[:test.copies], "")...)
			for round := range rounds {
				lost := p.pick(test.lost)
				if round%2 == 0 {
					lost = p.pickWithLeader(test.lost)
				}
				await := p.begin(round, lost)
				p.arm()
				await()
				p.restart()
				p.check(round)
			}
			t.Logf("%d entries acknowledged", len(p.acknowledged))
		})
	}
}

// Guards against losing acknowledged entries when a replica is being moved to another node
// as disks are lost and all other nodes lose power.
func TestDisksLostWhileReplicaMovesAndOthersLosePower(t *testing.T) {
	rounds, seed := powerLossRounds(1)
	for _, test := range []struct{ copies, lost int }{{3, 1}, {5, 2}} {
		for _, stage := range []struct {
			name string
			fail func(*powerLoss)
		}{
			{"learner added", func(p *powerLoss) { p.failOnce(func(_, learners int) bool { return learners > 0 }) }},
			{"learner promoted", func(p *powerLoss) { p.failOnce(func(voters, _ int) bool { return voters > test.copies }) }},
			{"any moment", func(p *powerLoss) { p.moveReplica(); p.arm() }},
		} {
			t.Run(fmt.Sprintf("%d of %d disks, %s", test.lost, test.copies, stage.name), func(t *testing.T) {
				p := newPowerLoss(t, Options{Copies: test.copies, ReplaceLeaving: true}, seed, strings.Split("abcdef"[:test.copies+1], "")...)
				for round := range rounds {
					await := p.begin(round, p.pick(test.lost))
					stage.fail(p)
					await()
					p.restart()
					p.check(round)
				}
			})
		}
	}
}

// moveReplica marks a random node with a replica as leaving, so that its replica moves.
func (p *powerLoss) moveReplica() {
	for _, n := range p.nodes {
		p.setState(n, membership.StateAlive)
	}
	for _, n := range p.pick(len(p.nodes)) {
		if _, holds := n.service.local(0); holds {
			p.setState(n, membership.StateLeaving)
			return
		}
	}
}

func (p *powerLoss) setState(n *node, state membership.State) {
	m := memberSource{p.list, n.name}.Self()
	m.State = state
	p.list.set(m)
}

// failOnce moves replicas until the leader's replica set is in a state, and makes the power
// fail in that state.
func (p *powerLoss) failOnce(reached func(voters, learners int) bool) {
	p.g.Eventually(func() bool {
		p.moveReplica()
		for start := time.Now(); time.Since(start) < time.Second; time.Sleep(50 * time.Microsecond) {
			if p.failIf(reached) {
				return true
			}
		}
		return false
	}).Should(gomega.BeTrue(), "the replica set was never in this state")
}

func (p *powerLoss) failIf(reached func(voters, learners int) bool) bool {
	n := p.leaderNow(0)
	if n == nil {
		return false
	}
	shard, found := n.service.local(0)
	if !found {
		return false
	}
	shard.mutex.Lock() // the replica set doesn't change before the crash
	defer shard.mutex.Unlock()
	configuration := shard.core.Status().Configuration
	if !reached(len(configuration.Voters), len(configuration.Learners)) {
		return false
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fail()
	return true
}
