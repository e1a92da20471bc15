package batchwork

import (
	"context"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// Message kinds of the calls to the leader.
const (
	kindSubmit transport.Kind = transport.KindBatch + iota
	kindRead
	kindBody
	kindEnd
	kindPlace
	kindClaim
	kindFence
)

type status uint8

const (
	statusDone status = iota
	statusNoJob
	statusQueueFull
	statusNotLeader
	statusNotTaken
	statusUnknown
	statusForeign
	statusElsewhere // the content says where
	statusMoved
	statusOutdated
)

// elsewhereError says which shard has a job.
type elsewhereError struct{ shard ledger.ShardID }

// Error implements error.
func (e *elsewhereError) Error() string { return "batchwork: the job is at another shard" }

type fixedElsewhere struct{ Shard uint32 }

// errMoved says that a job was claimed before it or its queue was moved elsewhere.
var errMoved = errors.New("batchwork: the job's shard is another by now")

// fixedReply heads an answer. Its fields are the content, and what helps to find
// the next node to call: the leader's address where another node leads, or the
// replicas' addresses in the leader's answers to reads.
type fixedReply struct{ Status status }

// fixedReplicas heads a list of addresses.
type fixedReplicas struct{}

func encodeReplicas(addresses []transport.Address) []byte {
	fields := make([][]byte, 0, len(addresses))
	for _, address := range addresses {
		fields = append(fields, []byte(address))
	}
	return marshal(fixedReplicas{}, fields...)
}

func decodeReplicas(encoded []byte) ([]transport.Address, error) {
	fields, err := unmarshal(encoded, &fixedReplicas{}, -1)
	if err != nil {
		return nil, err
	}
	addresses := make([]transport.Address, 0, len(fields))
	for _, field := range fields {
		addresses = append(addresses, transport.Address(field))
	}
	return addresses, nil
}

type fixedRead struct {
	Since            uint32
	WaitMilliseconds uint32
}

// fixedEnd heads the call that ends a job; its fields are the job and the tenant.
type fixedEnd struct{}

type fixedPage struct{ Total, Next uint32 }

type fixedResult struct{ State State }

func encodePage(page Page) []byte {
	fields := make([][]byte, 0, len(page.Results))
	for _, result := range page.Results {
		fields = append(fields, marshal(fixedResult{result.State}, []byte(result.ItemID), result.Packed))
	}
	return marshal(fixedPage{uint32(page.Total), uint32(page.Next)}, fields...)
}

func decodePage(encoded []byte) (Page, error) {
	var fixed fixedPage
	fields, err := unmarshal(encoded, &fixed, -1)
	if err != nil {
		return Page{}, err
	}
	page := Page{Total: int(fixed.Total), Next: int(fixed.Next)}
	for _, field := range fields {
		var result fixedResult
		parts, err := unmarshal(field, &result, 2)
		if err != nil {
			return Page{}, err
		}
		page.Results = append(page.Results, Result{ItemID: string(parts[0]), State: result.State, Packed: parts[1]})
	}
	return page, page.unpack()
}

// ServerOptions configure the handlers of a data node.
type ServerOptions struct {
	// Shard returns this node's replica, if it holds one.
	Shard   func() (ledger.Shard, bool)
	Machine *Machine
	// Scarce says that the disk has no room for new jobs.
	Scarce func() bool
	// Stays says whether a tenant's job of a host and path may be kept in this shard by the
	// newest configuration known here; nil if there are no regions.
	Stays func(host, path, tenant string) bool
	// Replicas lists the addresses of the nodes that can answer reads.
	Replicas func() []transport.Address
	Receiver transport.Receiver
}

// Server answers the calls of all nodes: reads at any replica, all others at the
// shard's leader.
type Server struct {
	shard   ledger.Shard
	machine *Machine
	scarce  func() bool
	stays   func(host, path, tenant string) bool
}

// RegisterServer registers the handlers of a data node.
func RegisterServer(options ServerOptions) {
	for kind, serve := range map[transport.Kind]func(*Server, context.Context, []byte) ([]byte, error){
		kindSubmit: (*Server).submit, kindRead: (*Server).read, kindBody: (*Server).body, kindEnd: (*Server).end,
		kindPlace: (*Server).place, kindClaim: (*Server).claim, kindFence: (*Server).fence,
	} {
		options.Receiver.HandleCall(kind, func(ctx context.Context, _ transport.Address, payload []byte) ([]byte, error) {
			held, found := options.Shard()
			if !found {
				return marshal(fixedReply{statusNotLeader}, nil, nil), nil
			}
			content, err := serve(&Server{held, options.Machine, options.Scarce, options.Stays}, ctx, payload)
			var replicas []byte
			if leads, _ := held.Leading(); leads && (kind == kindRead || kind == kindBody) {
				replicas = encodeReplicas(options.Replicas())
			}
			return reply(content, replicas, err), nil
		})
	}
}

// reply encodes the content, or what an error tells.
func reply(content, replicas []byte, err error) []byte {
	var notLeader *ledger.NotLeaderError
	var away *elsewhereError
	switch {
	case err == nil:
		return marshal(fixedReply{statusDone}, content, replicas)
	case errors.As(err, &away):
		return marshal(fixedReply{statusElsewhere}, marshal(fixedElsewhere{uint32(away.shard)}), nil)
	case errors.Is(err, errMoved):
		return marshal(fixedReply{statusMoved}, nil, nil)
	case errors.Is(err, ErrOutdated):
		return marshal(fixedReply{statusOutdated}, nil, nil)
	case errors.Is(err, ErrNoJob):
		return marshal(fixedReply{statusNoJob}, nil, nil)
	case errors.Is(err, ErrQueueFull):
		return marshal(fixedReply{statusQueueFull}, nil, nil)
	case errors.Is(err, ErrForeign):
		return marshal(fixedReply{statusForeign}, nil, nil)
	case errors.As(err, &notLeader):
		return marshal(fixedReply{statusNotLeader}, nil, []byte(notLeader.Leader))
	case errors.Is(err, ledger.ErrUnavailable):
		return marshal(fixedReply{statusNotTaken}, nil, nil)
	}
	return marshal(fixedReply{statusUnknown}, nil, nil)
}

func (s *Server) submit(ctx context.Context, payload []byte) ([]byte, error) {
	job, err := s.admit(payload)
	if err != nil {
		return nil, err
	}
	return s.propose(ctx, encodeSubmit(job))
}

// admit reads a submission, and refuses it if there is no room, or if the front node that
// sent it goes by a configuration that has not heard of the job's regions.
func (s *Server) admit(payload []byte) (*Job, error) {
	job, err := decodeJob(payload)
	if err != nil {
		return nil, err
	}
	known := s.machine.knows(job.ID)
	if !known && s.stays != nil && !s.stays(job.Host, job.Path, job.Tenant) {
		return nil, ErrOutdated
	}
	if !known && s.scarce() {
		return nil, ledger.ErrUnavailable
	}
	job.Submitted = time.Now()
	return job, nil
}

// place is submit for a job that was claimed for this shard.
func (s *Server) place(ctx context.Context, payload []byte) ([]byte, error) {
	var fixed fixedPlace
	fields, err := unmarshal(payload, &fixed, 1)
	if err != nil {
		return nil, err
	}
	job, err := s.admit(fields[0])
	if err != nil {
		return nil, err
	}
	return s.propose(ctx, encodeCommand(commandPlace, marshal(fixed, encodeJob(job, true))))
}

func (s *Server) claim(ctx context.Context, payload []byte) ([]byte, error) {
	return s.propose(ctx, encodeCommand(commandClaim, payload))
}

func (s *Server) fence(ctx context.Context, payload []byte) ([]byte, error) {
	return s.propose(ctx, encodeCommand(commandFence, payload))
}

func encodeCommand(kind commandKind, field []byte) []byte {
	return marshal(fixedCommand{kind, time.Now().UnixMilli()}, field)
}

func (s *Server) end(ctx context.Context, payload []byte) ([]byte, error) {
	fields, err := unmarshal(payload, &fixedEnd{}, 2)
	if err != nil {
		return nil, err
	}
	return s.propose(ctx, encodeEnd(jobName{string(fields[0]), string(fields[1])}, time.Now()))
}

// propose returns what the machine answered beside that all is well.
func (s *Server) propose(ctx context.Context, entry []byte) ([]byte, error) {
	answer, err := s.shard.Propose(ctx, entry)
	if err != nil {
		return nil, err
	}
	return readAnswer(answer)
}

// readAnswer parts a machine's answer.
func readAnswer(answer []byte) ([]byte, error) {
	if len(answer) == 0 {
		return nil, ErrUnknown
	}
	switch answer[0] {
	case answerQueueFull:
		return nil, ErrQueueFull
	case answerNoJob:
		return nil, ErrNoJob
	case answerForeign:
		return nil, ErrForeign
	case answerMoved:
		return nil, errMoved
	case answerOutdated:
		return nil, ErrOutdated
	case answerElsewhere:
		return nil, decodeElsewhere(answer[1:])
	}
	return answer[1:], nil
}

// decodeElsewhere reads where a job is; a submission isn't told, and has to ask.
func decodeElsewhere(content []byte) error {
	var fixed fixedElsewhere
	if len(content) == 0 {
		return &elsewhereError{}
	}
	if _, err := unmarshal(content, &fixed, 0); err != nil {
		return err
	}
	return &elsewhereError{ledger.ShardID(fixed.Shard)}
}

// read waits for results beyond a position, and reads them from a state that
// includes all that was committed before.
func (s *Server) read(ctx context.Context, payload []byte) ([]byte, error) {
	var fixed fixedRead
	fields, err := unmarshal(payload, &fixed, 2)
	if err != nil {
		return nil, err
	}
	name := jobName{string(fields[0]), string(fields[1])}
	s.await(ctx, name, int(fixed.Since), time.Duration(fixed.WaitMilliseconds)*time.Millisecond)
	var page Page
	err = s.shard.FollowerRead(ctx, func(reader ledger.Reader) (err error) {
		if shard, away := s.machine.locate(name); away {
			return &elsewhereError{shard}
		}
		page, err = s.machine.readPage(reader, name, int(fixed.Since))
		return err
	})
	return encodePage(page), err
}

// await returns once the job has results beyond since, can get none, is not
// known here, or the wait is over.
func (s *Server) await(ctx context.Context, name jobName, since int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		positions, closed, changed, found := s.machine.results(name)
		if !found || closed || positions > since {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) body(ctx context.Context, payload []byte) ([]byte, error) {
	fields, err := unmarshal(payload, &fixedItem{}, 3)
	if err != nil {
		return nil, err
	}
	name, item := jobName{string(fields[0]), string(fields[1])}, string(fields[2])
	var body []byte
	err = s.shard.FollowerRead(ctx, func(reader ledger.Reader) (err error) {
		if shard, away := s.machine.locate(name); away {
			return &elsewhereError{shard}
		}
		if s.machine.size(name) == 0 {
			return ErrNoJob
		}
		body, err = readBody(reader, name.job, item)
		return err
	})
	return body, err
}
