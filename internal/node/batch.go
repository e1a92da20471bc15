package node

import (
	"context"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	admission "chutelock.dev/chutelock/internal/admission/batch"
	"chutelock.dev/chutelock/internal/fleet"
	"chutelock.dev/chutelock/internal/gateway"
	"chutelock.dev/chutelock/internal/gateway/batchapi"
	"chutelock.dev/chutelock/internal/jobs/command"
	"chutelock.dev/chutelock/internal/jobs/dispatch"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/jobs/query"
	"chutelock.dev/chutelock/internal/jobs/remote"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/transport"
)

// machines keeps the newest state machine of each shard on this node.
type machines struct {
	mutex   sync.Mutex // a leaf
	byShard map[ledger.ShardID]*machine.Machine
}

func (m *machines) make(shard ledger.ShardID) ledger.StateMachine {
	created := machine.New()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.byShard == nil {
		m.byShard = map[ledger.ShardID]*machine.Machine{}
	}
	m.byShard[shard] = created
	return created
}

func (m *machines) get(shard ledger.ShardID) *machine.Machine {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.byShard[shard]
}

// batch is the node's part in batch jobs, except for running items.
type batch struct {
	keeper  *command.Keeper
	queries *query.Queries
	files   *command.Files
	jobs    *command.Jobs
	work    *command.Work

	dispatcher *dispatch.Dispatcher
}

// runsOn gives the batch part its engines; name is unique to this run of the
// node.
func (b *batch) runsOn(engines fleet.Clients, policy admission.Policy, name string, registry prometheus.Registerer) {
	b.dispatcher = dispatch.New(dispatch.Dependencies{
		Name:    name,
		Work:    b.work,
		Policy:  policy,
		Clients: engines,
		Metrics: registry,
	})
}

func newBatch(directory ledger.Directory, peers *transport.Node, machines *machines) *batch {
	server := remote.NewServer(directory)
	server.Handle(remote.OperationQuery, query.Handle)
	keeper := command.NewKeeper(directory, machines.get)
	keeper.Register(server)
	server.Register(peers)
	caller := remote.NewCaller(peers.Address(), directory, peers, server)
	queries := query.New(caller)
	return &batch{
		keeper:  keeper,
		queries: queries,
		files:   command.NewFiles(caller),
		jobs:    command.NewJobs(caller, queries),
		work:    command.NewWork(caller),
	}
}

func (b *batch) handler(source settings.Source) http.Handler {
	return batchapi.New(batchapi.Dependencies{
		Files:         b.files,
		Jobs:          b.jobs,
		Queries:       b.queries,
		Settings:      source,
		Authenticator: authenticator{source},
	})
}

func (b *batch) run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { b.keeper.Run(ctx) })
	both.Go(func() { b.dispatcher.Run(ctx) })
	both.Wait()
}

// authenticator finds tenants for the batch API as the online API does.
type authenticator struct{ source settings.Source }

// Authenticate implements batchapi.Authenticator.
func (a authenticator) Authenticate(request *http.Request) (*settings.Tenant, error) {
	tenant, failure := gateway.Authenticate(a.source.Current(), request)
	if failure != nil {
		return nil, failure
	}
	return tenant, nil
}
