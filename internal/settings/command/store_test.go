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

var errLost = errors.New("connection cut")

// memoryStore is a store whose next writes fail as told.
type memoryStore struct {
	objects  map[string]platform.Object
	revision uint64
	// beforePut, if set, runs once before the next write takes effect.
	beforePut func()
	// loseAnswers and loseRequests count writes that fail after or before
	// they took effect.
	loseAnswers, loseRequests int
	// loseReads counts reads that fail behind a write that failed.
	loseReads   int
	writeFailed bool
	puts        int
	// history lists the ids of the changes of each object, in order.
	history map[string][]string
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: make(map[string]platform.Object)} }

func (s *memoryStore) Get(_ context.Context, _, name string) (platform.Object, error) {
	if s.writeFailed && s.loseReads > 0 {
		s.loseReads--
		return platform.Object{}, errLost
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
	if race := s.beforePut; race != nil {
		s.beforePut = nil
		race()
	}
	s.writeFailed = s.loseRequests > 0 || s.loseAnswers > 0
	if s.loseRequests > 0 {
		s.loseRequests--
		return platform.Object{}, errLost
	}
	if s.objects[object.Name].Revision != object.Revision {
		return platform.Object{}, platform.ErrConflict
	}
	s.puts++
	s.note(object)
	s.revision++
	object.Revision = s.revision
	s.objects[object.Name] = object
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return platform.Object{}, errLost
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

func (s *memoryStore) note(object platform.Object) {
	if s.history == nil {
		s.history = make(map[string][]string)
	}
	if node, err := tree.Decode("", object.Spec); err == nil && node.Change != nil {
		s.history[object.Name] = append(s.history[object.Name], node.Change.ID)
	}
}

// followed is what a node in step with the store has in force.
type followed struct {
	*tree.Live
	objects, traces []platform.Object
	standing        Standing
}

func (f *followed) Version() (settings.Version, bool) {
	return settings.Version(f.Current().Revision), true
}
func (f *followed) Traces(context.Context) ([]platform.Object, error)  { return f.traces, nil }
func (f *followed) Objects(context.Context) ([]platform.Object, error) { return f.objects, nil }
func (f *followed) Standing(context.Context) (Standing, error) {
	return f.standing, nil
}

// follow takes the store's state in force.
func follow(store *memoryStore) *followed {
	var updates []tree.Update
	var objects, traces []platform.Object
	for name, object := range store.objects {
		update := tree.UpdateOf(tree.PathOf(name), object.Revision, object.Spec)
		updates = append(updates, update)
		if update.Node != nil {
			objects = append(objects, object)
		} else {
			traces = append(traces, object)
		}
	}
	var standing Standing
	for _, object := range store.objects {
		if object.Revision >= standing.Newest.Revision {
			standing.Newest = object
		}
	}
	live := tree.NewLive()
	live.Replace(settings.MakeVersion(0, store.revision), updates)
	return &followed{Live: live, objects: objects, traces: traces, standing: standing}
}

type platformObject = platform.Object

func errorsAs(err error, target any) bool { return errors.As(err, target) }

// overwritingStore runs afterLoss once behind a write whose answer was lost.
type overwritingStore struct {
	*memoryStore
	afterLoss func()
}

func (s *overwritingStore) Put(ctx context.Context, object platform.Object) (platform.Object, error) {
	written, err := s.memoryStore.Put(ctx, object)
	if race := s.afterLoss; race != nil && errors.Is(err, errLost) {
		s.afterLoss = nil
		race()
	}
	return written, err
}
