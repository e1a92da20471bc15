package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestConfirmSeesAllChangesBeforeTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(3, 1)
		defer fleet.close()
		time.Sleep(settleTime)
		front := fleet.agents["front-00"]
		for i, change := range []func(){
			func() { fleet.store.put("joined") },
			func() { fleet.store.remove("joined") },
			func() { fleet.store.put("back"); fleet.store.compact() },
		} {
			change()
			revision := fleet.store.model.revision
			if err := front.Confirm(t.Context(), kind); err != nil {
				t.Fatal(err)
			}
			if got := front.revision(kind); got < revision {
				t.Errorf("change %d: revision %d, want at least %d", i, got, revision)
			}
		}
	})
}

func TestConfirmFailsWithoutAnswerOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(3, 1)
		defer fleet.close()
		time.Sleep(settleTime)
		front := fleet.agents["front-00"]
		fleet.markNodes(fleet.store.unanswered, "front-00")
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		if err := front.Confirm(ctx, kind); err == nil {
			t.Errorf("confirmed without the store, at an age of %v", front.Age(kind))
		}
		if err := front.Confirm(t.Context(), "unknown"); err == nil {
			t.Error("a kind that is not mirrored was confirmed")
		}
	})
}

// Guards against a read of the store for each of many requests that come back at once.
func TestConcurrentConfirmsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(3, 1)
		defer fleet.close()
		time.Sleep(settleTime)
		front := fleet.agents["front-00"]
		before := fleet.store.callCount()
		var calls sync.WaitGroup
		for i := range 1000 {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond / 4)
				if err := front.Confirm(t.Context(), kind); err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		// Besides, the watchers read every 0.5 s.
		if made := fleet.store.callCount() - before; made > int(250*time.Millisecond/confirmInterval)+4 {
			t.Errorf("%d calls of the store within 0.25 s", made)
		}
	})
}

// slowReader delays all answers of a store.
type slowReader struct {
	Reader
	delay time.Duration
}

func (r slowReader) Changes(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	time.Sleep(r.delay)
	return r.Reader.Changes(ctx, kind, after, wait)
}

// Guards against proofs that fail where the store answers within 60 ms.
func TestConfirmsUnderLoadEndWithinProofTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(3, 1)
		defer fleet.close()
		time.Sleep(settleTime)
		front := fleet.agents["front-00"]
		front.options.Store = slowReader{front.options.Store, 60 * time.Millisecond}
		failed, done := 0, make(chan error, 1000)
		for i := range 100 {
			go func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond) // as for proofs
				defer cancel()
				done <- front.Confirm(ctx, kind)
			}()
		}
		for range 100 {
			if err := <-done; err != nil {
				failed++
			}
		}
		if failed > 0 {
			t.Errorf("%d of 100 failed, at an age of the list of %v", failed, front.Age(kind))
		}
	})
}

// Guards against reads of the store for a caller that is gone.
func TestConfirmReadsNothingForEndedContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(3, 1)
		defer fleet.close()
		time.Sleep(settleTime)
		front := fleet.agents["front-00"]
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		before := fleet.store.callCount()
		_ = front.Confirm(ctx, kind)
		time.Sleep(10 * time.Millisecond)
		if made := fleet.store.callCount() - before; made > 1 { // a watch may be renewed meanwhile
			t.Errorf("%d calls", made)
		}
	})
}
