package system

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/forward"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/origin"
	"chutelock.dev/chutelock/internal/transport"
)

var errDown = errors.New("the node is down")

// originFleet connects front nodes with data nodes in the test process. It implements
// transport.Sender for all front nodes.
type originFleet struct {
	mutex   sync.Mutex
	servers map[transport.Address]*originServer
	down    map[transport.Address]bool
	loses   bool // datagrams
	calls   int
	// proof is what data nodes can prove.
	proof origin.Answer
	// relays are front nodes by address; fronts are the addresses that others know.
	relays map[transport.Address]*originClient
	fronts []transport.Address
	// earlierVersion has the data nodes of an earlier version.
	earlierVersion map[transport.Address]bool
}

func newOriginFleet() *originFleet {
	return &originFleet{servers: map[transport.Address]*originServer{}, down: map[transport.Address]bool{}, earlierVersion: map[transport.Address]bool{}}
}

func (f *originFleet) proveRoute(context.Context, string, string, time.Duration) origin.Answer {
	return f.proof
}

func (f *originFleet) proveService(_ context.Context, service string, _ time.Duration) origin.Answer {
	if service == "" {
		return origin.Answer{}
	}
	return f.proof
}

// history is the proof of the data nodes as the history of a front node.
func (f *originFleet) history(string, string, time.Duration) origin.Answer { return f.proof }

// soleRelease is a proof.
func soleRelease(release catalog.Release) origin.Answer {
	return origin.Answer{Source: origin.SourceSole, Release: release}
}

// add adds a data node, or empties one.
func (f *originFleet) add(address transport.Address) {
	f.servers[address] = &originServer{store: newOriginStore(), proveRoute: f.proveRoute, proveService: f.proveService}
}

// nodes lists the data nodes; those with even numbers are in the region "north".
func (f *originFleet) nodes() []mirror.Node {
	var nodes []mirror.Node
	for i := range 12 {
		address := transport.Address(fmt.Sprint("d", i))
		if f.servers[address] != nil {
			nodes = append(nodes, mirror.Node{Name: string(address), Address: address, Region: []string{"north", "south"}[i%2], Zone: fmt.Sprint("z", i%4)})
		}
	}
	return nodes
}

func (f *originFleet) front(region string) *originClient {
	return &originClient{
		store: newOriginStore(), peers: f, nodes: f.nodes, fronts: func() []transport.Address { return f.fronts }, region: region,
		history: func(string, string, time.Duration) origin.Answer { return origin.Answer{} }, maxListAge: time.Second,
		proveRoute: func(context.Context, string, string, time.Duration) origin.Answer { return origin.Answer{} },
		listAge:    func() time.Duration { return 0 },
		found:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "found"}, []string{"source"}),
	}
}

func (f *originFleet) Call(ctx context.Context, to transport.Address, kind transport.Kind, payload []byte) ([]byte, error) {
	if kind == kindOriginRelay && f.relays[to] != nil {
		return f.relays[to].handleRelay(ctx, "front", payload)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	switch {
	case f.down[to] || f.servers[to] == nil:
		return nil, errDown
	case kind == kindOriginQueryV1:
		return f.servers[to].handleQueryV1(ctx, "front", payload)
	case f.earlierVersion[to]:
		return nil, &transport.RemoteError{Code: transport.CodeNoHandler}
	}
	return f.servers[to].handleQuery(ctx, "front", payload)
}

func (f *originFleet) Send(transport.Address, transport.Kind, []byte) {}

func (f *originFleet) Datagram(to transport.Address, _ transport.Kind, payload []byte) error {
	if f.loses || f.down[to] || f.servers[to] == nil {
		return errDown
	}
	f.servers[to].handleRecord("front", payload)
	return nil
}

var (
	releaseOne  = catalog.Release{Service: "s", Version: "1"}
	releaseTwo  = catalog.Release{Service: "s", Version: "2"}
	streamRoute = &catalog.Route{Name: "r", Host: "h.example", Prefix: "/s/", Kind: catalog.KindStream, Resumable: true, Timeout: 4 * time.Second, Backends: []catalog.Backend{{Service: "s", Weight: 1}}}
)

// begin records the beginning of a stream.
func (c *originClient) begin(id string, release catalog.Release) bool {
	return c.began(&forward.Request{ID: id, Tenant: "tenant"}, streamRoute, release)
}

func (c *originClient) findBegun(id string) (catalog.Release, bool) {
	return c.find(context.Background(), &forward.Request{ID: "again", Tenant: "tenant", Resumes: id, LastEvent: 1}, streamRoute)
}

func newNorthFleet(dataNodes int) *originFleet {
	f := newOriginFleet()
	for i := range dataNodes {
		f.add(transport.Address(fmt.Sprint("d", 2*i)))
	}
	return f
}

func TestOriginFoundAtOtherNodeWhileOneHomeLives(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newNorthFleet(4)
	first, second := f.front("north"), f.front("north")
	for i := range 50 {
		id := fmt.Sprint("r", i)
		first.begin(id, releaseTwo)
		homes := origin.Homes(f.nodes(), "north", origin.KeyOf("tenant", id))
		f.down[homes[i%2].Address] = true
		release, found := second.findBegun(id)
		g.Expect(found).To(gomega.BeTrue())
		g.Expect(release).To(gomega.Equal(releaseTwo))
		clear(f.down)
	}
}

func TestOriginUnknownIsNotGuessed(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newNorthFleet(4)
	node := f.front("north")
	_, found := node.findBegun("never")
	g.Expect(found).To(gomega.BeFalse())
	f.loses = true
	f.front("north").begin("lost", releaseOne)
	_, found = node.findBegun("lost")
	g.Expect(found).To(gomega.BeFalse())
	for _, other := range f.nodes() {
		f.down[other.Address] = true
	}
	_, found = node.findBegun("unreachable")
	g.Expect(found).To(gomega.BeFalse())
	_, found = newOriginFleet().front("north").findBegun("no data node")
	g.Expect(found).To(gomega.BeFalse())
}

func TestOriginOfOtherTenantIsNotFound(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newNorthFleet(4)
	f.front("north").began(&forward.Request{ID: "r", Tenant: "another"}, streamRoute, releaseOne)
	_, found := f.front("north").findBegun("r")
	g.Expect(found).To(gomega.BeFalse())
}

func TestOriginFoundInOtherRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newOriginFleet()
	for i := range 12 {
		f.add(transport.Address(fmt.Sprint("d", i)))
	}
	f.front("south").begin("r", releaseOne)
	release, found := f.front("north").findBegun("r")
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(release).To(gomega.Equal(releaseOne))
}

func TestSoleReleaseStandsInForLostRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newNorthFleet(4)
	node := f.front("north")
	unnamed := &forward.Request{ID: "again", Tenant: "tenant", LastEvent: 1}
	_, found := node.find(context.Background(), unnamed, streamRoute)
	g.Expect(found).To(gomega.BeFalse())
	f.proof = soleRelease(releaseTwo)
	for _, request := range []*forward.Request{unnamed, {ID: "again", Resumes: "lost", LastEvent: 1}} {
		release, found := node.find(context.Background(), request, streamRoute)
		g.Expect(found).To(gomega.BeTrue())
		g.Expect(release).To(gomega.Equal(releaseTwo))
	}
	f.front("north").begin("r", releaseOne)
	release, _ := node.findBegun("r")
	g.Expect(release).To(gomega.Equal(releaseOne), "a record counts more")
}

func TestStreamContinuedByOwnProofWithoutDataNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	node := newOriginFleet().front("north")
	node.proveRoute = func(_ context.Context, host, prefix string, _ time.Duration) origin.Answer {
		g.Expect([]string{host, prefix}).To(gomega.Equal([]string{streamRoute.Host, streamRoute.Prefix}))
		return soleRelease(releaseTwo)
	}
	release, found := node.findBegun("r")
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(release).To(gomega.Equal(releaseTwo))
}

// Guards against refusals at a front node that reaches other front nodes but no data node.
func TestStreamContinuedThroughOtherFrontNode(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newNorthFleet(4)
	first, second := f.front("north"), f.front("north")
	first.begin("r", releaseTwo)
	isolated := f.front("north")
	isolated.nodes = func() []mirror.Node { return []mirror.Node{{Name: "d0", Address: "cut off", Region: "north"}} }
	f.relays = map[transport.Address]*originClient{"first": first, "second": second}
	for _, front := range []transport.Address{"first", "second"} {
		f.fronts = []transport.Address{"down", front}
		release, found := isolated.findBegun("r")
		g.Expect(found).To(gomega.BeTrue(), "by %s", front)
		g.Expect(release).To(gomega.Equal(releaseTwo))
		_, found = isolated.findBegun("never")
		g.Expect(found).To(gomega.BeFalse())
	}
}

// Guards against a list that may be behind as proof of what began a stream, where no data node answers.
func TestStreamNotContinuedByOldListOfNodeCutOffFromDataNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newNorthFleet(4)
	f.front("north").begin("r", releaseTwo)
	cutOff := f.front("north")
	cutOff.history = func(string, string, time.Duration) origin.Answer { return soleRelease(releaseOne) }
	for _, node := range f.nodes() {
		f.down[node.Address] = true
	}
	release, found := cutOff.findBegun("r")
	g.Expect(found).To(gomega.BeFalse(), "continued at %v", release)
}

func TestDataNodesOfEarlierVersionAreAskedForRecordsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newNorthFleet(4)
	for _, node := range f.nodes() {
		f.earlierVersion[node.Address] = true
	}
	f.proof = soleRelease(releaseOne) // by a list that may be behind
	f.front("north").begin("r", releaseTwo)
	release, found := f.front("north").findBegun("r")
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(release).To(gomega.Equal(releaseTwo))
	_, found = f.front("north").findBegun("lost")
	g.Expect(found).To(gomega.BeFalse())
}

func TestFrontNodeOfEarlierVersionGetsRecordOrProof(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newNorthFleet(1)
	ask := func(query origin.QueryV1) origin.Answer {
		reply, err := f.servers["d0"].handleQueryV1(context.Background(), "front", query.Marshal())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		answer, err := origin.UnmarshalAnswer(reply)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return answer
	}
	query := origin.QueryV1{Key: origin.KeyOf("tenant", "r"), Service: "s", Window: 10 * time.Second}
	g.Expect(ask(query)).To(gomega.Equal(origin.Answer{}))
	f.proof = origin.Answer{Source: origin.SourceSeveral}
	g.Expect(ask(query)).To(gomega.Equal(origin.Answer{}), "a source that earlier versions don't know")
	f.proof = soleRelease(releaseOne)
	g.Expect(ask(query)).To(gomega.Equal(soleRelease(releaseOne)))
	f.front("north").begin("r", releaseTwo)
	g.Expect(ask(query)).To(gomega.Equal(origin.Answer{Source: origin.SourceRecord, Release: releaseTwo}))
}

// Guards against messages for each stream while a service has one release.
func TestNoRecordSentWhileServiceHasOneRelease(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newNorthFleet(4)
	first, second := f.front("north"), f.front("north")
	f.proof = soleRelease(releaseOne)
	first.history = f.history
	g.Expect(first.begin("r", releaseOne)).To(gomega.BeFalse())
	for _, node := range f.nodes() {
		g.Expect(f.servers[node.Address].store.count()).To(gomega.BeZero())
	}
	release, found := second.findBegun("r")
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(release).To(gomega.Equal(releaseOne))
	// The list has another release now: a stream of either is recorded, also one under way.
	f.proof = origin.Answer{Source: origin.SourceSeveral}
	_, found = second.findBegun("r")
	g.Expect(found).To(gomega.BeFalse())
	g.Expect(first.begin("r", releaseOne)).To(gomega.BeTrue())
	g.Expect(first.begin("new", releaseTwo)).To(gomega.BeTrue())
	release, found = second.findBegun("r")
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(release).To(gomega.Equal(releaseOne))
	f.proof = soleRelease(releaseOne) // a list that is behind
	g.Expect(first.begin("newer", releaseTwo)).To(gomega.BeTrue(), "another release than the only one of the list")
}

func TestRouteOfTwoServicesOrWithoutTimeoutHasNoSoleRelease(t *testing.T) {
	g := gomega.NewWithT(t)
	node := newNorthFleet(1).front("north")
	two, endless := *streamRoute, *streamRoute
	two.Backends = []catalog.Backend{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}
	endless.Timeout = 0
	for _, route := range []*catalog.Route{&two, &endless} {
		g.Expect(node.query(&forward.Request{}, route).Host).To(gomega.BeEmpty())
	}
	g.Expect(node.query(&forward.Request{}, streamRoute).Host).To(gomega.Equal(streamRoute.Host))
}

// Guards against a region's proof that outweighs another one which knows of several releases.
func TestSeveralReleasesOutweighProofOfOtherRegion(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newOriginFleet()
	for _, address := range []string{"0", "1", "2", "3", "4", "5"} {
		f.add(transport.Address("d" + address))
	}
	node := f.front("north")
	for _, n := range f.nodes() {
		answer := soleRelease(releaseOne)
		if n.Region == "north" {
			answer = origin.Answer{Source: origin.SourceSeveral}
		}
		f.servers[n.Address].proveRoute = func(context.Context, string, string, time.Duration) origin.Answer { return answer }
	}
	_, found := node.findBegun("r")
	g.Expect(found).To(gomega.BeFalse())
}

// Guards against reads of the store for questions that data nodes have answered at once.
func TestNoProofOfItsOwnAfterAnswerOfDataNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newOriginFleet()
		for _, address := range []string{"0", "1", "2", "3", "4", "5"} {
			f.add(transport.Address("d" + address))
		}
		f.front("north").begin("r", releaseOne)
		node := f.front("north")
		var proofs atomic.Int32
		node.proveRoute = func(context.Context, string, string, time.Duration) origin.Answer {
			proofs.Add(1)
			return origin.Answer{}
		}
		started := clock.Now()
		_, found := node.find(t.Context(), &forward.Request{ID: "again", Tenant: "tenant", Resumes: "r", LastEvent: 1}, streamRoute)
		g.Expect(found).To(gomega.BeTrue())
		g.Expect(proofs.Load()).To(gomega.BeZero(), "after %v", clock.Since(started))
	})
}

// Random sequences of streams that begin and continue at any front node, while data nodes are lost,
// come back empty, join and leave, datagrams are lost and IDs are used twice. A continued stream
// always gets the release that began it.
func TestContinuedStreamsGetTheirReleaseUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newNorthFleet(3)
		fronts := []*originClient{f.front("north"), f.front("north"), f.front("south")}
		begun := map[string]map[catalog.Release]bool{}
		front := func(t *rapid.T) *originClient { return rapid.SampledFrom(fronts).Draw(t, "front") }
		address := func(t *rapid.T) transport.Address {
			return transport.Address(fmt.Sprint("d", rapid.IntRange(0, 11).Draw(t, "data node")))
		}
		id := func(t *rapid.T) string { return fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				request, release := id(t), rapid.SampledFrom([]catalog.Release{releaseOne, releaseTwo}).Draw(t, "release")
				if known := begun[request]; known != nil && !known[release] && rapid.IntRange(0, 3).Draw(t, "again") > 0 {
					t.Skip("an ID is rarely used twice")
				}
				if begun[request] == nil {
					begun[request] = map[catalog.Release]bool{}
				}
				begun[request][release] = true
				front(t).begin(request, release)
			},
			"continue": func(t *rapid.T) {
				request := id(t)
				release, found := front(t).findBegun(request)
				if found && !begun[request][release] {
					t.Fatalf("%s continues at %v, begun at %v", request, release, begun[request])
				}
			},
			"empty": func(t *rapid.T) { f.add(address(t)) },
			"leave": func(t *rapid.T) { delete(f.servers, address(t)) },
			"down":  func(t *rapid.T) { f.down[address(t)] = true },
			"up":    func(t *rapid.T) { delete(f.down, address(t)) },
			"lose":  func(*rapid.T) { f.loses = !f.loses },
		})
	})
}
