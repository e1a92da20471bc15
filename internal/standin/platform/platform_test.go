package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/platform/objecthttp"
	"chutelock.dev/chutelock/internal/standin/fault"
	standin "chutelock.dev/chutelock/internal/standin/platform"
	"chutelock.dev/chutelock/internal/standin/standintest"
	"chutelock.dev/chutelock/internal/standin/truth"
)

func put(t *testing.T, client *objecthttp.Client, name string, revision uint64, value int) platform.Object {
	t.Helper()
	written, err := client.Put(t.Context(), platform.Object{
		Kind:     platform.KindSetting,
		Name:     name,
		Revision: revision,
		Spec:     json.RawMessage(fmt.Sprint(value)),
	})
	if err != nil {
		t.Fatalf("put %s: %v", name, err)
	}
	return written
}

// Guards against objects, leases or revisions lost in a restart.
func TestStateSurvivesRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	var written platform.Object
	var lease platform.Lease
	t.Run("before", func(t *testing.T) {
		running := standintest.Platform(t, func(config *standin.Config) { config.Folder = folder })
		client := objecthttp.New(running.Address, objecthttp.Options{})
		first := put(t, client, "a/b", 0, 1)
		put(t, client, "gone", 0, 1)
		written = put(t, client, "a/b", first.Revision, 2)
		g.Expect(client.Delete(t.Context(), platform.KindSetting, "gone", 0)).To(gomega.Succeed())
		var err error
		lease, err = client.Acquire(t.Context(), "l", "x", time.Hour)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
	t.Run("after", func(t *testing.T) {
		running := standintest.Platform(t, func(config *standin.Config) { config.Folder = folder })
		client := objecthttp.New(running.Address, objecthttp.Options{})
		listed, revision, err := client.List(t.Context(), platform.KindSetting)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(listed).To(gomega.Equal([]platform.Object{written}))
		g.Expect(revision).To(gomega.Equal(written.Revision+1), "the deletion increments the revision")
		held, err := client.Acquire(t.Context(), "l", "y", time.Hour)
		g.Expect(err).To(gomega.MatchError(platform.ErrConflict))
		g.Expect(held.Epoch).To(gomega.Equal(lease.Epoch))
		err = client.Watch(t.Context(), platform.KindSetting, written.Revision-1, nil)
		g.Expect(err).To(gomega.MatchError(platform.ErrCompacted), "the history is lost in a restart")
	})
}

// Guards against state or a revision that survives a restore or disk loss, and
// against watches that stay open through a restore.
func TestRestoreAndDiskLossReplaceStateAndEndWatches(t *testing.T) {
	for name, folder := range map[string]string{"in memory": "", "on disk": t.TempDir()} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			running := standintest.Platform(t, func(config *standin.Config) { config.Folder = folder })
			client := objecthttp.New(running.Address, objecthttp.Options{})
			old := put(t, client, "a", 0, 1)
			running.Post("/control/checkpoints/old", nil)
			newer := put(t, client, "a", old.Revision, 2)

			watching := make(chan error, 1)
			opened := make(chan struct{}, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			go func() {
				watching <- client.Watch(ctx, platform.KindSetting, newer.Revision, func(platform.Event) error {
					select {
					case opened <- struct{}{}:
					default:
					}
					return nil
				})
			}()
			<-opened
			running.Inject(fault.Fault{Kind: fault.Restore, Target: "old"})
			g.Expect(<-watching).To(gomega.MatchError(platform.ErrCompacted))
			restored, err := client.Get(ctx, platform.KindSetting, "a")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(restored).To(gomega.Equal(old))
			err = client.Watch(ctx, platform.KindSetting, newer.Revision, nil)
			g.Expect(err).To(gomega.MatchError(platform.ErrCompacted), "a revision ahead of the store")

			running.Inject(fault.Fault{Kind: fault.DiskLoss})
			listed, revision, err := client.List(ctx, platform.KindSetting)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(listed).To(gomega.BeEmpty())
			g.Expect(revision).To(gomega.BeZero())
		})
	}
}

// Guards against a watch, stalled during a restore, that continues in the new
// history once that has passed the watch's revision.
func TestRestoreEndsStalledWatch(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	running := standintest.Platform(t, nil)
	client := objecthttp.New(running.Address, objecthttp.Options{})
	running.Post("/control/checkpoints/old", nil)
	before := put(t, client, "before", 0, 1)
	running.Inject(fault.Fault{Kind: fault.StaleWatch, Duration: fault.Duration(time.Hour)})
	var seen []platform.Event
	watching := make(chan error, 1)
	go func() {
		watching <- client.Watch(ctx, platform.KindSetting, before.Revision, func(event platform.Event) error {
			if event.Type != platform.EventBookmark {
				seen = append(seen, event)
			}
			return nil
		})
	}()
	running.AwaitWatches(1)
	running.Inject(fault.Fault{Kind: fault.Restore, Target: "old"})
	put(t, client, "after", 0, 1)
	put(t, client, "after 2", 0, 1)
	running.Delete("/control/faults")
	g.Expect(<-watching).To(gomega.MatchError(platform.ErrCompacted))
	g.Expect(seen).To(gomega.BeEmpty())
}

// Guards against weight reads faster than WeightRate.
func TestWeightReadsLimitedToRate(t *testing.T) {
	g := gomega.NewWithT(t)
	const size, rate = 96 << 10, 64 << 10
	running := standintest.Platform(t, func(config *standin.Config) {
		config.WeightSizes = map[string]int64{"draft": size}
		config.WeightRate = rate
	})
	began := time.Now()
	response, err := http.Get("http://" + running.Address + "/weights/draft/1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	read, err := io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read).To(gomega.BeEquivalentTo(size))
	// The first chunk of 64 KiB is sent immediately, the other 32 KiB at the
	// rate: never earlier than this.
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 490*time.Millisecond))
}

// Guards against writes missing from the truth log when their response is lost.
func TestTruthLogRecordsWriteWithLostResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	running := standintest.Platform(t, nil)
	client := objecthttp.New(running.Address, objecthttp.Options{})
	running.Inject(fault.Fault{Kind: fault.LostAnswer, Method: "PUT"})
	_, err := client.Put(t.Context(), platform.Object{Kind: platform.KindSetting, Name: "a", Spec: json.RawMessage("1")})
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(errors.Is(err, platform.ErrConflict)).To(gomega.BeFalse())
	var writes []string
	for _, entry := range running.Truth() {
		if entry.Kind == truth.KindWrite {
			writes = append(writes, entry.Name)
		}
	}
	g.Expect(writes).To(gomega.Equal([]string{"settings/a"}))
}
