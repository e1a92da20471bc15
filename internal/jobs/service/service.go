// Package service assembles the batch-job components of a node.
//
// Call New, pass NewMachine to the ledger, call Connect with the ledger's
// directory and the transport before the transport serves, then call Run.
package service

import (
	"context"
	"sync"

	"chutelock.dev/chutelock/internal/jobs/command"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/jobs/query"
	"chutelock.dev/chutelock/internal/jobs/remote"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// Service holds the batch-job components of one node. Connect sets its fields.
type Service struct {
	Files   *command.Files
	Jobs    *command.Jobs
	Queries *query.Queries
	Work    *command.Work

	// Keeper maintains the shards led by this node; it is a prometheus.Collector.
	Keeper *command.Keeper

	// mutex guards machines; no other lock is taken while it is held.
	mutex    sync.Mutex
	machines map[ledger.ShardID]*machine.Machine
}

// New returns a Service that must be connected before use.
func New() *Service { return &Service{machines: map[ledger.ShardID]*machine.Machine{}} }

// NewMachine returns a new state machine for a shard with a replica on this
// node. It replaces an earlier one of the same shard.
func (s *Service) NewMachine(id ledger.ShardID) ledger.StateMachine {
	created := machine.New()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines[id] = created
	return created
}

// machine returns the state machine of a shard, or an empty one if the shard
// has no replica on this node.
func (s *Service) machine(id ledger.ShardID) *machine.Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found, ok := s.machines[id]; ok {
		return found
	}
	return machine.New()
}

// Connect creates the components. The receiver may be nil if no peer calls this
// node.
func (s *Service) Connect(self transport.Address, directory ledger.Directory, sender transport.Sender,
	receiver transport.Receiver) {
	server := remote.NewServer(directory)
	server.Handle(remote.OperationQuery, query.Handle)
	s.Keeper = command.NewKeeper(directory, s.machine)
	s.Keeper.Register(server)
	if receiver != nil {
		server.Register(receiver)
	}
	caller := remote.NewCaller(self, directory, sender, server)
	s.Queries = query.New(caller)
	s.Files = command.NewFiles(caller)
	s.Jobs = command.NewJobs(caller, s.Queries)
	s.Work = command.NewWork(caller)
}

// Run maintains the shards that this node leads until ctx ends.
func (s *Service) Run(ctx context.Context) { s.Keeper.Run(ctx) }
