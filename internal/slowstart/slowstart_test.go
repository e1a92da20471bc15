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

// TestMain sets the seed and size of fuzzing; CHUTELOCK_CAMPAIGN fuzzes at length.
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
	bound = Bound{Overage: 1.5, Slack: 5}
)

const coldRate = 8.4

func TestAnAllowanceIsHalfOfTheBoundAndAtMostTheRate(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(bound.Allowance(8.4)).To(gomega.Equal(8))
	g.Expect(bound.Allowance(100)).To(gomega.Equal(77))
	g.Expect(bound.Allowance(0.5)).To(gomega.Equal(1))
	g.Expect(bound.Allowance(0)).To(gomega.Equal(0))
	g.Expect(Bound{Overage: 1}.Allowance(1)).To(gomega.Equal(0), "two could give two, where one is allowed")
}

func TestTwoNodesGrantThoseOfTheEnginesZoneFirst(t *testing.T) {
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

// A zone that lost its power comes back with granting nodes that have all just started.
func TestTheTwoThatGrantAreOfTwoZonesWhereThereAreTwo(t *testing.T) {
	g := gomega.NewWithT(t)
	var nodes []mirror.Node
	for i := range 12 {
		nodes = append(nodes, mirror.Node{Name: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%4), Region: fmt.Sprint("r", i%2)})
	}
	for i := range 50 {
		granters := Granters(nodes, catalog.Engine{ID: fmt.Sprint(i), Zone: "z1", Region: "r1"})
		g.Expect(granters).To(gomega.HaveLen(2))
		g.Expect(granters[0].Zone).To(gomega.Equal("z1"))
		g.Expect(granters[1].Zone).To(gomega.Equal("z3"), "the other zone of the region")
	}
	one := []mirror.Node{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z1"}, {Name: "c", Zone: "z1"}}
	g.Expect(Granters(one, catalog.Engine{ID: "e", Zone: "z1"})).To(gomega.HaveLen(2), "there is only one zone")
	g.Expect(Granters(one[:1], catalog.Engine{ID: "e"})).To(gomega.HaveLen(1))
	g.Expect(Granters(nil, catalog.Engine{ID: "e"})).To(gomega.BeEmpty())
}

// Those denied come back one after the other, each when a permit comes free.
func TestADenialTellsWhenAPermitComesFree(t *testing.T) {
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

// A pace that falls back, as an engine turned cold again, counts what was granted before.
func TestALowerAllowanceCountsWhatWasGranted(t *testing.T) {
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

func TestANodeThatStartsOrLosesAnotherGrantsNothingForAWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	granter := NewGranter(start)
	granter.See([]string{"a"}, start)
	granter.See([]string{"a", "b"}, start.Add(window/2))
	verdict, after := granter.Grant("e", 8, start.Add(window-time.Millisecond))
	g.Expect(verdict).To(gomega.Equal(Closed))
	g.Expect(after).To(gomega.Equal(time.Millisecond))
	granter.See([]string{"b", "a"}, start.Add(window))
	verdict, _ = granter.Grant("e", 8, start.Add(window))
	g.Expect(verdict).To(gomega.Equal(Granted))
	granter.See([]string{"a"}, start.Add(window))
	verdict, _ = granter.Grant("e", 8, start.Add(2*window-1))
	g.Expect(verdict).To(gomega.Equal(Closed))
}

func TestWhoIsSilentOrClosedIsPassedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	asker := NewAsker(7)
	granters := []transport.Address{"first", "second"}
	now := start
	for i := range silentMost {
		number, to, _ := asker.Ask("e", granters, now)
		g.Expect(to).To(gomega.BeEquivalentTo("first"))
		permission, aside := asker.GiveUp(number, now)
		g.Expect(aside).To(gomega.Equal(i == silentMost-1))
		g.Expect(permission).To(gomega.Equal(Permission{After: busyPause}), "the next look asks the second")
		number, to, _ = asker.Ask("other", granters, now)
		g.Expect(to).To(gomega.BeEquivalentTo("second"), "the next ask of a request doesn't wait for the first, too")
		asker.Drop(number)
		if !aside {
			now = now.Add(silentPause)
		}
	}
	now = now.Add(asideTime - time.Millisecond)
	number, to, _ := asker.Ask("e", granters, now)
	g.Expect(to).To(gomega.BeEquivalentTo("second"))
	now = now.Add(time.Millisecond - asideTime)
	permission, known := asker.Take(Answer{Number: number, Verdict: Closed, After: 300 * time.Millisecond}, now)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(permission.Until.IsZero()).To(gomega.BeTrue())
	_, to, after := asker.Ask("e", granters, now)
	g.Expect(to).To(gomega.BeEmpty())
	g.Expect(after).To(gomega.Equal(300 * time.Millisecond))
	now = now.Add(asideTime)
	number, to, _ = asker.Ask("e", granters, now)
	g.Expect(to).To(gomega.BeEquivalentTo("first"))
	_, aside := asker.GiveUp(number, now)
	g.Expect(aside).To(gomega.BeTrue(), "one more unanswered ask is enough")
	_, to, _ = asker.Ask("e", granters, now)
	g.Expect(to).To(gomega.BeEquivalentTo("second"))
}

// What a granting node doesn't know, or leaves to others, says nothing of what it grants
// for other engines.
func TestANodeThatDoesNotKnowAnEngineIsPassedOverForThatOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	asker := NewAsker(7)
	granters := []transport.Address{"first", "second"}
	number, _, _ := asker.Ask("new", granters, start)
	permission, known := asker.Take(Answer{Number: number, Verdict: Unknown, After: 100 * time.Millisecond}, start)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(permission).To(gomega.Equal(Permission{After: busyPause}))
	_, to, _ := asker.Ask("other", granters, start)
	g.Expect(to).To(gomega.BeEquivalentTo("first"))
	number, to, _ = asker.Ask("new", granters, start)
	g.Expect(to).To(gomega.BeEquivalentTo("second"))
	asker.Take(Answer{Number: number, Verdict: Unknown, After: time.Hour}, start)
	_, to, after := asker.Ask("new", granters, start)
	g.Expect(to).To(gomega.BeEmpty())
	g.Expect(after).To(gomega.Equal(100 * time.Millisecond))
	_, to, _ = asker.Ask("new", granters, start.Add(100*time.Millisecond))
	g.Expect(to).To(gomega.BeEquivalentTo("first"))
	_, to, _ = asker.Ask("new", granters[1:], start.Add(window))
	g.Expect(to).To(gomega.BeEquivalentTo("second"), "no pause is longer than a window")
}

// Whoever is closed is asked again after a window, whatever it told.
func TestNoNodeIsClosedForLongerThanAWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	asker := NewAsker(7)
	only := []transport.Address{"only"}
	number, _, _ := asker.Ask("e", only, start)
	lost, _, _ := asker.Ask("e", only, start)
	asker.Take(Answer{Number: number, Verdict: Closed, After: time.Minute}, start)
	asker.GiveUp(lost, start) // which tells of a shorter pause
	_, to, after := asker.Ask("e", only, start.Add(window-time.Millisecond))
	g.Expect(to).To(gomega.BeEmpty())
	g.Expect(after).To(gomega.Equal(time.Millisecond))
	_, to, _ = asker.Ask("e", only, start.Add(window))
	g.Expect(to).To(gomega.BeEquivalentTo("only"))
}

// Who left tells nothing of the granting node, however often.
func TestADroppedAskDoesNotCountAgainstItsNode(t *testing.T) {
	g := gomega.NewWithT(t)
	asker := NewAsker(7)
	only := []transport.Address{"only"}
	for range 2*silentMost + asksAtOnce {
		number, to, _ := asker.Ask("e", only, start)
		g.Expect(to).To(gomega.BeEquivalentTo("only"))
		asker.Drop(number)
		_, known := asker.Take(Answer{Number: number, Verdict: Granted}, start)
		g.Expect(known).To(gomega.BeFalse())
	}
}

func TestAsksUnderWayAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	asker := NewAsker(7)
	var last uint64
	for range asksAtOnce {
		last, _, _ = asker.Ask("e", []transport.Address{"first"}, start)
	}
	_, to, after := asker.Ask("e", []transport.Address{"first"}, start)
	g.Expect(to).To(gomega.BeEmpty())
	g.Expect(after).To(gomega.Equal(busyPause))
	_, to, _ = asker.Ask("other", []transport.Address{"first"}, start)
	g.Expect(to).NotTo(gomega.BeEmpty())
	asker.Take(Answer{Number: last}, start)
	_, to, _ = asker.Ask("e", []transport.Address{"first"}, start)
	g.Expect(to).NotTo(gomega.BeEmpty())
}

func TestMessagesAreReadAsWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	ask := Ask{Number: 1 << 60, Engine: "engine", Revision: 77, Factor: 4, MaybePast: true}
	read, err := UnmarshalAsk(ask.Marshal())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read).To(gomega.Equal(ask))
	answer := Answer{Number: 3, Verdict: Warm, After: 137 * time.Millisecond}
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

// world is some front nodes and data nodes before cold engines. Datagrams are delivered
// late, twice or never, in any order; nodes restart, are cut off and pause.
type world struct {
	now      time.Time
	engines  []catalog.Engine
	nodes    []mirror.Node
	granters []*Granter
	fronts   []*frontNode
	asks     []sentAsk
	// answers are under way, and answered those that may come once more.
	answers []sentAnswer
	arrived map[string][]time.Time
	// byGranter are the same by engine and granting node.
	byGranter map[[2]string][]time.Time
	cut       map[[2]int]bool // front node and data node
}

type frontNode struct {
	asker   *Asker
	lives   int
	permits []heldPermit
}

type heldPermit struct {
	engine string
	data   int
	until  time.Time
}

type sentAsk struct {
	front, life, data int
	ask               Ask
}

type sentAnswer struct {
	front, life, data int
	engine            string
	answer            Answer
}

func newWorld(engines, fronts, datas int) *world {
	w := &world{now: start, arrived: map[string][]time.Time{}, byGranter: map[[2]string][]time.Time{}, cut: map[[2]int]bool{}}
	for i := range engines {
		w.engines = append(w.engines, catalog.Engine{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%2)})
	}
	for i := range datas {
		name := fmt.Sprint("d", i)
		w.nodes = append(w.nodes, mirror.Node{Name: name, Address: transport.Address(fmt.Sprint(i)), Zone: fmt.Sprint("z", i%2)})
		w.granters = append(w.granters, NewGranter(start.Add(-window)))
	}
	for i := range fronts {
		w.fronts = append(w.fronts, &frontNode{asker: NewAsker(uint64(i) << 32)})
	}
	return w
}

func (w *world) pass(step time.Duration) { w.now = w.now.Add(step) }

func (w *world) dataOf(address transport.Address) int {
	return slices.IndexFunc(w.nodes, func(n mirror.Node) bool { return n.Address == address })
}

func (w *world) askFor(front int, engine catalog.Engine) {
	var addresses []transport.Address
	for _, node := range Granters(w.nodes, engine) {
		addresses = append(addresses, node.Address)
	}
	f := w.fronts[front]
	number, to, _ := f.asker.Ask(engine.ID, addresses, w.now)
	if to == "" {
		return
	}
	w.asks = append(w.asks, sentAsk{front, f.lives, w.dataOf(to), Ask{Number: number, Engine: engine.ID}})
}

// deliverAsk takes an ask to its data node; it stays under way if it comes again.
func (w *world) deliverAsk(i int, again bool) {
	sent := w.asks[i]
	if !again {
		w.asks = slices.Delete(w.asks, i, i+1)
	}
	if w.cut[[2]int{sent.front, sent.data}] {
		return
	}
	verdict, after := w.granters[sent.data].Grant(sent.ask.Engine, bound.Allowance(coldRate), w.now)
	w.answers = append(w.answers, sentAnswer{sent.front, sent.life, sent.data, sent.ask.Engine, Answer{sent.ask.Number, verdict, after}})
}

func (w *world) deliverAnswer(i int, again bool) {
	sent := w.answers[i]
	if !again {
		w.answers = slices.Delete(w.answers, i, i+1)
	}
	f := w.fronts[sent.front]
	if sent.life != f.lives {
		return
	}
	if permission, known := f.asker.Take(sent.answer, w.now); known && !permission.Until.IsZero() {
		f.permits = append(f.permits, heldPermit{sent.engine, sent.data, permission.Until})
	}
}

// send sends a request for a permit that a front node holds, if it is still valid.
func (w *world) send(front int) {
	f := w.fronts[front]
	if len(f.permits) == 0 {
		return
	}
	held := f.permits[0]
	f.permits = f.permits[1:]
	if w.now.Before(held.until) {
		w.arrived[held.engine] = append(w.arrived[held.engine], w.now)
		by := [2]string{held.engine, w.nodes[held.data].Name}
		w.byGranter[by] = append(w.byGranter[by], w.now)
	}
}

// mostWithinSpan is the most of all lists of times that lie within any second.
func mostWithinSpan[K comparable](lists map[K][]time.Time) int {
	most := 0
	for _, times := range lists {
		for i, from := range times {
			count := 0
			for _, at := range times[i:] {
				if at.Sub(from) <= Span {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

func (w *world) worst() int { return mostWithinSpan(w.arrived) }

// check fails beyond the bound, and where the permits of one granting node are beyond its
// part: the bound leaves room that would hide that.
func (w *world) check(t *rapid.T) {
	if worst := w.worst(); float64(worst) > bound.Of(coldRate) {
		t.Fatalf("%d requests within a second, %v are allowed", worst, bound.Of(coldRate))
	}
	if worst := mostWithinSpan(w.byGranter); worst > bound.Allowance(coldRate) {
		t.Fatalf("%d requests within a second by one node's permits, %v are its part", worst, bound.Allowance(coldRate))
	}
}

// TestNeverOverWhateverIsLostOrDoubled: datagrams in any order, restarts, cuts, pauses.
func TestNeverOverWhateverIsLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(2, 4, 3)
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				front, engine := pick("front", len(w.fronts)), pick("engine", len(w.engines))
				for range rapid.IntRange(1, 8).Draw(t, "asks") {
					w.askFor(front, w.engines[engine])
				}
			},
			"exchange": func(t *rapid.T) { // answers come all, some twice, and requests follow
				front, engine := pick("front", len(w.fronts)), pick("engine", len(w.engines))
				lags := rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, 90 * time.Millisecond})
				w.exchangeAll(front, w.engines[engine], rapid.IntRange(1, 20).Draw(t, "requests"), exchangeFaults{
					answer: lags.Draw(t, "answer lag"), send: lags.Draw(t, "send lag"), doubled: rapid.Bool().Draw(t, "doubled"),
				})
			},
			"take ask": func(t *rapid.T) {
				if len(w.asks) > 0 {
					w.deliverAsk(pick("ask", len(w.asks)), rapid.Bool().Draw(t, "twice"))
				}
			},
			"take answer": func(t *rapid.T) {
				if len(w.answers) > 0 {
					w.deliverAnswer(pick("answer", len(w.answers)), rapid.Bool().Draw(t, "twice"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(w.asks) > 0 {
					w.asks = w.asks[1:]
				}
			},
			"give up": func(t *rapid.T) {
				if len(w.asks) > 0 {
					sent := w.asks[pick("ask", len(w.asks))]
					if f := w.fronts[sent.front]; f.lives == sent.life {
						f.asker.GiveUp(sent.ask.Number, w.now)
					}
				}
			},
			"leave": func(t *rapid.T) {
				if len(w.asks) > 0 {
					sent := w.asks[pick("ask", len(w.asks))]
					if f := w.fronts[sent.front]; f.lives == sent.life {
						f.asker.Drop(sent.ask.Number)
					}
				}
			},
			"send": func(t *rapid.T) { w.send(pick("front", len(w.fronts))) },
			"pass": func(t *rapid.T) {
				w.pass(time.Duration(rapid.SampledFrom([]int{1, 5, 40, 99, 100, 101, 500, 930, 1000, 1100}).Draw(t, "ms")) * time.Millisecond)
			},
			"restart data node": func(t *rapid.T) {
				w.granters[pick("data", len(w.granters))] = NewGranter(w.now)
			},
			"restart front node": func(t *rapid.T) {
				f := w.fronts[pick("front", len(w.fronts))]
				f.lives++
				f.asker, f.permits = NewAsker(f.asker.number+1<<20), nil
			},
			"cut": func(t *rapid.T) {
				link := [2]int{pick("front", len(w.fronts)), pick("data", len(w.nodes))}
				w.cut[link] = !w.cut[link]
			},
			"": w.check,
		})
	})
}

// TestThirtyEnginesBackTogether: 50 front nodes send as much as they get permits for, at
// once and for three seconds, as two of them find the first granting nodes silent. All
// engines get what one granting node gives, and nobody asks without end.
func TestThirtyEnginesBackTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(30, 50, 6)
	w.pass(time.Minute)
	for data := range w.nodes {
		w.cut[[2]int{0, data}] = data%3 == 0
		w.cut[[2]int{1, data}] = data%3 == 0
	}
	again := map[[2]string]time.Time{}
	asks := 0
	for range 300 { // steps of 10 ms
		for front := range w.fronts {
			for i := range 3 {
				engine := w.engines[(front*7+i*11+asks)%len(w.engines)]
				k := [2]string{fmt.Sprint(front), engine.ID}
				if w.now.Before(again[k]) {
					continue
				}
				again[k] = w.now.Add(w.exchange(front, engine))
				asks++
			}
		}
		w.pass(10 * time.Millisecond)
	}
	worst, least := w.worst(), 1000
	for _, engine := range w.engines {
		least = min(least, len(w.arrived[engine.ID]))
	}
	t.Logf("the most in a second %d, the least in 3 s %d, %d asks", worst, least, asks)
	g.Expect(float64(worst)).To(gomega.BeNumerically("<=", bound.Of(coldRate)))
	g.Expect(least).To(gomega.BeNumerically(">=", 0.9*3*float64(bound.Allowance(coldRate))/window.Seconds()))
	g.Expect(asks).To(gomega.BeNumerically("<=", 3*30*50*2), "two asks a second, engine and front node")
}

type exchangeFaults struct {
	answer, send time.Duration // lags
	doubled      bool
}

// exchangeAll asks for many requests, four at a time, and sends those that may be.
func (w *world) exchangeAll(front int, engine catalog.Engine, requests int, faults exchangeFaults) {
	for range (requests + asksAtOnce - 1) / asksAtOnce {
		asked, answered := len(w.asks), len(w.answers)
		for range asksAtOnce {
			w.askFor(front, engine)
		}
		for len(w.asks) > asked {
			w.deliverAsk(asked, false)
		}
		w.pass(faults.answer)
		for len(w.answers) > answered {
			if faults.doubled {
				w.deliverAnswer(answered, true)
			}
			w.deliverAnswer(answered, false)
		}
	}
	w.pass(faults.send)
	for len(w.fronts[front].permits) > 0 {
		w.send(front)
	}
}

// exchange asks, and sends if it may; it returns how long not to ask again.
func (w *world) exchange(front int, engine catalog.Engine) time.Duration {
	w.askFor(front, engine)
	if len(w.asks) == 0 {
		return asideTime
	}
	number := w.asks[0].ask.Number
	w.deliverAsk(0, false)
	if len(w.answers) == 0 {
		permission, _ := w.fronts[front].asker.GiveUp(number, w.now)
		return permission.After
	}
	sent := w.answers[0]
	w.deliverAnswer(0, false)
	w.send(front)
	return sent.answer.After
}
