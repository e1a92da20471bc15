package batchwork

import (
	"context"
	"errors"
	"time"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// Message kinds of the calls to a shard.
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
	statusTenantMismatch
	statusOtherShard // the content names the shard
	statusMoved
	statusOutdated
	statusInvalid // the content is the cause; submissions of older nodes are never answered so
	statusOwnerUnknown
)

// otherShardError reports which shard has a job.
type otherShardError struct{ shard ledger.ShardID }

// Error implements error.
func (e *otherShardError) Error() string { return "batchwork: the job is at another shard" }

type fixedOtherShard struct{ Shard uint32 }

// errMoved is returned for a job that was claimed before it or its queue moved to another
// shard.
var errMoved = errors.New("batchwork: the job or its queue has moved to another shard")

// fixedReply heads a reply. Its fields are the content and a routing hint: the leader's
// address from a node that doesn't lead, or the replica addresses from a leader that answers
// a read.
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
		fields = append(fields, marshal(fixedResult{result.State}, []byte(result.ItemID), result.Compressed))
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
		page.Results = append(page.Results, Result{ItemID: string(parts[0]), State: result.State, Compressed: parts[1]})
	}
	return page, page.decompress()
}

// ServerOptions configure the handlers of a data node.
type ServerOptions struct {
	// Shard returns this node's replica, if it holds one.
	Shard   func() (ledger.Shard, bool)
	Machine *Machine
	// LowSpace reports whether the disk is too full for new jobs.
	LowSpace func() bool
	// Permitted reports whether the newest known configuration permits a tenant's job of a
	// host and path in this shard; nil if there are no regions.
	Permitted func(host, path, tenant string) bool
	// TenantKnown reports whether the newest known configuration has a tenant; nil means yes.
	TenantKnown func(tenant string) bool
	// Replicas lists the addresses of the nodes that can answer reads.
	Replicas func() []transport.Address
	// Refuse returns an error if the leader predicts that a job is done too late and certain
	// reports that it isn't accepted; QueueRoom predicts when a full queue has room for a job.
	// Both may be nil.
	Refuse    func(job *Job, certain func() bool) error
	QueueRoom func(job *Job) (retryAfter time.Duration, known bool)
	Receiver  transport.Receiver
}

// Server handles calls: reads at any replica, all other calls at the shard's leader.
type Server struct {
	shard     ledger.Shard
	machine   *Machine
	lowSpace  func() bool
	permitted func(host, path, tenant string) bool
	// tenantKnown may be nil.
	tenantKnown func(tenant string) bool
	refuse      func(job *Job, certain func() bool) error
	queueRoom   func(job *Job) (retryAfter time.Duration, known bool)
	submitted   *submissions
}

// RegisterServer registers the handlers of a data node.
func RegisterServer(options ServerOptions) {
	submitted := newSubmissions()
	for kind, serve := range map[transport.Kind]func(*Server, context.Context, []byte) ([]byte, error){
		kindSubmit: (*Server).submit, kindRead: (*Server).read, kindBody: (*Server).body, kindEnd: (*Server).end,
		kindPlace: (*Server).place, kindClaim: (*Server).claim, kindFence: (*Server).fence,
	} {
		options.Receiver.HandleCall(kind, func(ctx context.Context, _ transport.Address, payload []byte) ([]byte, error) {
			held, found := options.Shard()
			if !found {
				return marshal(fixedReply{statusNotLeader}, nil, nil), nil
			}
			content, err := serve(&Server{
				shard: held, machine: options.Machine, lowSpace: options.LowSpace, permitted: options.Permitted, tenantKnown: options.TenantKnown,
				refuse: options.Refuse, queueRoom: options.QueueRoom, submitted: submitted,
			}, ctx, payload)
			var replicas []byte
			if leads, _ := held.Leading(); leads && (kind == kindRead || kind == kindBody) {
				replicas = encodeReplicas(options.Replicas())
			}
			return reply(content, replicas, err), nil
		})
	}
}

// reply encodes the content, or the status for an error.
func reply(content, replicas []byte, err error) []byte {
	var notLeader *ledger.NotLeaderError
	var other *otherShardError
	var refused *RefusedError
	var invalid *InvalidJobError
	switch {
	case err == nil:
		return marshal(fixedReply{statusDone}, content, replicas)
	case errors.As(err, &other):
		return marshal(fixedReply{statusOtherShard}, marshal(fixedOtherShard{uint32(other.shard)}), nil)
	case errors.Is(err, errMoved):
		return marshal(fixedReply{statusMoved}, nil, nil)
	case errors.Is(err, ErrOutdated):
		return marshal(fixedReply{statusOutdated}, nil, nil)
	case errors.Is(err, ErrOwnerUnknown):
		return marshal(fixedReply{statusOwnerUnknown}, nil, nil)
	case errors.Is(err, ErrNoJob):
		return marshal(fixedReply{statusNoJob}, nil, nil)
	case errors.As(err, &refused):
		return marshal(fixedReply{statusQueueFull}, refused.marshal(), nil)
	case errors.Is(err, ErrQueueFull):
		return marshal(fixedReply{statusQueueFull}, nil, nil)
	case errors.As(err, &invalid):
		return marshal(fixedReply{statusInvalid}, []byte(invalid.Cause), nil)
	case errors.Is(err, ErrTenantMismatch):
		return marshal(fixedReply{statusTenantMismatch}, nil, nil)
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
	content, err := s.proposeJob(ctx, job, 0, encodeSubmit(job))
	return content, s.denial(jobName{job.ID, job.Tenant}, err)
}

// denial returns ErrOwnerUnknown for an error which denies a job to a caller that isn't its tenant, while
// the configuration doesn't have that tenant: the caller may be the tenant under another name, or no
// keys may be needed for a while. It returns other errors as they are.
func (s *Server) denial(name jobName, err error) error {
	if s.tenantKnown == nil || !errors.Is(err, ErrNoJob) && !errors.Is(err, ErrTenantMismatch) {
		return err
	}
	if owner := s.machine.owner(name.job); owner != "" && owner != name.tenant && !s.tenantKnown(owner) {
		return ErrOwnerUnknown
	}
	return err
}

// admit decodes a submission. It rejects new jobs if the disk is too full, or if the
// sender's configuration is older and permits a shard that the newest one does not.
func (s *Server) admit(payload []byte) (*Job, error) {
	job, err := decodeJob(payload)
	if err != nil {
		return nil, err
	}
	known := s.machine.hasJob(job.ID)
	if !known && s.permitted != nil && !s.permitted(job.Host, job.Path, job.Tenant) {
		return nil, ErrOutdated
	}
	if !known && s.lowSpace() {
		return nil, ledger.ErrUnavailable
	}
	job.Submitted = time.Now()
	return job, nil
}

// place handles the submission of a job that was claimed for this shard.
func (s *Server) place(ctx context.Context, payload []byte) ([]byte, error) {
	var fixed fixedClaimedJob
	fields, err := unmarshal(payload, &fixed, 1)
	if err != nil {
		return nil, err
	}
	job, err := s.admit(fields[0])
	if err != nil {
		return nil, err
	}
	content, err := s.proposeJob(ctx, job, fixed.Epoch, encodeCommand(commandPlace, marshal(fixed, encodeJob(job, true))))
	return content, s.denial(jobName{job.ID, job.Tenant}, err)
}

func (s *Server) claim(ctx context.Context, payload []byte) ([]byte, error) {
	request, err := unmarshalClaim(payload)
	if err != nil {
		return nil, err
	}
	content, err := s.propose(ctx, encodeCommand(commandClaim, payload))
	return content, s.denial(jobName{request.job, request.queue.tenant}, err)
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
	name := jobName{string(fields[0]), string(fields[1])}
	content, err := s.propose(ctx, encodeEnd(name, time.Now()))
	return content, s.denial(name, err)
}

// propose commits an entry and returns the content of the machine's answer.
func (s *Server) propose(ctx context.Context, entry []byte) ([]byte, error) {
	answer, err := s.shard.Propose(ctx, entry)
	if err != nil {
		return nil, err
	}
	return decodeAnswer(answer)
}

// decodeAnswer splits a machine's answer into content and error.
func decodeAnswer(answer []byte) ([]byte, error) {
	if len(answer) == 0 {
		return nil, ErrUnknown
	}
	switch answer[0] {
	case answerQueueFull:
		return nil, ErrQueueFull
	case answerNoJob:
		return nil, ErrNoJob
	case answerTenantMismatch:
		return nil, ErrTenantMismatch
	case answerMoved:
		return nil, errMoved
	case answerOutdated:
		return nil, ErrOutdated
	case answerOtherShard:
		return nil, decodeOtherShard(answer[1:])
	}
	return answer[1:], nil
}

// decodeOtherShard decodes the shard that has a job. Answers to submissions don't name it.
func decodeOtherShard(content []byte) error {
	var fixed fixedOtherShard
	if len(content) == 0 {
		return &otherShardError{}
	}
	if _, err := unmarshal(content, &fixed, 0); err != nil {
		return err
	}
	return &otherShardError{ledger.ShardID(fixed.Shard)}
}

// read waits for results beyond a position, then reads them from a state that includes all
// earlier commits.
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
		if shard, elsewhere := s.machine.locate(name); elsewhere {
			return &otherShardError{shard}
		}
		page, err = s.machine.readPage(reader, name, int(fixed.Since))
		return err
	})
	return encodePage(page), s.denial(name, err)
}

// await returns once the job has results beyond since, is closed or unknown here, or the
// wait has ended.
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
		if shard, elsewhere := s.machine.locate(name); elsewhere {
			return &otherShardError{shard}
		}
		if s.machine.size(name) == 0 {
			return ErrNoJob
		}
		body, err = readBody(reader, name.job, item)
		return err
	})
	return body, s.denial(name, err)
}
