package command

import (
	"context"
	"errors"
	"maps"
	"slices"

	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/settings/tree"
)

var errConnectionLost = errors.New("connection cut")

// memoryStore is an in-memory Store with injected failures.
type memoryStore struct {
	objects  map[string]platform.Object
	revision uint64
	// beforePut, if set, runs once before the next write takes effect.
	beforePut func()
	// loseResponses and loseRequests are the numbers of next writes that fail
	// after and before they take effect.
	loseResponses, loseRequests int
	// loseReads is the number of reads that fail after a failed write.
	loseReads   int
	writeFailed bool
	puts        int
	// history holds the IDs of the changes to each object, in order.
	history map[string][]string
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: make(map[string]platform.Object)} }

func (s *memoryStore) Get(_ context.Context, _, name string) (platform.Object, error) {
	if s.writeFailed && s.loseReads > 0 {
		s.loseReads--
		return platform.Object{}, errConnectionLost
	}
	object, ok := s.objects[name]
	if !ok {
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (s *memoryStore) List(context.Context, string) ([]platform.Object, uint64, error) {
	return slices.Collect(maps.Values(s.objects)), s.revision, nil
}

func (s *memoryStore) Put(_ context.Context, object platform.Object) (platform.Object, error) {
	if concurrentWrite := s.beforePut; concurrentWrite != nil {
		s.beforePut = nil
		concurrentWrite()
	}
	s.writeFailed = s.loseRequests > 0 || s.loseResponses > 0
	if s.loseRequests > 0 {
		s.loseRequests--
		return platform.Object{}, errConnectionLost
	}
	if s.objects[object.Name].Revision != object.Revision {
		return platform.Object{}, platform.ErrConflict
	}
	s.puts++
	s.recordChange(object)
	s.revision++
	object.Revision = s.revision
	s.objects[object.Name] = object
	if s.loseResponses > 0 {
		s.loseResponses--
		return platform.Object{}, errConnectionLost
	}
	return object, nil
}

func (s *memoryStore) Delete(_ context.Context, _, name string, revision uint64) error {
	if s.objects[name].Revision != revision {
		return platform.ErrConflict
	}
	delete(s.objects, name)
	s.revision++
	return nil
}

func (s *memoryStore) recordChange(object platform.Object) {
	if s.history == nil {
		s.history = make(map[string][]string)
	}
	if node, err := tree.Decode("", object.Spec); err == nil && node.Change != nil {
		s.history[object.Name] = append(s.history[object.Name], node.Change.ID)
	}
}

// syncedState is the state of a machine in sync with the store.
type syncedState struct {
	*tree.Live
	objects, tombstones []platform.Object
	status              SyncStatus
}

func (f *syncedState) Version() (settings.Version, bool) {
	return settings.Version(f.Current().Revision), true
}
func (f *syncedState) Tombstones(context.Context) ([]platform.Object, error) {
	return f.tombstones, nil
}
func (f *syncedState) Objects(context.Context) ([]platform.Object, error) { return f.objects, nil }
func (f *syncedState) SyncStatus(context.Context) (SyncStatus, error) {
	return f.status, nil
}

// newSyncedState returns a state that has applied the store's contents.
func newSyncedState(store *memoryStore) *syncedState {
	var updates []tree.Update
	var objects, tombstones []platform.Object
	for name, object := range store.objects {
		update := tree.UpdateOf(tree.PathOf(name), object.Revision, object.Spec)
		updates = append(updates, update)
		if update.Node != nil {
			objects = append(objects, object)
		} else {
			tombstones = append(tombstones, object)
		}
	}
	var status SyncStatus
	for _, object := range store.objects {
		if object.Revision >= status.Newest.Revision {
			status.Newest = object
		}
	}
	live := tree.NewLive()
	live.Replace(settings.MakeVersion(0, store.revision), updates)
	return &syncedState{Live: live, objects: objects, tombstones: tombstones, status: status}
}

type platformObject = platform.Object

func errorsAs(err error, target any) bool { return errors.As(err, target) }

// overwritingStore runs afterLoss once after a write whose response was lost.
type overwritingStore struct {
	*memoryStore
	afterLoss func()
}

func (s *overwritingStore) Put(ctx context.Context, object platform.Object) (platform.Object, error) {
	written, err := s.memoryStore.Put(ctx, object)
	if laterWrite := s.afterLoss; laterWrite != nil && errors.Is(err, errConnectionLost) {
		s.afterLoss = nil
		laterWrite()
	}
	return written, err
}
