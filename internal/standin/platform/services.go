package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"chutelock.dev/chutelock/internal/standin/fault"
	"chutelock.dev/chutelock/internal/standin/platform/objects"
	"chutelock.dev/chutelock/internal/standin/truth"
)

// leaseRequest is the body of a request to acquire a lease.
type leaseRequest struct {
	Holder string         `json:"holder"`
	TTL    fault.Duration `json:"ttl"`
}

// leaseBody is the JSON encoding of a lease.
type leaseBody struct {
	Name    string         `json:"name"`
	Holder  string         `json:"holder"`
	Epoch   uint64         `json:"epoch"`
	TTL     fault.Duration `json:"ttl"`
	Renewed time.Time      `json:"renewed"`
}

func leaseBodyOf(lease objects.Lease) leaseBody {
	return leaseBody{
		Name:    lease.Name,
		Holder:  lease.Holder,
		Epoch:   lease.Epoch,
		TTL:     fault.Duration(lease.TTL),
		Renewed: lease.Renewed,
	}
}

// acquireLease responds 200 with the lease, or 409 with the current holder's.
func (s *Server) acquireLease(writer http.ResponseWriter, request *http.Request) {
	var body leaseRequest
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, s.config.MaxBody)).Decode(&body)
	if err == nil && (body.Holder == "" || body.TTL <= 0) {
		err = errors.New("holder and ttl must be set")
	}
	if err != nil {
		writeStatus(writer, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	lease, err := s.acquire(request.PathValue("name"), body)
	switch {
	case errors.Is(err, objects.ErrConflict):
		writeJSON(writer, http.StatusConflict, leaseBodyOf(lease))
	case err != nil:
		writeFailure(writer, err)
	default:
		writeJSON(writer, http.StatusOK, leaseBodyOf(lease))
	}
}

func (s *Server) acquire(name string, body leaseRequest) (objects.Lease, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	previous, _ := s.leases.Get(name)
	lease, err := s.leases.Acquire(time.Now(), name, body.Holder, time.Duration(body.TTL))
	if err != nil {
		return lease, err
	}
	if lease.Epoch != previous.Epoch {
		s.log.Record(truth.Entry{Kind: truth.KindLease, Name: name, Holder: lease.Holder, Token: lease.Epoch})
	}
	return lease, s.disk.saveLease(lease)
}

func (s *Server) releaseLease(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	lease, err := s.release(request.PathValue("name"), query.Get("holder"), parseRevision(query.Get("epoch")))
	if err != nil {
		writeFailure(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, leaseBodyOf(lease))
}

func (s *Server) release(name, holder string, epoch uint64) (objects.Lease, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease, err := s.leases.Release(name, holder, epoch)
	if err != nil {
		return lease, err
	}
	return lease, s.disk.saveLease(lease)
}

func (s *Server) getLease(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	lease, err := s.leases.Get(request.PathValue("name"))
	s.mutex.Unlock()
	if err != nil {
		writeFailure(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, leaseBodyOf(lease))
}

// machineList is the response of GET /machines.
type machineList struct {
	Items []objects.Machine `json:"items"`
}

func (s *Server) listMachines(writer http.ResponseWriter, _ *http.Request) {
	now, lag := time.Now(), s.config.MachineLag
	if longer, found := s.injector.Take(now, fault.ReportLag, fault.Target{Path: "/machines"}); found {
		lag = time.Duration(longer.Latency)
	}
	s.mutex.Lock()
	listed := s.machines.List(now, lag)
	s.mutex.Unlock()
	writeJSON(writer, http.StatusOK, machineList{Items: listed})
}

// setMachine adds, updates or renews a machine. One set through the control
// endpoint doesn't expire.
func (s *Server) setMachine(writer http.ResponseWriter, request *http.Request) {
	var machine objects.Machine
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, s.config.MaxBody)).Decode(&machine)
	if err == nil && machine.Name == "" {
		err = errors.New("the machine has no name")
	}
	if err != nil {
		writeStatus(writer, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	ttl := s.config.MachineTTL
	if request.URL.Path != "/machines" {
		ttl = 0
	}
	s.mutex.Lock()
	s.machines.Set(time.Now(), machine, ttl)
	s.mutex.Unlock()
	writeJSON(writer, http.StatusOK, machine)
}

func (s *Server) removeMachine(_ http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines.Remove(time.Now(), request.PathValue("name"))
}

// weightChunk is the number of bytes written at a time.
const weightChunk = 64 << 10

// readWeights sends the weights of a model or adapter, all zeros, at the rate
// that all readers share.
func (s *Server) readWeights(writer http.ResponseWriter, request *http.Request) {
	remaining, found := s.config.WeightSizes[request.PathValue("name")]
	if !found {
		remaining = s.config.WeightSize
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	writer.Header().Set("Content-Length", strconv.FormatInt(remaining, 10))
	chunk := make([]byte, weightChunk)
	for remaining > 0 {
		size := min(remaining, weightChunk)
		if s.weightLimiter.WaitN(request.Context(), int(size)) != nil {
			return
		}
		if _, err := writer.Write(chunk[:size]); err != nil {
			return
		}
		remaining -= size
	}
}
