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
)

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
}

// RegisterServer registers the handlers of a data node.
func RegisterServer(options ServerOptions) {
	for kind, serve := range map[transport.Kind]func(*Server, context.Context, []byte) ([]byte, error){
		kindSubmit: (*Server).submit, kindRead: (*Server).read, kindBody: (*Server).body, kindEnd: (*Server).end,
	} {
		options.Receiver.HandleCall(kind, func(ctx context.Context, _ transport.Address, payload []byte) ([]byte, error) {
			held, found := options.Shard()
			if !found {
				return marshal(fixedReply{statusNotLeader}, nil, nil), nil
			}
			content, err := serve(&Server{held, options.Machine, options.Scarce}, ctx, payload)
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
	switch {
	case err == nil:
		return marshal(fixedReply{statusDone}, content, replicas)
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
	job, err := decodeJob(payload)
	if err != nil {
		return nil, err
	}
	if s.scarce() && !s.machine.knows(job.ID) {
		return nil, ledger.ErrUnavailable
	}
	job.Submitted = time.Now()
	return nil, s.propose(ctx, encodeSubmit(job))
}

func (s *Server) end(ctx context.Context, payload []byte) ([]byte, error) {
	fields, err := unmarshal(payload, &fixedEnd{}, 2)
	if err != nil {
		return nil, err
	}
	return nil, s.propose(ctx, encodeEnd(jobName{string(fields[0]), string(fields[1])}, time.Now()))
}

func (s *Server) propose(ctx context.Context, entry []byte) error {
	answer, err := s.shard.Propose(ctx, entry)
	switch {
	case err != nil:
		return err
	case len(answer) == 0:
		return ErrUnknown
	case answer[0] == answerQueueFull:
		return ErrQueueFull
	case answer[0] == answerNoJob:
		return ErrNoJob
	case answer[0] == answerForeign:
		return ErrForeign
	}
	return nil
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
		if s.machine.size(name) == 0 {
			return ErrNoJob
		}
		body, err = readBody(reader, name.job, item)
		return err
	})
	return body, err
}
