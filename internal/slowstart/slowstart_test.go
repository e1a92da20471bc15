package slowstart

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/transport"
)

// TestMain fixes the seed and size of rapid's runs; CHUTELOCK_CAMPAIGN runs longer with random seeds.
func TestMain(m *testing.M) {
	settings := map[string]string{"rapid.seed": "20261202", "rapid.checks": "3000", "rapid.steps": "100", "rapid.nofailfile": "true"}
	if os.Getenv("CHUTELOCK_CAMPAIGN") != "" {
		settings = map[string]string{"rapid.checks": "10000", "rapid.steps": "200"}
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	start = time.Unix(1_000_000, 0)
	bound = Bound{RateFactor: 1.5, Slack: 5}
)

const coldRate = 8.4

func TestAllowanceIsHalfTheLimitAndAtMostTheRate(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(bound.Allowance(8.4)).To(gomega.Equal(8))
	g.Expect(bound.Allowance(100)).To(gomega.Equal(77))
	g.Expect(bound.Allowance(0.5)).To(gomega.Equal(1))
	g.Expect(bound.Allowance(0)).To(gomega.Equal(0))
	g.Expect(Bound{RateFactor: 1}.Allowance(1)).To(gomega.Equal(0), "two granters would grant two permits where the limit is one")
}

func TestGrantersPrefersEngineZone(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := []mirror.Node{
		{Name: "a", Zone: "x", Region: "r"}, {Name: "b", Zone: "y", Region: "r"}, {Name: "c", Zone: "z", Region: "q"}, {Name: "d", Zone: "x", Region: "r"},
	}
	granters := Granters(nodes, catalog.Engine{ID: "e", Zone: "y", Region: "r"})
	g.Expect(granters).To(gomega.HaveLen(2))
	g.Expect(granters[0].Name).To(gomega.Equal("b"))
	g.Expect(granters[1].Zone).To(gomega.Equal("x"))
	slices.Reverse(nodes)
	g.Expect(Granters(nodes, catalog.Engine{ID: "e", Zone: "y", Region: "r"})).To(gomega.Equal(granters))
	firsts := map[string]bool{}
	for i := range 50 {
		firsts[Granters(nodes, catalog.Engine{ID: fmt.Sprint(i), Zone: "x"})[0].Name] = true
	}
	g.Expect(firsts).To(gomega.Equal(map[string]bool{"a": true, "d": true}))
}

// Guards against two closed granters after all nodes of a zone restart.
func TestGrantersSpansTwoZones(t *testing.T) {
	g := gomega.NewWithT(t)
	var nodes []mirror.Node
	for i := range 12 {
		nodes = append(nodes, mirror.Node{Name: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%4), Region: fmt.Sprint("r", i%2)})
	}
	for i := range 50 {
		granters := Granters(nodes, catalog.Engine{ID: fmt.Sprint(i), Zone: "z1", Region: "r1"})
		g.Expect(granters).To(gomega.HaveLen(2))
		g.Expect(granters[0].Zone).To(gomega.Equal("z1"))
		g.Expect(granters[1].Zone).To(gomega.Equal("z3"), "the second granter is in the other zone of the region")
	}
	oneZone := []mirror.Node{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}, {Name: "c", Zone: "z1"}}
	g.Expect(Granters(oneZone, catalog.Engine{ID: "e", Zone: "z1"})).To(gomega.HaveLen(2), "the second granter is in the only zone")
	g.Expect(Granters(oneZone[:1], catalog.Engine{ID: "e"})).To(gomega.HaveLen(1))
	g.Expect(Granters(nil, catalog.Engine{ID: "e"})).To(gomega.BeEmpty())
}

// Guards against denied nodes that ask again all at once or before a permit is available.
func TestGranterDenialReturnsRetryTime(t *testing.T) {
	g := gomega.NewWithT(t)
	granter := NewGranter(start.Add(-window))
	grant := func(engine string, at time.Duration) (Verdict, time.Duration) {
		return granter.Grant(engine, 8, start.Add(at))
	}
	for range 2 {
		verdict, _ := grant("e", 0)
		g.Expect(verdict).To(gomega.Equal(Granted))
	}
	for _, wanted := range []time.Duration{176, 176, 452, 452, 500, 500} {
		verdict, after := grant("e", 100*time.Millisecond)
		g.Expect(verdict).To(gomega.Equal(Denied))
		g.Expect(after).To(gomega.Equal(wanted * time.Millisecond))
	}
	verdict, _ := grant("other", 100*time.Millisecond)
	g.Expect(verdict).To(gomega.Equal(Granted))
	verdict, _ = grant("e", 276*time.Millisecond)
	g.Expect(verdict).To(gomega.Equal(Granted))
}

// Guards against exceeding a lower allowance, as after an engine turned cold again.
func TestGranterCountsEarlierPermitsAfterAllowanceDrops(t *testing.T) {
	g := gomega.NewWithT(t)
	granter := NewGranter(start.Add(-window))
	now := start
	for range 16 {
		verdict, _ := granter.Grant("e", 64, now)
		g.Expect(verdict).To(gomega.Equal(Granted))
		now = now.Add(time.Millisecond)
	}
	verdict, after := granter.Grant("e", 8, now.Add(900*time.Millisecond))
	g.Expect(verdict).To(gomega.Equal(Denied))
	g.Expect(after).To(gomega.BeNumerically("~", 193*time.Millisecond, time.Millisecond))
}

func TestGranterIsClosedAfterStartAndNodeLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	granter := NewGranter(start)
	granter.SetDataNodes([]string{"a"}, start)
	granter.SetDataNodes([]string{"a", "b"}, start.Add(window/2))
	verdict, after := granter.Grant("e", 8, start.Add(window-time.Millisecond))
	g.Expect(verdict).To(gomega.Equal(Closed))
	g.Expect(after).To(gomega.Equal(time.Millisecond))
	granter.SetDataNodes([]string{"b", "a"}, start.Add(window))
	verdict, _ = granter.Grant("e", 8, start.Add(window))
	g.Expect(verdict).To(gomega.Equal(Granted))
	granter.SetDataNodes([]string{"a"}, start.Add(window))
	verdict, _ = granter.Grant("e", 8, start.Add(2*window-1))
	g.Expect(verdict).To(gomega.Equal(Closed))
}

func TestAskerSkipsUnansweringAndClosedGranters(t *testing.T) {
	g := gomega.NewWithT(t)
	asker := NewAsker(7)
	granters := []transport.Address{"first", "second"}
	now := start
	for i := range maxUnanswered {
		number, to, _ := asker.Ask("e", granters, now)
		g.Expect(to).To(gomega.BeEquivalentTo("first"))
		permission, aside := asker.GiveUp(number, now)
		g.Expect(aside).To(gomega.Equal(i == maxUnanswered-1))
		g.Expect(permission).To(gomega.Equal(Permission{RetryAfter: busyPause}), "the next ask goes to the second granter")
		number, to, _ = asker.Ask("other", granters, now)
		g.Expect(to).To(gomega.BeEquivalentTo("second"), "an ask for another engine does not wait for the first granter, too")
		asker.Drop(number)
		if !aside {
			now = now.Add(shortSkip)
		}
	}
	now = now.Add(longSkip - time.Millisecond)
	number, to, _ := asker.Ask("e", granters, now)
	g.Expect(to).To(gomega.BeEquivalentTo("second"))
	now = now.Add(time.Millisecond - longSkip)
	permission, known := asker.HandleAnswer(Answer{Number: number, Verdict: Closed, RetryAfter: 300 * time.Millisecond}, now)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(permission.Until.IsZero()).To(gomega.BeTrue())
	_, to, after := asker.Ask("e", granters, now)
	g.Expect(to).To(gomega.BeEmpty())
	g.Expect(after).To(gomega.Equal(300 * time.Millisecond))
	now = now.Add(longSkip)
	number, to, _ = asker.Ask("e", granters, now)
	g.Expect(to).To(gomega.BeEquivalentTo("first"))
	_, aside := asker.GiveUp(number, now)
	g.Expect(aside).To(gomega.BeTrue(), "one more unanswered ask is enough for a long skip")
	_, to, _ = asker.Ask("e", granters, now)
	g.Expect(to).To(gomega.BeEquivalentTo("second"))
}

// Guards against skipping a granter for all engines because it does not know one of them.
func TestAskerSkipsGranterForUnknownEngineOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	asker := NewAsker(7)
	granters := []transport.Address{"first", "second"}
	number, _, _ := asker.Ask("new", granters, start)
	permission, known := asker.HandleAnswer(Answer{Number: number, Verdict: Unknown, RetryAfter: 100 * time.Millisecond}, start)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(permission).To(gomega.Equal(Permission{RetryAfter: busyPause}))
	_, to, _ := asker.Ask("other", granters, start)
	g.Expect(to).To(gomega.BeEquivalentTo("first"))
	number, to, _ = asker.Ask("new", granters, start)
	g.Expect(to).To(gomega.BeEquivalentTo("second"))
	asker.HandleAnswer(Answer{Number: number, Verdict: Unknown, RetryAfter: time.Hour}, start)
	_, to, after := asker.Ask("new", granters, start)
	g.Expect(to).To(gomega.BeEmpty())
	g.Expect(after).To(gomega.Equal(100 * time.Millisecond))
	_, to, _ = asker.Ask("new", granters, start.Add(100*time.Millisecond))
	g.Expect(to).To(gomega.BeEquivalentTo("first"))
	_, to, _ = asker.Ask("new", granters[1:], start.Add(window))
	g.Expect(to).To(gomega.BeEquivalentTo("second"), "no skip is longer than a window")
}

// Guards against a closed granter that demands an excessive wait.
func TestAskerSkipsClosedGranterAtMostOneWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	asker := NewAsker(7)
	only := []transport.Address{"only"}
	number, _, _ := asker.Ask("e", only, start)
	unanswered, _, _ := asker.Ask("e", only, start)
	asker.HandleAnswer(Answer{Number: number, Verdict: Closed, RetryAfter: time.Minute}, start)
	asker.GiveUp(unanswered, start) // must not shorten the skip
	_, to, after := asker.Ask("e", only, start.Add(window-time.Millisecond))
	g.Expect(to).To(gomega.BeEmpty())
	g.Expect(after).To(gomega.Equal(time.Millisecond))
	_, to, _ = asker.Ask("e", only, start.Add(window))
	g.Expect(to).To(gomega.BeEquivalentTo("only"))
}

// Guards against skipping a granter because requests were cancelled.
func TestAskerDoesNotCountDroppedAsks(t *testing.T) {
	g := gomega.NewWithT(t)
	asker := NewAsker(7)
	only := []transport.Address{"only"}
	for range 2*maxUnanswered + maxPendingAsks {
		number, to, _ := asker.Ask("e", only, start)
		g.Expect(to).To(gomega.BeEquivalentTo("only"))
		asker.Drop(number)
		_, known := asker.HandleAnswer(Answer{Number: number, Verdict: Granted}, start)
		g.Expect(known).To(gomega.BeFalse())
	}
}

func TestAskerBoundsPendingAsks(t *testing.T) {
	g := gomega.NewWithT(t)
	asker := NewAsker(7)
	var last uint64
	for range maxPendingAsks {
		last, _, _ = asker.Ask("e", []transport.Address{"first"}, start)
	}
	_, to, after := asker.Ask("e", []transport.Address{"first"}, start)
	g.Expect(to).To(gomega.BeEmpty())
	g.Expect(after).To(gomega.Equal(busyPause))
	_, to, _ = asker.Ask("other", []transport.Address{"first"}, start)
	g.Expect(to).NotTo(gomega.BeEmpty())
	asker.HandleAnswer(Answer{Number: last}, start)
	_, to, _ = asker.Ask("e", []transport.Address{"first"}, start)
	g.Expect(to).NotTo(gomega.BeEmpty())
}

func TestMarshalRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	ask := Ask{Number: 1 << 60, Engine: "engine", Revision: 77, Factor: 4, MaybePast: true}
	read, err := UnmarshalAsk(ask.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read).To(gomega.Equal(ask))
	answer := Answer{Number: 3, Verdict: Warm, RetryAfter: 137 * time.Millisecond}
	got, err := UnmarshalAnswer(answer.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(answer))
	for cut := range len(ask.Marshal()) {
		_, err := UnmarshalAsk(ask.Marshal()[:cut])
		g.Expect(err).To(gomega.HaveOccurred())
	}
	_, err = UnmarshalAnswer(append(answer.Marshal(), 0))
	g.Expect(err).To(gomega.HaveOccurred())
}

// testCluster simulates front nodes and data nodes with cold engines. Datagrams may be
// delayed, duplicated, lost or reordered; nodes may restart, be partitioned or pause.
type testCluster struct {
	now      time.Time
	engines  []catalog.Engine
	nodes    []mirror.Node
	granters []*Granter
	fronts   []*frontNode
	asks     []sentAsk
	answers  []sentAnswer // in transit, like asks
	// arrived holds the arrival times of requests by engine.
	arrived map[string][]time.Time
	// byGranter holds the same by engine and granter.
	byGranter   map[[2]string][]time.Time
	partitioned map[[2]int]bool // front node and data node
}

type frontNode struct {
	asker       *Asker
	incarnation int
	permits     []heldPermit
}

type heldPermit struct {
	engine string
	data   int
	until  time.Time
}

type sentAsk struct {
	front, incarnation, data int
	ask                      Ask
}

type sentAnswer struct {
	front, incarnation, data int
	engine                   string
	answer                   Answer
}

func newTestCluster(engines, frontNodes, dataNodes int) *testCluster {
	c := &testCluster{now: start, arrived: map[string][]time.Time{}, byGranter: map[[2]string][]time.Time{}, partitioned: map[[2]int]bool{}}
	for i := range engines {
		c.engines = append(c.engines, catalog.Engine{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%2)})
	}
	for i := range dataNodes {
		name := fmt.Sprint("d", i)
		c.nodes = append(c.nodes, mirror.Node{Name: name, Address: transport.Address(fmt.Sprint(i)), Zone: fmt.Sprint("z", i%2)})
		c.granters = append(c.granters, NewGranter(start.Add(-window)))
	}
	for i := range frontNodes {
		c.fronts = append(c.fronts, &frontNode{asker: NewAsker(uint64(i) << 32)})
	}
	return c
}

func (c *testCluster) advance(step time.Duration) { c.now = c.now.Add(step) }

func (c *testCluster) dataNodeIndex(address transport.Address) int {
	return slices.IndexFunc(c.nodes, func(n mirror.Node) bool { return n.Address == address })
}

func (c *testCluster) askFor(front int, engine catalog.Engine) {
	var addresses []transport.Address
	for _, node := range Granters(c.nodes, engine) {
		addresses = append(addresses, node.Address)
	}
	f := c.fronts[front]
	number, to, _ := f.asker.Ask(engine.ID, addresses, c.now)
	if to == "" {
		return
	}
	c.asks = append(c.asks, sentAsk{front, f.incarnation, c.dataNodeIndex(to), Ask{Number: number, Engine: engine.ID}})
}

// deliverAsk delivers an ask to its data node; it stays in transit if it is duplicated.
func (c *testCluster) deliverAsk(i int, duplicate bool) {
	sent := c.asks[i]
	if !duplicate {
		c.asks = slices.Delete(c.asks, i, i+1)
	}
	if c.partitioned[[2]int{sent.front, sent.data}] {
		return
	}
	verdict, after := c.granters[sent.data].Grant(sent.ask.Engine, bound.Allowance(coldRate), c.now)
	c.answers = append(c.answers, sentAnswer{sent.front, sent.incarnation, sent.data, sent.ask.Engine, Answer{sent.ask.Number, verdict, after}})
}

func (c *testCluster) deliverAnswer(i int, duplicate bool) {
	sent := c.answers[i]
	if !duplicate {
		c.answers = slices.Delete(c.answers, i, i+1)
	}
	f := c.fronts[sent.front]
	if sent.incarnation != f.incarnation {
		return
	}
	if permission, known := f.asker.HandleAnswer(sent.answer, c.now); known && !permission.Until.IsZero() {
		f.permits = append(f.permits, heldPermit{sent.engine, sent.data, permission.Until})
	}
}

// send uses up a front node's oldest permit and sends a request if it is still valid.
func (c *testCluster) send(front int) {
	f := c.fronts[front]
	if len(f.permits) == 0 {
		return
	}
	held := f.permits[0]
	f.permits = f.permits[1:]
	if c.now.Before(held.until) {
		c.arrived[held.engine] = append(c.arrived[held.engine], c.now)
		by := [2]string{held.engine, c.nodes[held.data].Name}
		c.byGranter[by] = append(c.byGranter[by], c.now)
	}
}

// maxWithinSpan returns the largest number of times of any one list within an interval of Span.
func maxWithinSpan[K comparable](lists map[K][]time.Time) int {
	highest := 0
	for _, times := range lists {
		for i, from := range times {
			count := 0
			for _, at := range times[i:] {
				if at.Sub(from) <= Span {
					count++
				}
			}
			highest = max(highest, count)
		}
	}
	return highest
}

func (c *testCluster) maxRequests() int { return maxWithinSpan(c.arrived) }

// checkLimits fails if the requests to an engine exceed the limit, or those with permits of one
// granter exceed its allowance, which slack in the limit could hide.
func (c *testCluster) checkLimits(t *rapid.T) {
	if count := c.maxRequests(); float64(count) > bound.Limit(coldRate) {
		t.Fatalf("%d requests within a second, limit is %v", count, bound.Limit(coldRate))
	}
	if count := maxWithinSpan(c.byGranter); count > bound.Allowance(coldRate) {
		t.Fatalf("%d requests within a second with permits of one granter, its allowance is %v", count, bound.Allowance(coldRate))
	}
}

// Guards against exceeding the limit if datagrams are lost, duplicated or reordered, and if nodes
// restart, are partitioned or pause.
func TestLimitHoldsUnderLossDuplicationAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(2, 4, 3)
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				front, engine := pick("front", len(c.fronts)), pick("engine", len(c.engines))
				for range rapid.IntRange(1, 8).Draw(t, "asks") {
					c.askFor(front, c.engines[engine])
				}
			},
			"exchange": func(t *rapid.T) { // all answers arrive, some twice, and requests follow
				front, engine := pick("front", len(c.fronts)), pick("engine", len(c.engines))
				lags := rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, 90 * time.Millisecond})
				c.exchangeAll(front, c.engines[engine], rapid.IntRange(1, 20).Draw(t, "requests"), exchangeFaults{
					answerLag: lags.Draw(t, "answer lag"), sendLag: lags.Draw(t, "send lag"), duplicated: rapid.Bool().Draw(t, "doubled"),
				})
			},
			"take ask": func(t *rapid.T) {
				if len(c.asks) > 0 {
					c.deliverAsk(pick("ask", len(c.asks)), rapid.Bool().Draw(t, "twice"))
				}
			},
			"take answer": func(t *rapid.T) {
				if len(c.answers) > 0 {
					c.deliverAnswer(pick("answer", len(c.answers)), rapid.Bool().Draw(t, "twice"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(c.asks) > 0 {
					c.asks = c.asks[1:]
				}
			},
			"give up": func(t *rapid.T) {
				if len(c.asks) > 0 {
					sent := c.asks[pick("ask", len(c.asks))]
					if f := c.fronts[sent.front]; f.incarnation == sent.incarnation {
						f.asker.GiveUp(sent.ask.Number, c.now)
					}
				}
			},
			"leave": func(t *rapid.T) {
				if len(c.asks) > 0 {
					sent := c.asks[pick("ask", len(c.asks))]
					if f := c.fronts[sent.front]; f.incarnation == sent.incarnation {
						f.asker.Drop(sent.ask.Number)
					}
				}
			},
			"send": func(t *rapid.T) { c.send(pick("front", len(c.fronts))) },
			"pass": func(t *rapid.T) {
				c.advance(time.Duration(rapid.SampledFrom([]int{1, 5, 40, 99, 100, 101, 500, 930, 1000, 1100}).Draw(t, "ms")) * time.Millisecond)
			},
			"restart data node": func(t *rapid.T) {
				c.granters[pick("data", len(c.granters))] = NewGranter(c.now)
			},
			"restart front node": func(t *rapid.T) {
				f := c.fronts[pick("front", len(c.fronts))]
				f.incarnation++
				f.asker, f.permits = NewAsker(f.asker.number+1<<20), nil
			},
			"cut": func(t *rapid.T) {
				link := [2]int{pick("front", len(c.fronts)), pick("data", len(c.nodes))}
				c.partitioned[link] = !c.partitioned[link]
			},
			"": c.checkLimits,
		})
	})
}

// Guards against starved engines and excessive asks when 30 engines turn cold together and two
// of 50 front nodes cannot reach some granters.
func TestThirtyColdEnginesGetTheirAllowance(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newTestCluster(30, 50, 6)
	c.advance(time.Minute)
	for data := range c.nodes {
		c.partitioned[[2]int{0, data}] = data%3 == 0
		c.partitioned[[2]int{1, data}] = data%3 == 0
	}
	retryAt := map[[2]string]time.Time{}
	asks := 0
	for range 300 { // steps of 10 ms
		for front := range c.fronts {
			for i := range 3 {
				engine := c.engines[(front*7+i*11+asks)%len(c.engines)]
				key := [2]string{fmt.Sprint(front), engine.ID}
				if c.now.Before(retryAt[key]) {
					continue
				}
				retryAt[key] = c.now.Add(c.exchange(front, engine))
				asks++
			}
		}
		c.advance(10 * time.Millisecond)
	}
	highest, lowest := c.maxRequests(), 1000
	for _, engine := range c.engines {
		lowest = min(lowest, len(c.arrived[engine.ID]))
	}
	t.Logf("at most %d requests to an engine within a second, at least %d in 3 s, %d asks", highest, lowest, asks)
	g.Expect(float64(highest)).To(gomega.BeNumerically("<=", bound.Limit(coldRate)))
	g.Expect(lowest).To(gomega.BeNumerically(">=", 0.9*3*float64(bound.Allowance(coldRate))/window.Seconds()))
	g.Expect(asks).To(gomega.BeNumerically("<=", 3*30*50*2), "two asks per second, engine and front node")
}

type exchangeFaults struct {
	answerLag, sendLag time.Duration
	duplicated         bool
}

// exchangeAll asks for many permits, maxPendingAsks at a time, and sends a request for each.
func (c *testCluster) exchangeAll(front int, engine catalog.Engine, requests int, faults exchangeFaults) {
	for range (requests + maxPendingAsks - 1) / maxPendingAsks {
		asked, answered := len(c.asks), len(c.answers)
		for range maxPendingAsks {
			c.askFor(front, engine)
		}
		for len(c.asks) > asked {
			c.deliverAsk(asked, false)
		}
		c.advance(faults.answerLag)
		for len(c.answers) > answered {
			if faults.duplicated {
				c.deliverAnswer(answered, true)
			}
			c.deliverAnswer(answered, false)
		}
	}
	c.advance(faults.sendLag)
	for len(c.fronts[front].permits) > 0 {
		c.send(front)
	}
}

// exchange asks for a permit, uses it if granted, and returns how long to wait before the next.
func (c *testCluster) exchange(front int, engine catalog.Engine) time.Duration {
	c.askFor(front, engine)
	if len(c.asks) == 0 {
		return longSkip
	}
	number := c.asks[0].ask.Number
	c.deliverAsk(0, false)
	if len(c.answers) == 0 {
		permission, _ := c.fronts[front].asker.GiveUp(number, c.now)
		return permission.RetryAfter
	}
	sent := c.answers[0]
	c.deliverAnswer(0, false)
	c.send(front)
	return sent.answer.RetryAfter
}
