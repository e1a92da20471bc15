package poison

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chutelock.dev/chutelock/internal/catalog"
)

// silentStore is a Store that leaves calls unanswered while it is silent.
type silentStore struct {
	fakeStore
	mutex  sync.Mutex
	silent bool
	calls  int
}

func (s *silentStore) Save(ctx context.Context, record Record) error {
	s.mutex.Lock()
	s.calls++
	silent := s.silent
	s.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.fakeStore.Save(ctx, record)
}

func (s *silentStore) setSilent(silent bool) (calls int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
	calls, s.calls = s.calls, 0
	return calls
}

// dataNodes returns data nodes that share a silent store. The first one gets the report of a
// request that crashed engines and spreads it to the others.
func dataNodes(t *testing.T, count int) (*silentStore, []*Guard) {
	store := &silentStore{fakeStore: fakeStore{table: NewTable()}, silent: true}
	guards := make([]*Guard, count)
	store.onChange = func(records []Record) {
		for _, guard := range guards {
			guard.LoadRecords(records)
		}
	}
	for i := range guards {
		options := Options{
			Store: store, Now: time.Now, EngineCrashed: func(context.Context, catalog.Engine) bool { return true },
			Spread: func([]Record, bool) {},
		}
		if i == 0 {
			options.Spread = func(records []Record, _ bool) {
				for _, other := range guards[1:] {
					_ = other.Receive("first", Marshal(records), false)
				}
			}
		}
		guards[i] = NewGuard(options)
		guards[i].Start()
		t.Cleanup(guards[i].Close)
	}
	record := Record{Fingerprint: print(1), Last: time.Now().Truncate(time.Millisecond)}
	for _, engine := range []string{"a", "b", "c"} {
		record.Crashes = append(record.Crashes, Crash{Engine: engine})
	}
	if err := guards[0].Receive("front", Marshal([]Record{record}), true); err != nil {
		t.Fatal(err)
	}
	return store, guards
}

// noticeDelay is the time until data nodes notice that the store answers again.
const noticeDelay = 100 * time.Millisecond

// Guards against records that known nodes save only seconds after the store answers again, so
// that they are lost if all nodes are killed before. One node writes, not all.
func TestGuardSavesRecordsWhenStoreIsBack(t *testing.T) {
	for silence := 500 * time.Millisecond; silence < 8*time.Second; silence += 300 * time.Millisecond {
		t.Run(fmt.Sprint(silence), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, guards := dataNodes(t, 5)
				time.Sleep(silence)
				store.setSilent(false)
				time.Sleep(noticeDelay)
				for _, guard := range guards {
					guard.StoreAnswered(silence)
				}
				time.Sleep(noticeDelay)
				if !store.has(print(1)) {
					t.Errorf("the record is not stored %v after the store is back", 2*noticeDelay)
				}
				time.Sleep(reconcileInterval)
				if calls := store.setSilent(false); calls > len(guards) {
					t.Errorf("%d calls to store the record", calls)
				}
			})
		})
	}
}

// Guards against the same if the node that got the report is killed before the store is back.
func TestGuardSavesRecordsOfKilledNodeWhenStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, guards := dataNodes(t, 3)
		time.Sleep(3700 * time.Millisecond)
		guards[0].Close()
		store.setSilent(false)
		time.Sleep(noticeDelay)
		for _, guard := range guards[1:] {
			guard.StoreAnswered(3700 * time.Millisecond)
		}
		time.Sleep(takeoverDelay + noticeDelay)
		if !store.has(print(1)) {
			t.Error("the record is not stored")
		}
	})
}

// Guards against records that are saved late as an answer to a call from before the outage
// seemed to be its end.
func TestGuardSavesRecordsAfterLateAnswerDuringOutage(t *testing.T) {
	for early := 20 * time.Millisecond; early < time.Second; early += 70 * time.Millisecond {
		t.Run(early.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, guards := dataNodes(t, 3)
				time.Sleep(3600 * time.Millisecond)
				for _, guard := range guards {
					guard.StoreAnswered(3500 * time.Millisecond)
				}
				time.Sleep(early)
				store.setSilent(false)
				for range 4 {
					time.Sleep(noticeDelay)
					for _, guard := range guards {
						guard.StoreAnswered(noticeDelay)
					}
				}
				if !store.has(print(1)) {
					t.Errorf("the record is not stored %v after the store is back", 4*noticeDelay)
				}
			})
		})
	}
}

// Guards against calls without a pause where the store answers other nodes only.
func TestGuardPausesWhereStoreAnswersOthersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, guards := dataNodes(t, 1)
		time.Sleep(3700 * time.Millisecond)
		store.setSilent(true)
		const seconds = 20
		for range seconds * int(time.Second/noticeDelay) {
			guards[0].StoreAnswered(noticeDelay)
			time.Sleep(noticeDelay)
		}
		if calls := store.setSilent(true); calls > seconds+2*maxEarlyRetries {
			t.Errorf("%d calls within %d s", calls, seconds)
		}
	})
}

// Guards against several calls at the end of an outage where the store answers others only.
func TestGuardCallsOnceWhenStoreIsBackForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, guards := dataNodes(t, 1)
		time.Sleep(3700 * time.Millisecond)
		store.setSilent(true)
		for range 3 {
			guards[0].StoreAnswered(3700 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		if calls := store.setSilent(true); calls > 4 {
			t.Errorf("%d calls within 2 s", calls)
		}
	})
}

// Guards against ignoring the end of an outage after other answers used up the early retries.
func TestEndOfOutageAllowsEarlyRetry(t *testing.T) {
	now := time.Now()
	p := newRetryPacer()
	for early := true; early; {
		p.start(now)
		p.fail()
		_, early = p.storeAnswered(noticeDelay, false, now)
	}
	if _, early := p.storeAnswered(callTimeout, false, now); !early {
		t.Error("the store is not called early at the end of its outage")
	}
}

// Guards against ending calls that the store only answers slowly.
func TestSlowCallsAreNotEndedWhileStoreAnswers(t *testing.T) {
	now := time.Now()
	p := newRetryPacer()
	p.start(now)
	if _, early := p.storeAnswered(noticeDelay, true, now.Add(700*time.Millisecond)); early {
		t.Error("a call that did not fail is made again")
	}
}
