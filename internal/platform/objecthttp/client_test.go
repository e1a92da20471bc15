package objecthttp_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
	"chutelock.dev/chutelock/internal/standin/fault"
	standin "chutelock.dev/chutelock/internal/standin/platform"
	"chutelock.dev/chutelock/internal/standin/standintest"
)

const testTimeout = 10 * time.Second

func spec(value int) json.RawMessage { return json.RawMessage(fmt.Sprint(value)) }

func setting(name string, revision uint64, value int) platform.Object {
	return platform.Object{Kind: platform.KindSetting, Name: name, Revision: revision, Spec: spec(value)}
}

// Guards against lost updates and wrongly escaped object names.
func TestPutAndDeleteCheckRevision(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := t.Context()
	client := objecthttp.New(standintest.Platform(t, nil).Address, objecthttp.Options{})
	const name = "fleet/region one/a%b"
	_, err := client.Get(ctx, platform.KindSetting, name)
	g.Expect(err).To(gomega.MatchError(platform.ErrNotFound))
	first, err := client.Put(ctx, setting(name, 0, 1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = client.Put(ctx, setting(name, 0, 2))
	g.Expect(err).To(gomega.MatchError(platform.ErrConflict))
	second, err := client.Put(ctx, setting(name, first.Revision, 2))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second.Revision).To(gomega.BeNumerically(">", first.Revision))
	got, err := client.Get(ctx, platform.KindSetting, name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(second))
	listed, revision, err := client.List(ctx, platform.KindSetting)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(listed).To(gomega.Equal([]platform.Object{second}))
	g.Expect(revision).To(gomega.Equal(second.Revision))
	g.Expect(client.Delete(ctx, platform.KindSetting, name, first.Revision)).To(gomega.MatchError(platform.ErrConflict))
	g.Expect(client.Delete(ctx, platform.KindSetting, name, second.Revision)).To(gomega.Succeed())
	g.Expect(client.Delete(ctx, platform.KindSetting, name, 0)).To(gomega.MatchError(platform.ErrNotFound))
}

// Guards against lost compare-and-swap updates and against watch events that are missing,
// repeated or out of order.
func TestWatchDeliversConcurrentWritesInOrder(t *testing.T) {
	const writers, increments = 4, 25
	g := gomega.NewWithT(t)
	client := objecthttp.New(standintest.Platform(t, nil).Address, objecthttp.Options{})
	_, err := client.Put(t.Context(), setting("counter", 0, 0))
	g.Expect(err).NotTo(gomega.HaveOccurred())

	var writing sync.WaitGroup
	for range writers {
		writing.Go(func() {
			for range increments {
				increment(t, client)
			}
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	next := 0
	errDone := errors.New("done")
	err = client.Watch(ctx, platform.KindSetting, 0, func(event platform.Event) error {
		if event.Type == platform.EventBookmark {
			return nil
		}
		if string(event.Object.Spec) != fmt.Sprint(next) {
			return fmt.Errorf("watch delivered %s, want %d", event.Object.Spec, next)
		}
		next++
		if next > writers*increments {
			return errDone
		}
		return nil
	})
	g.Expect(err).To(gomega.MatchError(errDone))
	writing.Wait()
}

func increment(t *testing.T, client *objecthttp.Client) {
	for {
		read, err := client.Get(t.Context(), platform.KindSetting, "counter")
		if err != nil {
			t.Errorf("get: %v", err)
			return
		}
		var value int
		_ = json.Unmarshal(read.Spec, &value)
		_, err = client.Put(t.Context(), setting("counter", read.Revision, value+1))
		if err == nil {
			return
		}
		if !errors.Is(err, platform.ErrConflict) {
			t.Errorf("put: %v", err)
			return
		}
	}
}

// firstEvent watches until an event matches and returns it.
func firstEvent(ctx context.Context, client *objecthttp.Client, after uint64, matches func(platform.Event) bool) (platform.Event, error) {
	var found platform.Event
	errFound := errors.New("found")
	err := client.Watch(ctx, platform.KindSetting, after, func(event platform.Event) error {
		if !matches(event) {
			return nil
		}
		found = event
		return errFound
	})
	if errors.Is(err, errFound) {
		err = nil
	}
	return found, err
}

func isBookmark(event platform.Event) bool { return event.Type == platform.EventBookmark }

// Guards against missed revisions of other kinds and undetected compaction.
func TestWatchReportsBookmarksAndCompaction(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	server := standintest.Platform(t, nil)
	client := objecthttp.New(server.Address, objecthttp.Options{})
	_, err := client.Put(ctx, setting("a", 0, 1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// A write of another kind raises the revision, which only a bookmark reports.
	other, err := client.Put(ctx, platform.Object{Kind: platform.KindShard, Name: "s", Spec: spec(1)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	bookmark, err := firstEvent(ctx, client, 0, isBookmark)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(bookmark.Object.Revision).To(gomega.Equal(other.Revision))

	server.Post("/control/compact", nil)
	_, err = firstEvent(ctx, client, other.Revision-1, isBookmark)
	g.Expect(err).To(gomega.MatchError(platform.ErrCompacted))
	_, err = firstEvent(ctx, client, other.Revision, isBookmark)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against exceeded watch and request limits reported as other errors.
func TestExceededLimitsReturnErrBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	server := standintest.Platform(t, func(config *standin.Config) {
		config.WatchLimit = 1
		config.RequestRate = 0.001
		config.RequestBurst = 3
	})
	client := objecthttp.New(server.Address, objecthttp.Options{})
	_, err := firstEvent(ctx, client, 0, func(platform.Event) bool {
		_, refused := firstEvent(ctx, client, 0, isBookmark)
		g.Expect(refused).To(gomega.MatchError(platform.ErrBudget), "a second watch")
		return true
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _, err = client.List(ctx, platform.KindSetting)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, _, err = client.List(ctx, platform.KindSetting)
	g.Expect(err).To(gomega.MatchError(platform.ErrBudget), "a fourth request")
}

// Guards against a lease held twice and epochs that don't increase.
func TestLeaseIsExclusiveUntilReleaseOrExpiry(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := t.Context()
	server := standintest.Platform(t, nil)
	client := objecthttp.New(server.Address, objecthttp.Options{})
	const long, short = time.Hour, 50 * time.Millisecond
	first, err := client.Acquire(ctx, "zone/a", "x", long)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	held, err := client.Acquire(ctx, "zone/a", "y", long)
	g.Expect(err).To(gomega.MatchError(platform.ErrConflict))
	g.Expect(held.Holder).To(gomega.Equal("x"))
	g.Expect(held.TTL).To(gomega.Equal(long))
	g.Expect(client.Release(ctx, "zone/a", "y", first.Epoch)).To(gomega.MatchError(platform.ErrConflict))
	g.Expect(client.Release(ctx, "zone/a", "x", first.Epoch)).To(gomega.Succeed())
	second, err := client.Acquire(ctx, "zone/a", "y", short)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second.Epoch).To(gomega.BeNumerically(">", first.Epoch))
	g.Eventually(func() error {
		_, err := client.Acquire(ctx, "zone/a", "x", long)
		return err
	}, testTimeout).Should(gomega.Succeed(), "the lease expires")
}

// Guards against a machine list that keeps machines that left or stopped registering.
func TestMachineListFollowsRegistration(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := t.Context()
	server := standintest.Platform(t, func(config *standin.Config) {
		config.Machines = []standin.MachineSetting{{Name: "node", Zone: "z", Role: "node", Address: "127.0.0.1:1"}}
		config.MachineTTL = 50 * time.Millisecond
	})
	client := objecthttp.New(server.Address, objecthttp.Options{})
	names := func() string {
		listed, err := client.Machines(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var names []string
		for _, machine := range listed {
			names = append(names, machine.Name)
		}
		return strings.Join(names, " ")
	}
	g.Expect(client.Register(ctx, platform.Machine{Name: "engine", Role: "engine"})).To(gomega.Succeed())
	g.Expect(client.Register(ctx, platform.Machine{Name: "gone"})).To(gomega.Succeed())
	g.Expect(client.Deregister(ctx, "gone")).To(gomega.Succeed())
	g.Expect(names()).NotTo(gomega.ContainSubstring("gone"))
	g.Eventually(names, testTimeout).Should(gomega.Equal("node"), "machines that don't renew their registration are removed")
	server.Post("/control/machines", platform.Machine{Name: "node", Leaving: true})
	listed, err := client.Machines(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(listed[0].Leaving).To(gomega.BeTrue())
}

// Guards against failed calls reported as successful and watches that hang.
func TestClientReportsPlatformFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	server := standintest.Platform(t, nil)
	client := objecthttp.New(server.Address, objecthttp.Options{})

	server.Inject(fault.Fault{Kind: fault.LostAnswer, Method: "PUT", Count: 1})
	_, err := client.Put(ctx, setting("a", 0, 1))
	g.Expect(err).To(gomega.HaveOccurred(), "the answer was lost")
	written, err := client.Get(ctx, platform.KindSetting, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the write took effect")

	server.Inject(fault.Fault{Kind: fault.Failing, Status: 503, Count: 1})
	_, err = client.Put(ctx, setting("b", 0, 1))
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = client.Get(ctx, platform.KindSetting, "b")
	g.Expect(err).To(gomega.MatchError(platform.ErrNotFound), "the failed write had no effect")

	impatient := objecthttp.New(server.Address, objecthttp.Options{Timeout: 50 * time.Millisecond, MaxSilence: 50 * time.Millisecond})
	server.Inject(fault.Fault{Kind: fault.Slow, Latency: fault.Duration(time.Hour), Count: 1})
	_, err = impatient.Get(ctx, platform.KindSetting, "a")
	g.Expect(err).To(gomega.HaveOccurred())

	server.Inject(fault.Fault{Kind: fault.StaleWatch, Duration: fault.Duration(time.Hour)})
	_, err = firstEvent(ctx, impatient, 0, func(platform.Event) bool { return true })
	g.Expect(err).To(gomega.MatchError(objecthttp.ErrWatchSilent))
	_, err = impatient.Get(ctx, platform.KindSetting, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "calls other than watches work")
	server.Delete("/control/faults")
	_, err = firstEvent(ctx, client, 0, func(event platform.Event) bool { return event.Object.Revision == written.Revision })
	g.Expect(err).NotTo(gomega.HaveOccurred())

	server.Inject(fault.Fault{Kind: fault.Pause, Duration: fault.Duration(time.Hour)})
	_, err = impatient.Get(ctx, platform.KindSetting, "a")
	g.Expect(err).To(gomega.HaveOccurred())
	server.Delete("/control/faults")

	server.Inject(fault.Fault{Kind: fault.Down, Duration: fault.Duration(50 * time.Millisecond)})
	g.Eventually(func() error {
		_, err := impatient.Get(ctx, platform.KindSetting, "a")
		return err
	}, testTimeout).Should(gomega.Succeed(), "the platform restarts at the same address")
}
