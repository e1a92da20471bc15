package platform

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/platform/objects"
	"chutelock.dev/chutelock/internal/standin/truth"
)

// Server simulates the platform. Lock order: mutex, then the truth log's.
type Server struct {
	config         Config
	log            *truth.Log
	injector       *fault.Injector
	requestLimiter *rate.Limiter
	weightLimiter  *rate.Limiter
	served         atomic.Uint64
	refused        atomic.Uint64

	mutex    sync.Mutex
	disk     *disk
	store    *objects.Store
	leases   *objects.Leases
	machines *objects.Machines
	watches  int
	// changed is closed and replaced on each change to the store. generation
	// counts the stores, so that watches of an earlier one end.
	changed     chan struct{}
	generation  int
	checkpoints map[string]state // in-memory checkpoints, if no folder is set
}

// New returns a platform with the state stored in the config's folder.
func New(config Config, log *truth.Log) (*Server, error) {
	server := &Server{
		config:         config,
		log:            log,
		injector:       fault.NewInjector(config.Seed),
		requestLimiter: rate.NewLimiter(rate.Limit(config.RequestRate), config.RequestBurst),
		weightLimiter:  rate.NewLimiter(rate.Limit(config.WeightRate), weightChunk),
		machines:       objects.NewMachines(),
		changed:        make(chan struct{}),
		checkpoints:    map[string]state{},
	}
	opened, err := openDisk(config.Folder, config.Sync)
	if err != nil {
		return nil, err
	}
	server.disk = opened
	loaded, err := opened.load()
	if err != nil {
		return nil, err
	}
	server.setState(loaded)
	start := time.Now()
	for _, listed := range config.Machines {
		server.machines.Set(start.Add(-config.MachineLag), listed.machine(), 0)
	}
	server.registerFaults()
	for _, configured := range config.Faults {
		if err := server.injector.Add(start, configured); err != nil {
			return nil, trace.Wrap(err, "configured fault of the platform")
		}
	}
	log.Record(truth.Entry{Kind: truth.KindStarted, Revision: loaded.revision})
	return server, nil
}

// setState replaces the current state and ends all watches. The caller holds the
// mutex, except in New.
func (s *Server) setState(loaded state) {
	s.store = objects.NewStore(loaded.objects, loaded.revision, s.config.History)
	s.leases = objects.NewLeases(loaded.leases)
	s.generation++
	s.notifyWatches()
}

// notifyWatches wakes the watches. The caller holds the mutex, except in New.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Injector returns the injector of the platform's faults.
func (s *Server) Injector() *fault.Injector { return s.injector }

// Close closes the embedded store.
func (s *Server) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.disk.close()
}

// Handler returns the handler of the platform's API, with fault injection and
// the request rate limit.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsRoot+"/{kind}", s.listOrWatch)
	mux.HandleFunc("GET "+objectsRoot+"/{kind}/{name...}", s.get)
	mux.HandleFunc("PUT "+objectsRoot+"/{kind}/{name...}", s.put)
	mux.HandleFunc("DELETE "+objectsRoot+"/{kind}/{name...}", s.delete)
	mux.HandleFunc("GET /leases/{name...}", s.getLease)
	mux.HandleFunc("POST /leases/{name...}", s.acquireLease)
	mux.HandleFunc("DELETE /leases/{name...}", s.releaseLease)
	mux.HandleFunc("GET /machines", s.listMachines)
	mux.HandleFunc("POST /machines", s.setMachine)
	mux.HandleFunc("DELETE /machines/{name}", s.removeMachine)
	mux.HandleFunc("GET /weights/{name}/{version}", s.readWeights)
	return s.injector.Middleware(s.limitRate(mux))
}

// limitRate refuses requests beyond the rate limit. Changes to the machine list
// and weight reads don't count towards it.
func (s *Server) limitRate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if isRateLimited(request) && !s.requestLimiter.Allow() {
			s.refused.Add(1)
			writeStatus(writer, http.StatusTooManyRequests, "TooManyRequests", "the budget of requests a second is used up")
			return
		}
		if isRateLimited(request) {
			s.served.Add(1)
		}
		next.ServeHTTP(writer, request)
	})
}

func isRateLimited(request *http.Request) bool {
	if strings.HasPrefix(request.URL.Path, "/weights/") {
		return false
	}
	return request.Method == http.MethodGet || !strings.HasPrefix(request.URL.Path, "/machines")
}

// ControlHandler returns the handler of /control/faults, /control/machines,
// /control/status, /control/compact and /control/checkpoints/{name}, which has
// no rate limit.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/control/faults", s.injector.Control())
	mux.HandleFunc("POST /control/machines", s.setMachine)
	mux.HandleFunc("DELETE /control/machines/{name}", s.removeMachine)
	mux.HandleFunc("GET /control/status", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, s.Status())
	})
	mux.HandleFunc("POST /control/compact", func(writer http.ResponseWriter, request *http.Request) {
		s.Compact(parseRevision(request.URL.Query().Get("revision")))
	})
	mux.HandleFunc("POST /control/checkpoints/{name}", func(writer http.ResponseWriter, request *http.Request) {
		if err := s.Checkpoint(request.PathValue("name")); err != nil {
			writeStatus(writer, http.StatusInternalServerError, "InternalError", err.Error())
		}
	})
	return mux
}

func (s *Server) registerFaults() {
	s.injector.On(fault.DiskLoss, func(fault.Fault) error { return s.restore("") })
	s.injector.On(fault.Restore, func(restored fault.Fault) error {
		if restored.Target == "" {
			return trace.BadParameter("restore needs a target, the checkpoint's name")
		}
		return s.restore(restored.Target)
	})
}

// Status is the response of /control/status.
type Status struct {
	Watches   int    `json:"watches"`
	Revision  uint64 `json:"revision"`
	Compacted uint64 `json:"compacted"`
	// Requests counts the requests within the rate limit since startup, Refused
	// those beyond it and the refused watches.
	Requests uint64 `json:"requests"`
	Refused  uint64 `json:"refused"`
}

// Status returns the current status.
func (s *Server) Status() Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Status{
		Watches:   s.watches,
		Revision:  s.store.Revision(),
		Compacted: s.store.Compacted(),
		Requests:  s.served.Load(),
		Refused:   s.refused.Load(),
	}
}

// Compact drops the history up to a revision, or all of it if revision is 0.
func (s *Server) Compact(revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision == 0 {
		revision = s.store.Revision()
	}
	s.store.Compact(revision)
}

// Checkpoint stores a copy of the current state under a name.
func (s *Server) Checkpoint(name string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.disk != nil {
		return s.disk.checkpoint(name)
	}
	s.checkpoints[name] = state{objects: s.store.All(), leases: s.leases.All(), revision: s.store.Revision()}
	return nil
}

// restore reverts to a checkpoint, or an empty state if name is empty.
func (s *Server) restore(name string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.disk == nil {
		copied, found := s.checkpoints[name]
		if name != "" && !found {
			return trace.NotFound("no checkpoint %q", name)
		}
		s.setState(copied)
		return nil
	}
	replaced, err := s.disk.replace(name)
	if err != nil {
		return err
	}
	s.disk = replaced
	loaded, err := replaced.load()
	if err != nil {
		return err
	}
	s.setState(loaded)
	return nil
}

// write applies one change to the store and the disk.
func (s *Server) write(apply func(*objects.Store) (objects.Change, error)) (objects.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change, err := apply(s.store)
	if err != nil {
		return objects.Object{}, err
	}
	if err := s.disk.saveChange(change); err != nil {
		return objects.Object{}, err
	}
	kind := truth.KindWrite
	if change.Type == objects.Deleted {
		kind = truth.KindDelete
	}
	name := change.Object.Kind + "/" + change.Object.Name
	s.log.Record(truth.Entry{Kind: kind, Name: name, Revision: change.Object.Revision})
	s.notifyWatches()
	return change.Object, nil
}

func parseRevision(text string) uint64 {
	revision, _ := strconv.ParseUint(text, 10, 64)
	return revision
}

// statusBody is a Kubernetes-style Status error.
type statusBody struct {
	Kind       string `json:"kind"`
	APIVersion string `json:"apiVersion"`
	Status     string `json:"status"`
	Message    string `json:"message"`
	Reason     string `json:"reason"`
	Code       int    `json:"code"`
}

func newStatus(code int, reason, message string) statusBody {
	return statusBody{Kind: "Status", APIVersion: "v1", Status: "Failure", Message: message, Reason: reason, Code: code}
}

func writeStatus(writer http.ResponseWriter, code int, reason, message string) {
	if code == http.StatusTooManyRequests {
		writer.Header().Set("Retry-After", "1")
	}
	writeJSON(writer, code, newStatus(code, reason, message))
}

// writeFailure responds with the status of an error from the store.
func writeFailure(writer http.ResponseWriter, err error) {
	status := statusOf(err)
	writeStatus(writer, status.Code, status.Reason, status.Message)
}

func statusOf(err error) statusBody {
	switch {
	case errors.Is(err, objects.ErrConflict):
		return newStatus(http.StatusConflict, "Conflict", err.Error())
	case errors.Is(err, objects.ErrNotFound):
		return newStatus(http.StatusNotFound, "NotFound", err.Error())
	case errors.Is(err, objects.ErrCompacted), errors.Is(err, objects.ErrFuture):
		return newStatus(http.StatusGone, "Expired", err.Error())
	}
	return newStatus(http.StatusInternalServerError, "InternalError", err.Error())
}
