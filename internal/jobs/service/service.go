// Package service puts the parts of batch jobs together for a node.
//
// The order is: New; hand NewMachine to the ledger; Connect with the ledger's
// directory and the transport, before the transport serves; Run.
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

// Service is the batch jobs of one node. Its fields are set by Connect.
type Service struct {
	Files   *command.Files
	Jobs    *command.Jobs
	Queries *query.Queries
	Work    *command.Work

	// Keeper works for the shards led here; it is a prometheus.Collector too.
	Keeper *command.Keeper

	// mutex guards machines; nothing is locked while it is held.
	mutex    sync.Mutex
	machines map[ledger.ShardID]*machine.Machine
}

// New returns a service without its parts.
func New() *Service { return &Service{machines: map[ledger.ShardID]*machine.Machine{}} }

// NewMachine makes the state machine of a shard that has a replica here. A
// machine that is made anew for the same shard takes the place of the former.
func (s *Service) NewMachine(id ledger.ShardID) ledger.StateMachine {
	made := machine.New()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines[id] = made
	return made
}

// machine returns the machine of a shard; an empty one if it has none here.
func (s *Service) machine(id ledger.ShardID) *machine.Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found, ok := s.machines[id]; ok {
		return found
	}
	return machine.New()
}

// Connect makes the parts. Receiver may be nil where no peer calls.
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

// Run does the work of the shards that this node leads until ctx ends.
func (s *Service) Run(ctx context.Context) { s.Keeper.Run(ctx) }
