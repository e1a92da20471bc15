package command

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/jobs/remote"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/wire"
)

// Keeper maintains the shards that this node leads: it handles offers, leases
// and renewals, expires leases that are no longer renewed, and applies deadlines
// and retention.
type Keeper struct {
	directory ledger.Directory
	machines  func(ledger.ShardID) *machine.Machine

	// mutex guards trackers; no machine's lock is taken while it is held.
	mutex    sync.Mutex
	trackers map[ledger.ShardID]*leaseTracker
}

// NewKeeper returns the keeper of a node; machines returns the state machine of
// a shard with a replica on this node.
func NewKeeper(directory ledger.Directory, machines func(ledger.ShardID) *machine.Machine) *Keeper {
	return &Keeper{directory: directory, machines: machines, trackers: map[ledger.ShardID]*leaseTracker{}}
}

// Register sets the handlers of the lease operations.
func (k *Keeper) Register(server *remote.Server) {
	server.Handle(remote.OperationOffer, k.offer)
	server.Handle(remote.OperationLease, k.lease)
	server.Handle(remote.OperationRenew, k.renew)
}

const (
	keeperInterval = 500 * time.Millisecond
	// retentionInterval is the interval of checks for files and jobs that are
	// due for removal.
	retentionInterval = 10 * time.Second
)

// Run maintains the led shards until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(keeperInterval)
	defer ticker.Stop()
	lastRetention := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			retention := now.Sub(lastRetention) >= retentionInterval
			if retention {
				lastRetention = now
			}
			k.tickAll(ctx, now, retention)
		}
	}
}

// tickAll ticks all led shards concurrently, so that one without a quorum does
// not delay the others.
func (k *Keeper) tickAll(ctx context.Context, now time.Time, retention bool) {
	var group sync.WaitGroup
	defer group.Wait()
	for id := range ledger.ShardID(k.directory.Shards()) {
		shard, ok := k.directory.Local(id)
		if !ok {
			continue
		}
		leading, term := shard.Leading()
		if !leading {
			continue
		}
		group.Go(func() {
			err := k.tick(ctx, id, shard, term, now, retention)
			if err != nil && ctx.Err() == nil && !isNotLeader(err) {
				eventKeeperFailed.Error(err, "shard", id)
			}
		})
	}
}

func isNotLeader(err error) bool {
	var notLeader *ledger.NotLeaderError
	return errors.As(err, &notLeader)
}

func (k *Keeper) tick(ctx context.Context, id ledger.ShardID, shard ledger.Shard, term uint64, now time.Time,
	retention bool) error {
	ctx, cancel := context.WithTimeout(ctx, keeperInterval*4)
	defer cancel()
	held := k.machines(id).HeldLeases()
	for _, ended := range k.expired(id, now, term, held) {
		eventLeasesExpired.Info("shard", id, "dispatcher", ended.Dispatcher, "leases", len(ended.Epochs))
		if err := k.propose(ctx, shard, now, &ended); err != nil {
			return trace.Wrap(err, "expire leases of %s", ended.Dispatcher)
		}
	}
	due := k.machines(id).DeadlinePassed(now)
	if !due && retention {
		var err error
		if due, err = retentionDue(ctx, shard, now); err != nil {
			return trace.Wrap(err, "check for due removals")
		}
	}
	if !due {
		return nil
	}
	return trace.Wrap(k.propose(ctx, shard, now, &machine.Tick{}), "tick")
}

func (k *Keeper) propose(ctx context.Context, shard ledger.Shard, now time.Time, command machine.Command) error {
	entry, err := machine.Encode(now, command)
	if err != nil {
		return err
	}
	_, err = shard.Propose(ctx, entry)
	return err
}

func retentionDue(ctx context.Context, shard ledger.Shard, now time.Time) (due bool, err error) {
	err = shard.Read(ctx, func(reader ledger.Reader) error {
		due, err = machine.RemovalDue(reader, now)
		return err
	})
	return due, err
}

func (k *Keeper) expired(id ledger.ShardID, now time.Time, term uint64, held []machine.HeldLease) []machine.ExpireLeases {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.tracker(id).expired(now, term, held)
}

func (k *Keeper) tracker(id ledger.ShardID) *leaseTracker {
	state, ok := k.trackers[id]
	if !ok {
		state = &leaseTracker{}
		k.trackers[id] = state
	}
	return state
}

// lease proposes a LeaseItems entry if items wait, so that requests of an idle
// fleet don't fill the log.
func (k *Keeper) lease(ctx context.Context, id ledger.ShardID, shard ledger.Shard, entry []byte) ([]byte, error) {
	_, command, err := machine.Decode(entry)
	if err != nil {
		return nil, err
	}
	request, ok := command.(*machine.LeaseItems)
	if !ok {
		return nil, trace.BadParameter("lease operation with unexpected command %T", command)
	}
	if _, waiting := k.machines(id).Waiting(time.Now())[request.Model]; !waiting {
		return machine.Answer{Code: machine.CodeOK}.Encode()
	}
	return remote.Propose(ctx, id, shard, entry)
}

const messageVersion = 1

// modelOffer summarizes the items of a model that wait in a shard.
type modelOffer struct {
	Items uint64
	Slack int64 // milliseconds; the minimum over the waiting jobs
	// Weight is the sum of the weights of the tenants whose items wait.
	Weight uint64
}

// offer returns the waiting items by model, as alternating fields of model name
// and modelOffer.
func (k *Keeper) offer(_ context.Context, id ledger.ShardID, _ ledger.Shard, _ []byte) ([]byte, error) {
	var fields [][]byte
	for model, waiting := range k.machines(id).Waiting(time.Now()) {
		encoded, err := wire.Marshal(messageVersion, modelOffer{waiting.Items, waiting.Slack.Milliseconds(), waiting.Weight})
		if err != nil {
			return nil, err
		}
		fields = append(fields, []byte(model), encoded)
	}
	return wire.Marshal(messageVersion, emptyHeader{}, fields...)
}

// emptyHeader is the fixed part of a message without numeric fields.
type emptyHeader struct{}

// renewRequest renews the leases of a dispatcher in one shard.
type renewRequest struct {
	dispatcher string
	epochs     []uint64
	jobIDs     []string
}

func (r *renewRequest) encode() ([]byte, error) {
	fields := [][]byte{[]byte(r.dispatcher), machine.EncodeEpochs(r.epochs)}
	for _, jobID := range r.jobIDs {
		fields = append(fields, []byte(jobID))
	}
	return wire.Marshal(messageVersion, emptyHeader{}, fields...)
}

func decodeRenewRequest(message []byte) (renewRequest, error) {
	fields, err := wire.Unmarshal(message, messageVersion, &emptyHeader{}, -1)
	if err != nil {
		return renewRequest{}, err
	}
	if len(fields) < 2 {
		return renewRequest{}, wire.ErrLength
	}
	epochs, err := machine.DecodeEpochs(fields[1])
	return renewRequest{string(fields[0]), epochs, toStrings(fields[2:])}, err
}

func toStrings(fields [][]byte) []string {
	converted := make([]string, 0, len(fields))
	for _, field := range fields {
		converted = append(converted, string(field))
	}
	return converted
}

// renew records a renewal and returns the jobs that are no longer open. Reading
// through the shard confirms leadership: a partitioned leader must not renew
// leases of a job that its successor has cancelled.
func (k *Keeper) renew(ctx context.Context, id ledger.ShardID, shard ledger.Shard, payload []byte) ([]byte, error) {
	request, err := decodeRenewRequest(payload)
	if err != nil {
		return nil, err
	}
	if err := shard.Read(ctx, func(ledger.Reader) error { return nil }); err != nil {
		return nil, err
	}
	closed := k.machines(id).Closed(request.jobIDs)
	k.mutex.Lock()
	k.tracker(id).renewed(time.Now(), request.dispatcher, request.epochs)
	k.mutex.Unlock()
	fields := make([][]byte, 0, len(closed))
	for _, jobID := range closed {
		fields = append(fields, []byte(jobID))
	}
	return wire.Marshal(messageVersion, emptyHeader{}, fields...)
}
