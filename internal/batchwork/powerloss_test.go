package batchwork

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/ledger/replica"
	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	// replicatedTimeout is the time for shards to elect leaders and replace replicas, as in
	// the tests of package replica.
	replicatedTimeout = 60 * time.Second
	// maxCallsBeforeFailure limits the acknowledged calls before the power fails.
	maxCallsBeforeFailure = 120
	// maxCallsAfterPlacement is the same where shards have just been placed.
	maxCallsAfterPlacement = 10
	submitters             = 4
)

// nodeList is a membership whose nodes keep their addresses.
type nodeList struct {
	view membership.View
	self membership.Member
}

func (l nodeList) View() *membership.View  { return &l.view }
func (l nodeList) Self() membership.Member { return l.self }

// shardObjects implements the part of platform.Store that the ledger uses.
type shardObjects struct {
	platform.Store
	mutex  sync.Mutex
	stored map[string]platform.Object
}

func (o *shardObjects) Get(_ context.Context, kind, name string) (platform.Object, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	object, found := o.stored[kind+"/"+name]
	if !found {
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (o *shardObjects) List(context.Context, string) (list []platform.Object, revision uint64, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, object := range o.stored {
		list = append(list, object)
	}
	return list, 0, nil
}

func (o *shardObjects) Put(_ context.Context, object platform.Object) (platform.Object, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	name := object.Kind + "/" + object.Name
	if o.stored[name].Revision != object.Revision {
		return object, platform.ErrConflict
	}
	object.Revision++
	o.stored[name] = object
	return object, nil
}

// dataNode has replicas of shards on its folder of the shared disks.
type dataNode struct {
	transport *transport.Node
	service   *replica.Service
	machines  map[ledger.ShardID]*Machine
}

// replicatedShards runs shard 0 and those of two regions on six data nodes, and a front node.
// One file system holds all disks, so that a crash clone has the state of all at one moment.
type replicatedShards struct {
	g       *gomega.WithT
	random  *rand.Rand
	keys    *transport.Keyring
	store   *shardObjects
	members []membership.Member
	nodes   []*dataNode
	front   *dataNode
	caller  *Caller
	disks   *vfs.MemFS

	mutex     sync.Mutex
	version   uint64                     // of the policies
	policies  map[string]catalog.Regions // by route
	jobs      map[string]*Job            // acknowledged
	ended     map[string]bool            // end acknowledged
	ending    map[string]bool            // end requested
	results   map[string]Page            // read
	remaining int                        // acknowledged calls until the power fails
	crashed   *vfs.MemFS
}

var replicatedRegions = []string{"north", "south"}

func replicatedIDs() []ledger.ShardID {
	return append([]ledger.ShardID{0}, shardsOf(replicatedRegions)...)
}

func newReplicatedShards(t *testing.T, seed uint64) *replicatedShards {
	g := gomega.NewWithT(t)
	g.SetDefaultEventuallyTimeout(replicatedTimeout)
	keys, err := transport.NewKeyring([]byte("0123456789abcdef0123456789abcdef"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	c := &replicatedShards{
		g: g, random: rand.New(rand.NewPCG(seed, 1)), keys: keys, store: &shardObjects{stored: map[string]platform.Object{}},
		disks: vfs.NewCrashableMem(), policies: map[string]catalog.Regions{"r0": nil, "r1": {"north"}, "r2": {"south", "north"}},
		jobs: map[string]*Job{}, ended: map[string]bool{}, ending: map[string]bool{}, results: map[string]Page{},
	}
	var opened []*transport.Node
	for i := range 6 {
		at := c.listen("127.0.0.1:0")
		opened = append(opened, at)
		region := replicatedRegions[i/3]
		c.members = append(c.members, membership.Member{
			Name: fmt.Sprintf("n%d", i), Address: at.Address(), Zone: fmt.Sprintf("%s-%d", region, i), Region: region, HasData: true,
		})
		c.emptyDisk(i)
	}
	c.start(opened)
	t.Cleanup(c.stop)
	return c
}

func (c *replicatedShards) listen(address string) *transport.Node {
	opened, err := transport.Listen(transport.Options{Listen: address, Keys: c.keys})
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	return opened
}

// emptyDisk replaces a node's disk with an empty one.
func (c *replicatedShards) emptyDisk(node int) {
	name := c.members[node].Name
	c.g.Expect(c.disks.RemoveAll(name)).To(gomega.Succeed())
	c.g.Expect(c.disks.MkdirAll(name, 0o750)).To(gomega.Succeed())
	root, err := c.disks.OpenDir("/")
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	c.g.Expect(root.Sync()).To(gomega.Succeed())
	c.g.Expect(root.Close()).To(gomega.Succeed())
}

// start starts the data nodes on open transports, and a new front node.
func (c *replicatedShards) start(opened []*transport.Node) {
	c.nodes = nil
	for i, at := range opened {
		c.nodes = append(c.nodes, c.startNode(at, c.members[i]))
	}
	at := c.listen("127.0.0.1:0")
	c.front = c.startNode(at, membership.Member{Name: "front", Address: at.Address(), Region: "north"})
	c.caller = NewCaller(CallerOptions{
		Directory: c.front.service, Sender: at, RegionPolicy: c.policy, InRegion: c.inRegion,
		Near: func(replicas []transport.Address) (transport.Address, bool) {
			if len(replicas) == 0 {
				return "", false
			}
			return replicas[rand.IntN(len(replicas))], true
		},
	})
}

func (c *replicatedShards) startNode(at *transport.Node, self membership.Member) *dataNode {
	n := &dataNode{transport: at, machines: map[ledger.ShardID]*Machine{}}
	options := replica.Options{
		Sender: at, Receiver: at, Members: nodeList{membership.View{Members: c.members}, self}, Store: c.store,
		Shards: 1, Copies: 3, Regions: replicatedRegions, MinCopies: 3, Reserve: 1,
		NewMachine:    func(id ledger.ShardID) ledger.StateMachine { return n.machines[id] },
		BootstrapWait: 300 * time.Millisecond, ReplaceAfter: 300 * time.Millisecond, RepairInterval: 50 * time.Millisecond,
		TickInterval: 10 * time.Millisecond, ElectionTimeout: 600 * time.Millisecond, HeartbeatInterval: 50 * time.Millisecond,
		DirectoryInterval: 50 * time.Millisecond,
	}
	if self.HasData {
		options.Folder, options.FS = c.disks.PathJoin(self.Name, "ledger"), c.disks
	}
	ports := NewPorts(at, at)
	for _, id := range replicatedIDs() {
		n.machines[id] = NewMachine()
		if self.HasData {
			RegisterServer(ServerOptions{
				Shard:   func() (ledger.Shard, bool) { return n.service.Local(id) },
				Machine: n.machines[id], LowSpace: func() bool { return false }, Receiver: ports.For(id),
				Replicas: func() []transport.Address { return n.service.Replicas(id) },
			})
		}
	}
	var err error
	n.service, err = replica.Open(options)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	at.Serve()
	n.service.Start()
	if self.HasData {
		n.service.RequestShards(replicatedRegions)
	}
	return n
}

func (c *replicatedShards) stop() {
	for _, n := range append(c.nodes, c.front) {
		n.transport.Close()
		_ = n.service.Close()
	}
}

func (c *replicatedShards) policy(job *Job) RegionPolicy {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	policy := RegionPolicy{Regions: c.policies[job.Route], Version: c.version}
	if len(policy.Regions) > 0 {
		policy.Preferred = policy.Regions[0]
	}
	return policy
}

func (c *replicatedShards) inRegion(address transport.Address, shard ledger.ShardID) bool {
	for _, m := range c.members {
		if m.Address == address {
			return ledger.RegionShard(m.Region) == shard
		}
	}
	return false
}

// changePolicies moves the restricted routes' queues to other regions.
func (c *replicatedShards) changePolicies(random *rand.Rand) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.version++
	c.policies = maps.Clone(c.policies)
	c.policies["r1"] = catalog.Regions{replicatedRegions[random.IntN(2)]}
	at := random.IntN(2)
	c.policies["r2"] = catalog.Regions{replicatedRegions[at], replicatedRegions[1-at]}
}

// leader returns the data node that leads a shard, or nil.
func (c *replicatedShards) leader(id ledger.ShardID) (found *dataNode) {
	var best uint64
	for _, n := range c.nodes {
		if shard, holds := n.service.Local(id); holds {
			if leads, term := shard.Leading(); leads && term > best {
				found, best = n, term
			}
		}
	}
	return found
}

// acknowledge records an acknowledgement unless the power has failed, and reports whether
// there is still power. It fails after the last one.
func (c *replicatedShards) acknowledge(record func()) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.crashed != nil {
		return false
	}
	record()
	if c.remaining--; c.remaining > 0 {
		return true
	}
	c.crashed = c.disks.CrashClone(vfs.CrashCloneCfg{})
	return false
}

// failPower runs callers until the power fails after at most maxCalls acknowledgements, then
// restarts all nodes, one with an empty disk.
func (c *replicatedShards) failPower(round, maxCalls int) {
	c.crashed, c.remaining = nil, 1+c.random.IntN(maxCalls)
	var group sync.WaitGroup
	for worker := range submitters {
		random := rand.New(rand.NewPCG(c.random.Uint64(), 1))
		group.Go(func() {
			for i := 0; c.useJob(random, fmt.Sprintf("j%d-%d-%d", round, worker, i)); i++ {
			}
		})
	}
	group.Wait()
	c.stop()
	c.disks = c.crashed
	lost := c.random.IntN(len(c.members))
	c.emptyDisk(lost)
	var opened []*transport.Node
	for _, m := range c.members {
		opened = append(opened, c.listen(string(m.Address)))
	}
	c.start(opened)
}

// useJob submits a job, commits a result, reads it and at times ends the job. It returns false
// after the power failed.
func (c *replicatedShards) useJob(random *rand.Rand, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if random.IntN(5) == 0 {
		c.changePolicies(random)
	}
	job := testJob(id, 2, 1<<40)
	job.Route, job.Tenant, job.Submitted, job.Retention = fmt.Sprintf("r%d", random.IntN(3)), "t", time.Now(), time.Hour
	if c.caller.Submit(ctx, job) != nil {
		return c.powered()
	}
	if !c.acknowledge(func() { c.jobs[id] = job }) {
		return false
	}
	if random.IntN(2) == 0 {
		c.commitResult(ctx, id)
		if page, err := c.caller.Read(ctx, "t", id, 0, 0); err == nil && !c.acknowledge(func() { c.results[id] = page }) {
			return false
		}
	}
	if random.IntN(4) > 0 {
		return c.powered()
	}
	c.mutex.Lock()
	c.ending[id] = true
	c.mutex.Unlock()
	if c.caller.End(ctx, "t", id) != nil {
		return c.powered()
	}
	return c.acknowledge(func() { c.ended[id] = true })
}

func (c *replicatedShards) powered() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.crashed == nil
}

// commitResult commits the result of a job's first item at the shard that has the job.
func (c *replicatedShards) commitResult(ctx context.Context, job string) {
	update := itemUpdate{job: job, to: 1, state: StateSucceeded, text: []byte("text of " + job)}
	for _, id := range replicatedIDs() {
		if n := c.leader(id); n != nil && n.machines[id].hasJob(job) {
			shard, _ := n.service.Local(id)
			_, _ = shard.Propose(ctx, encodeAdvance([]itemUpdate{update}, time.Now()))
		}
	}
}

// check checks every acknowledged job at a front node that has just started.
func (c *replicatedShards) check() {
	for id, job := range c.jobs {
		page := c.readJob(id)
		c.g.Expect(page.Total).To(gomega.Equal(len(job.Items)), "job %s", id)
		for i, result := range c.results[id].Results {
			c.g.Expect(len(page.Results)).To(gomega.BeNumerically(">", i), "result of job %s that was read", id)
			c.g.Expect(page.Results[i]).To(gomega.Equal(result), "result of job %s that was read", id)
		}
		err := c.readBodyOf(id)
		if c.ended[id] {
			c.g.Eventually(func() bool { return c.isEnded(id) }).Should(gomega.BeTrue(), "job %s whose end was acknowledged is open", id)
			c.g.Expect(err).To(gomega.MatchError(ErrNoJob), "job %s whose end was acknowledged has bodies", id)
		} else if !c.ending[id] {
			c.g.Expect(err).NotTo(gomega.HaveOccurred(), "body of job %s", id)
		}
	}
}

// isEnded reports whether the leader of a job's shard has the job as ended.
func (c *replicatedShards) isEnded(id string) bool {
	for _, shard := range replicatedIDs() {
		if n := c.leader(shard); n != nil && n.machines[shard].hasJob(id) {
			m := n.machines[shard]
			m.mutex.RLock()
			defer m.mutex.RUnlock()
			return m.jobs[id].ended
		}
	}
	return false
}

// readJob reads a job once its shards have leaders. A lost job fails at once.
func (c *replicatedShards) readJob(id string) (page Page) {
	c.g.Eventually(func(g gomega.Gomega) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var err error
		if page, err = c.caller.Read(ctx, "t", id, 0, 0); errors.Is(err, ErrNoJob) {
			gomega.StopTrying("acknowledged job " + id + " is lost").Now()
		}
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}).Should(gomega.Succeed())
	return page
}

func (c *replicatedShards) readBodyOf(id string) (err error) {
	c.g.Eventually(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err = c.caller.Body(ctx, "t", id, id+"-1")
		return err == nil || errors.Is(err, ErrNoJob)
	}).Should(gomega.BeTrue(), "body of job %s: %v", id, err)
	return err
}

// resubmit submits acknowledged jobs again after their queues may have moved. Each must stay in
// one shard.
func (c *replicatedShards) resubmit() {
	c.changePolicies(c.random)
	for id, job := range c.jobs {
		c.g.Eventually(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return c.caller.Submit(ctx, job)
		}).Should(gomega.Succeed(), "job %s", id)
		c.g.Eventually(func() (holders int) {
			for _, shard := range replicatedIDs() {
				if n := c.leader(shard); n != nil && n.machines[shard].hasJob(id) {
					holders++
				}
			}
			return holders
		}).Should(gomega.Equal(1), "shards with job %s", id)
	}
}

// waitForReplicas waits until each shard has three healthy voters again.
func (c *replicatedShards) waitForReplicas() {
	for _, id := range replicatedIDs() {
		c.g.Eventually(func() (states []string) {
			n := c.leader(id)
			if n == nil {
				return nil
			}
			for _, shard := range n.service.Status().Shards {
				if shard.Shard == id {
					for _, r := range shard.Replicas {
						states = append(states, r.State)
					}
				}
			}
			return states
		}).Should(gomega.Equal([]string{"voter", "voter", "voter"}), "replicas of shard %d", id)
	}
}

// Guards against losing acknowledged jobs, their claims, results that were read or acknowledged
// ends when a disk is lost and all other nodes lose power at that moment.
func TestJobsKeptWhenDiskLostAndOthersLosePower(t *testing.T) {
	c := newReplicatedShards(t, 7)
	c.waitForReplicas()
	for round := range 4 {
		c.failPower(round, maxCallsBeforeFailure)
		c.check()
		c.resubmit()
		c.check()
		c.waitForReplicas()
	}
	t.Logf("%d jobs, %d read, %d ended", len(c.jobs), len(c.results), len(c.ended))
}

// Guards against losing jobs of shards that were just placed, some of whose initial replicas may
// not have started, when a disk is lost and all other nodes lose power.
func TestJobsOfNewShardsKeptWhenDiskLostAndOthersLosePower(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := newReplicatedShards(t, seed)
			c.failPower(0, maxCallsAfterPlacement)
			c.check()
			c.waitForReplicas()
			c.check()
		})
	}
}
