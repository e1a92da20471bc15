package dissemination

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/membership"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
	"chutelock.dev/chutelock/internal/transport"
)

const (
	selfAddress = transport.Address("10.0.0.1:7000")
	peerAddress = transport.Address("10.0.0.2:7000")
)

func live(name string, revision uint64) Entry {
	return Entry{Name: name, Revision: revision, Spec: []byte(name)}
}

func deleted(name string, revision uint64) Entry {
	return Entry{Name: name, Revision: revision, Deleted: true, Spec: []byte("deleted")}
}

// runningMachine returns the Machine of a single node that has entries in force
// and has just begun to probe or list the store.
func runningMachine(version settings.Version, entries ...Entry) (*Machine, time.Time) {
	now := time.Unix(1_800_000_000, 0)
	self := membership.Member{Name: "self", Address: selfAddress, Zone: "z", Region: "r"}
	machine := New(Config{Self: self, Seed: 1}, now, NewState(version, entries))
	for machine.watch.phase == phaseIdle {
		now = now.Add(TickInterval)
		machine.Tick(now)
	}
	return machine, now
}

// versions returns the versions that actions publish.
func versions(actions []Action) []string {
	var published []string
	for _, action := range actions {
		if publish, ok := action.(Publish); ok {
			published = append(published, publish.Version.String())
		}
	}
	return published
}

func notices(actions []Action) []Notice {
	var found []Notice
	for _, action := range actions {
		if notify, ok := action.(Notify); ok {
			found = append(found, notify.Notice)
		}
	}
	return found
}

// deltaFor returns a delta with the digest of the state that it leads to.
func deltaFor(from, to settings.Version, exact bool, base []Entry, changes ...Entry) *Delta {
	state := NewState(from, base)
	delta := &Delta{From: from, To: to, Exact: exact, Entries: changes}
	delta.Digest = state.digestWith(state.changes(delta))
	return delta
}

// Guards against applying a delta across a gap or epoch change.
func TestHandleDeltaRequiresContiguousVersion(t *testing.T) {
	base := []Entry{live("a", 3), live("b", 5)}
	wrongDigest := deltaFor(5, 6, false, base, live("a", 6))
	wrongDigest.Digest++
	nextEpoch := settings.MakeVersion(1, 2)
	for name, test := range map[string]struct {
		delta *Delta
		want  []string
		pulls int
	}{
		"next":                   {deltaFor(5, 6, false, base, live("a", 6)), []string{"0.6"}, 0},
		"overlapping":            {deltaFor(4, 6, false, base, live("b", 5), live("a", 6)), []string{"0.6"}, 0},
		"duplicate":              {deltaFor(4, 5, false, base, live("b", 5)), nil, 0},
		"older":                  {deltaFor(2, 3, false, nil, live("a", 3)), nil, 0},
		"behind a gap":           {deltaFor(6, 7, false, base, live("a", 7)), nil, 1},
		"digest mismatch":        {wrongDigest, nil, 1},
		"new epoch, exact":       {deltaFor(5, nextEpoch, true, base, live("c", 2)), []string{"1.2"}, 0},
		"new epoch, wrong start": {deltaFor(4, nextEpoch, true, base, live("c", 2)), nil, 1},
		"new epoch, not exact":   {deltaFor(5, nextEpoch, false, base, live("c", 2)), nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			machine, now := runningMachine(5, base...)
			actions := machine.HandleDelta(now, peerAddress, test.delta)
			g.Expect(versions(actions)).To(gomega.Equal(test.want))
			pulls := 0
			for _, action := range actions {
				if _, ok := action.(CallPull); ok {
					pulls++
				}
			}
			g.Expect(pulls).To(gomega.Equal(test.pulls))
			for _, action := range actions {
				if publish, ok := action.(Publish); ok {
					g.Expect(publish.Changes).To(gomega.HaveLen(1), "unchanged entries are not published again")
				}
			}
		})
	}
}

// Guards against adopting a store that was rolled back or forked.
func TestHandleListedRequiresSameHistory(t *testing.T) {
	base := []Entry{live("a", 3), deleted("b", 4), live("c", 5)}
	other := live("c", 5)
	other.Spec = []byte("other")
	epoch := func(number int, revision uint64) Entry {
		return Entry{Name: tree.EpochObject, Revision: revision, Spec: fmt.Appendf(nil, `{"epoch":%d}`, number)}
	}
	for name, test := range map[string]struct {
		listed []Entry
		want   []string
		notice []Notice
	}{
		"the same":                      {base, nil, nil},
		"newer":                         {[]Entry{live("a", 3), deleted("b", 4), live("c", 7), live("d", 6)}, []string{"0.7"}, nil},
		"tombstone purged":              {[]Entry{live("a", 3), live("c", 6)}, []string{"0.6"}, nil},
		"deleted":                       {[]Entry{deleted("a", 6), live("c", 5)}, []string{"0.6"}, nil},
		"older":                         {[]Entry{live("a", 3), live("b", 2)}, nil, []Notice{NoticeStoreBehind}},
		"forked, entry lost":            {[]Entry{live("a", 9)}, nil, []Notice{NoticeStoreForked}},
		"forked, entry older":           {[]Entry{live("a", 9), live("c", 4)}, nil, []Notice{NoticeStoreForked}},
		"forked, entry differs":         {[]Entry{live("a", 9), other}, nil, []Notice{NoticeStoreForked}},
		"forked, deletion undone":       {[]Entry{live("a", 9), live("b", 2), live("c", 5)}, nil, []Notice{NoticeStoreForked}},
		"forked, old unknown entry":     {[]Entry{live("a", 3), live("c", 9), live("x", 2)}, nil, []Notice{NoticeStoreForked}},
		"forked, old unknown tombstone": {[]Entry{live("a", 3), live("c", 9), deleted("x", 2)}, nil, []Notice{NoticeStoreForked}},
		"epoch raised":                  {[]Entry{live("a", 1), epoch(1, 2)}, []string{"1.2"}, []Notice{NoticeEpochRaised}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			machine, now := runningMachine(5, base...)
			machine.list(now)
			machine.takeActions()
			actions := machine.HandleListed(now, machine.watch.ticket, test.listed, 9, nil)
			g.Expect(versions(actions)).To(gomega.Equal(test.want))
			g.Expect(notices(actions)).To(gomega.Equal(test.notice))
			if test.want != nil {
				want := NewState(machine.state.version, test.listed)
				g.Expect(machine.state.digest()).To(gomega.Equal(want.digest()), "purged tombstones are dropped")
			}
			g.Expect(machine.Watching()).To(gomega.Equal(!machine.StoreRefused()))
		})
	}
	t.Run("newest tombstone purged", func(t *testing.T) {
		g := gomega.NewWithT(t)
		machine, now := runningMachine(5, live("a", 3), deleted("c", 5))
		machine.HandleProbed(now, machine.watch.ticket, Probe{}, nil)
		g.Expect(machine.watch.phase).To(gomega.Equal(phaseListing))
		machine.HandleListed(now, machine.watch.ticket, []Entry{live("a", 3)}, 8, nil)
		g.Expect(machine.Watching()).To(gomega.BeTrue())
	})
	t.Run("newest tombstone lost", func(t *testing.T) {
		g := gomega.NewWithT(t)
		machine, now := runningMachine(5, live("a", 3), deleted("c", 5))
		machine.list(now)
		machine.HandleListed(now, machine.watch.ticket, []Entry{live("a", 3)}, 4, nil)
		g.Expect(machine.StoreRefused()).To(gomega.BeTrue(), "the store's revision is lower")
	})
	t.Run("epoch lower", func(t *testing.T) {
		g := gomega.NewWithT(t)
		machine, now := runningMachine(settings.MakeVersion(1, 5), live("c", 5), epoch(1, 2))
		machine.list(now)
		actions := machine.HandleListed(now, machine.watch.ticket, []Entry{live("c", 9)}, 9, nil)
		g.Expect(versions(actions)).To(gomega.BeEmpty())
		g.Expect(notices(actions)).To(gomega.Equal([]Notice{NoticeStoreBehind}))
	})
	t.Run("newer version applied meanwhile", func(t *testing.T) {
		g := gomega.NewWithT(t)
		machine, now := runningMachine(5, base...)
		machine.list(now)
		machine.HandleDelta(now, peerAddress, deltaFor(5, 6, false, base, live("d", 6)))
		actions := machine.HandleListed(now, machine.watch.ticket, base, 5, nil)
		g.Expect(notices(actions)).To(gomega.BeEmpty())
		g.Expect(actions).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(ProbeStore{})))
	})
}

// Guards against watching a store whose newest change differs.
func TestHandleProbedOpensWatchOnlyOnMatchingStore(t *testing.T) {
	base := []Entry{live("a", 3), live("c", 5)}
	changed := live("c", 5)
	changed.Spec = []byte("other")
	for name, test := range map[string]struct {
		probe   Probe
		refused bool // before the probe
		want    watchPhase
	}{
		"the same":                    {Probe{Found: true, Newest: live("c", 5)}, false, phaseWatching},
		"the same, refused before":    {Probe{Found: true, Newest: live("c", 5)}, true, phaseListing},
		"newer":                       {Probe{Found: true, Newest: live("c", 8)}, false, phaseListing},
		"older":                       {Probe{Found: true, Newest: live("c", 4)}, false, phaseWaiting},
		"content differs":             {Probe{Found: true, Newest: changed}, false, phaseWaiting},
		"lost":                        {Probe{}, false, phaseWaiting},
		"epoch raised, newest is old": {Probe{Found: true, Newest: live("c", 1), Epoch: 1}, false, phaseListing},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			machine, now := runningMachine(5, base...)
			g.Expect(machine.watch.phase).To(gomega.Equal(phaseProbing))
			machine.watch.refused = test.refused
			machine.HandleProbed(now, machine.watch.ticket, test.probe, nil)
			g.Expect(machine.watch.phase).To(gomega.Equal(test.want))
		})
	}
}

// Guards against applying events of old revisions or of a closed watch.
func TestHandleWatchEventIgnoresOldRevisions(t *testing.T) {
	g := gomega.NewWithT(t)
	machine, now := verifiedMachine([]Entry{live("a", 3), live("c", 5)})
	ticket := machine.watch.ticket
	for _, step := range []struct {
		entry    Entry
		bookmark bool
		want     []string
	}{
		{live("a", 3), false, nil},
		{live("c", 5), false, nil},
		{Entry{Revision: 9}, true, nil},
		{live("a", 6), false, []string{"0.6"}},
		{Entry{Name: "c", Revision: 7, Deleted: true}, false, []string{"0.7"}},
	} {
		actions := machine.HandleWatchEvent(now, ticket, step.bookmark, step.entry)
		g.Expect(versions(actions)).To(gomega.Equal(step.want))
	}
	tombstone, present := machine.state.get("c")
	g.Expect(present && tombstone.Deleted).To(gomega.BeTrue(), "a deletion made directly in the store leaves a tombstone")
	g.Expect(machine.HandleWatchEvent(now, ticket-1, false, live("a", 9))).To(gomega.BeEmpty())
	epoch := Entry{Name: tree.EpochObject, Revision: 2, Spec: []byte(`{"epoch":1}`)}
	g.Expect(machine.HandleWatchEvent(now, ticket, false, epoch)).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(ListStore{})))
}

// Guards against counting children that no longer report.
func TestChildReportsExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	machine, now := runningMachine(5, live("a", 5))
	peer := membership.Member{Name: "peer", Address: peerAddress, Zone: "z", Region: "r"}
	for machine.plan.position != 0 || len(machine.plan.children) == 0 {
		peer.Name += "x"
		machine.SetView(now, &membership.View{Members: []membership.Member{peer}})
	}
	machine.HandleReport(now, peerAddress, &Report{Minimum: 4, Maximum: 5, Nodes: 1})
	zone := machine.Zones(now)[0]
	g.Expect([]any{zone.Reported, zone.Members, zone.Minimum}).To(gomega.Equal([]any{2, 2, settings.Version(4)}))
	zone = machine.Zones(now.Add(reportLifetime + time.Second))[0]
	g.Expect([]any{zone.Reported, zone.Minimum}).To(gomega.Equal([]any{1, settings.Version(5)}))
	g.Expect(zone.InForceAt(5)).To(gomega.BeFalse(), "one node has not reported")
}

// Guards against following a watch that skips or alters changes in force.
func TestWatchOfDifferentHistoryIsRelisted(t *testing.T) {
	base := []Entry{live("a", 3), live("c", 5)}
	fromPeers := deltaFor(5, 7, false, base, live("d", 6), live("e", 7))
	nextEpoch := settings.MakeVersion(1, 2)
	for name, test := range map[string]struct {
		peers  *Delta
		events []Entry
		want   watchPhase
	}{
		"delivers changes from peers":    {fromPeers, []Entry{live("d", 6), live("e", 7), live("f", 8)}, phaseWatching},
		"delivers replaced changes":      {fromPeers, []Entry{live("e", 6), live("d", 6), live("e", 7)}, phaseWatching},
		"skips a change from peers":      {fromPeers, []Entry{live("d", 6), live("f", 8)}, phaseListing},
		"delivers a different change":    {fromPeers, []Entry{live("a", 6)}, phaseListing},
		"bookmark skips changes":         {fromPeers, []Entry{{Revision: 7}}, phaseListing},
		"delivers an unknown old change": {nil, []Entry{live("a", 4)}, phaseListing},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			machine, now := verifiedMachine(base)
			if test.peers != nil {
				g.Expect(versions(machine.HandleDelta(now, peerAddress, test.peers))).To(gomega.Equal([]string{"0.7"}))
			}
			ticket := machine.watch.ticket
			var published []string
			for _, event := range test.events {
				published = append(published, versions(machine.HandleWatchEvent(now, ticket, event.Name == "", event))...)
			}
			g.Expect(machine.watch.phase).To(gomega.Equal(test.want))
			if test.want == phaseListing {
				g.Expect(published).To(gomega.BeEmpty())
			}
		})
	}
	t.Run("epoch raised by peers", func(t *testing.T) {
		g := gomega.NewWithT(t)
		machine, now := verifiedMachine(base)
		machine.HandleDelta(now, peerAddress, deltaFor(5, nextEpoch, true, base, live("c", 2)))
		actions := machine.HandleWatchEvent(now, machine.watch.ticket, false, live("a", 6))
		g.Expect(versions(actions)).To(gomega.BeEmpty(), "the store may still be at the previous epoch")
		g.Expect(machine.watch.verified).To(gomega.BeFalse())
	})
}

// verifiedMachine returns a Machine with a verified watch.
func verifiedMachine(entries []Entry) (*Machine, time.Time) {
	machine, now := runningMachine(5, entries...)
	probe := Probe{Found: true, Newest: machine.state.newest}
	machine.HandleProbed(now, machine.watch.ticket, probe, nil)
	machine.HandleWatchEvent(now, machine.watch.ticket, true, Entry{Revision: 5})
	machine.HandleProbed(now, machine.watch.ticket, probe, nil)
	return machine, now
}

// Guards against a store restored between the probe and the watch.
func TestWatchEventsAreHeldUntilStoreVerified(t *testing.T) {
	for name, test := range map[string]struct {
		event  Entry
		probe  Probe
		listed []Entry
		want   []string
	}{
		"probe matches":            {live("a", 6), Probe{Found: true, Newest: live("c", 5)}, nil, []string{"0.6"}},
		"store restored meanwhile": {live("a", 6), Probe{Found: true, Newest: live("c", 4)}, []Entry{live("a", 6), live("c", 4)}, nil},
		"newest changes":           {live("c", 6), Probe{}, []Entry{live("a", 3), live("c", 6)}, []string{"0.6"}},
		"newest changes on a fork": {live("c", 6), Probe{}, []Entry{live("a", 4), live("c", 6)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			machine, now := runningMachine(5, live("a", 3), live("c", 5))
			machine.HandleProbed(now, machine.watch.ticket, Probe{Found: true, Newest: live("c", 5)}, nil)
			ticket := machine.watch.ticket
			actions := machine.HandleWatchEvent(now, ticket, false, test.event)
			g.Expect(versions(actions)).To(gomega.BeEmpty())
			if test.event.Name != "c" {
				actions = machine.HandleProbed(now, ticket, test.probe, nil)
			}
			if test.listed != nil {
				actions = machine.HandleListed(now, ticket, test.listed, 6, nil)
			}
			g.Expect(versions(actions)).To(gomega.Equal(test.want))
			g.Expect(machine.Watching()).To(gomega.Equal(test.want != nil))
		})
	}
}

// pullUntilDone runs pulls from peer until requester sends no more.
func pullUntilDone(requester, peer *Machine, now time.Time, beforeAnswer func(round int)) ([]Action, int) {
	var all []Action
	pending := requester.HandleDigest(now, peerAddress, &Digest{Version: peer.state.version, Known: true, Digest: peer.state.digest()})
	for round := 0; ; round++ {
		var call *CallPull
		for _, action := range pending {
			if pull, ok := action.(CallPull); ok {
				call = &pull
			}
		}
		all = append(all, pending...)
		if call == nil {
			return all, round
		}
		beforeAnswer(round)
		answer := peer.HandlePull(now, &call.Pull)
		pending = requester.HandlePullAnswer(now, peerAddress, answer)
	}
}

func manyEntries(count int, revision uint64) []Entry {
	var entries []Entry
	for i := range count {
		entries = append(entries, Entry{Name: fmt.Sprintf("name-%05d", i), Revision: revision, Spec: make([]byte, 300)})
	}
	return entries
}

// Guards against a bucket pull that never completes while the peer changes.
func TestPullCopiesLargeChangingState(t *testing.T) {
	g := gomega.NewWithT(t)
	peer, now := runningMachine(7, manyEntries(8000, 7)...)
	requester, _ := runningMachine(5, live("old", 5))
	peer.state.put(live("old", 5))
	actions, rounds := pullUntilDone(requester, peer, now, func(round int) {
		if round < 4 {
			version := settings.Version(8 + round)
			peer.HandleDelta(now, "x", deltaFor(version-1, version, false, peer.state.all(), live("name-00001", uint64(version))))
		}
	})
	g.Expect(rounds).To(gomega.BeNumerically(">", 4))
	g.Expect(versions(actions)).To(gomega.Equal([]string{"0.11"}))
	g.Expect(requester.state.digest()).To(gomega.Equal(peer.state.digest()))
}

// Guards against adopting a forked history from a peer.
func TestPullRefusesForkedPeer(t *testing.T) {
	base := []Entry{live("a", 3), live("b", 5)}
	for name, test := range map[string]struct {
		version settings.Version
		theirs  []Entry
		want    []string
	}{
		"entry lost":                    {9, []Entry{live("a", 9)}, nil},
		"entry older":                   {9, []Entry{live("a", 9), live("b", 4)}, nil},
		"deleted":                       {9, []Entry{live("a", 9), deleted("b", 8)}, []string{"0.9"}},
		"epoch raised":                  {settings.MakeVersion(1, 2), []Entry{live("a", 1)}, []string{"1.2"}},
		"older":                         {4, []Entry{live("a", 3)}, nil},
		"same version, content differs": {5, []Entry{live("a", 4), live("b", 5)}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			peer, now := runningMachine(test.version, test.theirs...)
			requester, _ := runningMachine(5, base...)
			actions, _ := pullUntilDone(requester, peer, now, func(int) {})
			g.Expect(versions(actions)).To(gomega.Equal(test.want))
			if test.want == nil && test.version >= 5 {
				g.Expect(notices(actions)).To(gomega.ContainElement(NoticeDivergence))
			}
		})
	}
}

// Guards against a regression by a late pull answer.
func TestPullDropsOutdatedAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	base := []Entry{live("a", 5)}
	peer, now := runningMachine(6, live("a", 6))
	requester, _ := runningMachine(5, base...)
	actions, _ := pullUntilDone(requester, peer, now, func(round int) {
		if round == 1 {
			requester.HandleDelta(now, "x", deltaFor(5, 7, false, base, live("a", 7)))
		}
	})
	g.Expect(versions(actions)).To(gomega.BeEmpty())
	g.Expect(requester.state.version).To(gomega.Equal(settings.Version(7)))
}
