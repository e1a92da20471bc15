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

// leaseRequest asks for a lease.
type leaseRequest struct {
	Holder string         `json:"holder"`
	TTL    fault.Duration `json:"ttl"`
}

// leaseBody is a lease as it is spoken.
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

// acquireLease answers 200 with the lease, or 409 with the present holder's.
func (s *Server) acquireLease(writer http.ResponseWriter, request *http.Request) {
	var wanted leaseRequest
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, s.config.MaxBody)).Decode(&wanted)
	if err == nil && (wanted.Holder == "" || wanted.TTL <= 0) {
		err = errors.New("holder and ttl must be set")
	}
	if err != nil {
		writeStatus(writer, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	lease, err := s.acquire(request.PathValue("name"), wanted)
	switch {
	case errors.Is(err, objects.ErrConflict):
		writeJSON(writer, http.StatusConflict, leaseBodyOf(lease))
	case err != nil:
		writeFailure(writer, err)
	default:
		writeJSON(writer, http.StatusOK, leaseBodyOf(lease))
	}
}

func (s *Server) acquire(name string, wanted leaseRequest) (objects.Lease, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before, _ := s.leases.Get(name)
	lease, err := s.leases.Acquire(time.Now(), name, wanted.Holder, time.Duration(wanted.TTL))
	if err != nil {
		return lease, err
	}
	if lease.Epoch != before.Epoch {
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

// machineList is the answer with the machines.
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

// setMachine lists a machine, changes it or renews it. Through the control
// endpoint it stays until it is removed.
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

// weightPiece is what the weight store gives at once, in bytes.
const weightPiece = 64 << 10

// readWeights gives a model's or adapter's weights, which are zeros, at the
// rate that all readers share.
func (s *Server) readWeights(writer http.ResponseWriter, request *http.Request) {
	left, found := s.config.WeightSizes[request.PathValue("name")]
	if !found {
		left = s.config.WeightSize
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	writer.Header().Set("Content-Length", strconv.FormatInt(left, 10))
	piece := make([]byte, weightPiece)
	for left > 0 {
		size := min(left, weightPiece)
		if s.weights.WaitN(request.Context(), int(size)) != nil {
			return
		}
		if _, err := writer.Write(piece[:size]); err != nil {
			return
		}
		left -= size
	}
}
