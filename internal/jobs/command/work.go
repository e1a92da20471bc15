package command

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/jobs/remote"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/wire"
)

const (
	// maxLeaseBytes bounds the items of one lease request.
	maxLeaseBytes = 4 << 20
	// leaseTimeout bounds a lease request to one shard; others may have items.
	leaseTimeout = time.Second
	// offerTimeout bounds the wait for the offers of all shards.
	offerTimeout = time.Second
	// The interval of offer refreshes grows with the number of shards, which
	// bounds a node's request rate.
	offerInterval         = 500 * time.Millisecond
	offerIntervalPerShard = 50 * time.Millisecond
	// maxReportBytes and maxReportResults bound one Report entry.
	maxReportBytes   = 4 << 20
	maxReportResults = 512
)

// Work implements jobs.Work from any node. Its methods may be called
// concurrently.
type Work struct {
	caller Caller

	// mutex guards the fields below; no I/O is done while it is held.
	mutex      sync.Mutex
	offers     map[ledger.ShardID]map[string]modelOffer
	offersAt   time.Time
	refreshing bool
	held       map[heldKey]*heldLease
}

// heldKey identifies a lease held by this node.
type heldKey struct {
	jobID string
	epoch uint64
}

type heldLease struct {
	dispatcher string
	shard      ledger.ShardID
	remaining  map[uint32]struct{}
}

var _ jobs.Work = (*Work)(nil)

// NewWork returns a Work that reaches the shards through caller.
func NewWork(caller Caller) *Work {
	return &Work{
		caller: caller, held: map[heldKey]*heldLease{}, offers: map[ledger.ShardID]map[string]modelOffer{},
	}
}

// Lease implements jobs.Work. The leases' Expires is the time until which the
// dispatcher may start their items, by this node's clock.
func (w *Work) Lease(ctx context.Context, dispatcher, model string, count int) ([]jobs.Lease, error) {
	w.refreshOffers(ctx)
	var failures []error
	for _, shard := range w.shardsOffering(model) {
		leases, err := w.LeaseAt(ctx, shard, dispatcher, model, count)
		if err != nil {
			failures = append(failures, err)
			w.setOffer(shard, model, modelOffer{})
			continue
		}
		if len(leases) > 0 {
			return leases, nil
		}
	}
	return nil, trace.NewAggregate(failures...)
}

// LeaseAt leases items of one shard.
func (w *Work) LeaseAt(ctx context.Context, shard ledger.ShardID, dispatcher, model string, count int) ([]jobs.Lease, error) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	answer, err := execute(ctx, w.caller, remote.OperationLease, shard, &machine.LeaseItems{
		Dispatcher: dispatcher, Model: model, Count: uint32(count), MaxBytes: maxLeaseBytes,
	})
	if err != nil {
		return nil, err
	}
	if err := checkAnswer("lease items", answer); err != nil {
		return nil, err
	}
	if len(answer.Leases) == 0 {
		w.setOffer(shard, model, modelOffer{})
	}
	for i := range answer.Leases {
		answer.Leases[i].Expires = sent.Add(StartValidity)
		w.addHeld(shard, dispatcher, answer.Leases[i])
	}
	return answer.Leases, nil
}

func (w *Work) addHeld(shard ledger.ShardID, dispatcher string, lease jobs.Lease) {
	held := &heldLease{dispatcher: dispatcher, shard: shard, remaining: make(map[uint32]struct{}, len(lease.Items))}
	for _, item := range lease.Items {
		held.remaining[item.Index] = struct{}{}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.held[heldKey{lease.JobID, lease.Epoch}] = held
}

func (w *Work) setOffer(shard ledger.ShardID, model string, offer modelOffer) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.offers[shard] == nil {
		w.offers[shard] = map[string]modelOffer{}
	}
	w.offers[shard][model] = offer
}

// shardsOffering returns the shards where items of the model wait, in the order
// in which to request leases.
func (w *Work) shardsOffering(model string) []ledger.ShardID {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var offers []shardOffer
	for shard, ofShard := range w.offers {
		if offer := ofShard[model]; offer.Items > 0 {
			offers = append(offers, shardOffer{shard, offer})
		}
	}
	return leaseOrder(offers, rand.Float64)
}

type shardOffer struct {
	shard ledger.ShardID
	modelOffer
}

// leaseOrder puts shards with urgent jobs first, by slack. The others follow in
// random order, weighted by the waiting tenants, so that over many leases each
// tenant gets its share regardless of the shard of its jobs.
func leaseOrder(offers []shardOffer, random func() float64) []ledger.ShardID {
	slices.SortFunc(offers, func(a, b shardOffer) int { return cmp.Compare(a.shard, b.shard) })
	rank := make(map[ledger.ShardID]float64, len(offers))
	for _, offer := range offers {
		if slack := time.Duration(offer.Slack) * time.Millisecond; slack < machine.UrgentSlack {
			rank[offer.shard] = slack.Seconds() - machine.UrgentSlack.Seconds()
			continue
		}
		rank[offer.shard] = -math.Log(1-random()) / float64(max(offer.Weight, 1))
	}
	slices.SortStableFunc(offers, func(a, b shardOffer) int { return cmp.Compare(rank[a.shard], rank[b.shard]) })
	shards := make([]ledger.ShardID, 0, len(offers))
	for _, offer := range offers {
		shards = append(shards, offer.shard)
	}
	return shards
}

// refreshOffers requests the offers of all shards in the background, unless a
// refresh is recent or in progress. Each answer is applied on arrival, so that a
// shard without a leader delays no other.
func (w *Work) refreshOffers(ctx context.Context) {
	if !w.beginRefresh(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), offerTimeout)
	var group sync.WaitGroup
	for shard := range ledger.ShardID(w.caller.Shards()) {
		group.Go(func() {
			offers := w.fetchOffers(ctx, shard)
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.offers[shard] = offers
		})
	}
	go func() {
		group.Wait()
		cancel()
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.refreshing = false
	}()
}

func (w *Work) beginRefresh(now time.Time) bool {
	interval := max(offerInterval, time.Duration(w.caller.Shards())*offerIntervalPerShard)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.refreshing || now.Sub(w.offersAt) < interval {
		return false
	}
	w.refreshing = true
	w.offersAt = now
	return true
}

func (w *Work) fetchOffers(ctx context.Context, shard ledger.ShardID) map[string]modelOffer {
	answer, err := w.caller.Call(ctx, remote.OperationOffer, shard, nil)
	if err != nil {
		return nil
	}
	fields, err := wire.Unmarshal(answer, messageVersion, &emptyHeader{}, -1)
	if err != nil {
		return nil
	}
	offers := map[string]modelOffer{}
	for ; len(fields) >= 2; fields = fields[2:] {
		var offer modelOffer
		if _, err := wire.Unmarshal(fields[1], messageVersion, &offer, 0); err == nil {
			offers[string(fields[0])] = offer
		}
	}
	return offers
}

// Start implements jobs.Work. After an error, the start may or may not be
// recorded: the item must not be sent and must be handed back.
func (w *Work) Start(ctx context.Context, lease jobs.Lease, index uint32) (bool, error) {
	shard, ok := jobs.ShardOfJob(lease.JobID, w.caller.Shards())
	if !ok {
		return false, ErrNotFound
	}
	answer, err := propose(ctx, w.caller, shard, &machine.Start{JobID: lease.JobID, Index: index, Epoch: lease.Epoch})
	if err != nil {
		return false, trace.Wrap(err, "start item %d of %s", index, lease.JobID)
	}
	return answer.Code == machine.CodeOK, nil
}

// Report implements jobs.Work. After a failure, some results may be committed;
// reporting them again is idempotent.
func (w *Work) Report(ctx context.Context, results []jobs.Result) error {
	var group errgroup.Group
	for shard, ofShard := range w.groupByShard(results) {
		group.Go(func() error { return w.reportShard(ctx, shard, ofShard) })
	}
	return group.Wait()
}

func (w *Work) groupByShard(results []jobs.Result) map[ledger.ShardID][]jobs.Result {
	grouped := map[ledger.ShardID][]jobs.Result{}
	for _, result := range results {
		if shard, ok := jobs.ShardOfJob(result.JobID, w.caller.Shards()); ok {
			grouped[shard] = append(grouped[shard], result)
		}
	}
	return grouped
}

func (w *Work) reportShard(ctx context.Context, shard ledger.ShardID, results []jobs.Result) error {
	for len(results) > 0 {
		count := entryCount(results)
		if _, err := propose(ctx, w.caller, shard, &machine.Report{Results: results[:count]}); err != nil {
			return trace.Wrap(err, "report results")
		}
		w.removeReported(results[:count])
		results = results[count:]
	}
	return nil
}

// entryCount returns the number of leading results that fit into one entry.
func entryCount(results []jobs.Result) int {
	bytes := 0
	for i, result := range results {
		bytes += len(result.Body)
		if i > 0 && (i == maxReportResults || bytes > maxReportBytes) {
			return i
		}
	}
	return len(results)
}

// removeReported removes reported items and leases without remaining items,
// which are then no longer renewed.
func (w *Work) removeReported(results []jobs.Result) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, result := range results {
		key := heldKey{result.JobID, result.Epoch}
		held, ok := w.held[key]
		if !ok {
			continue
		}
		delete(held.remaining, result.Index)
		if len(held.remaining) == 0 {
			delete(w.held, key)
		}
	}
}

// Renew implements jobs.Work. It renews the dispatcher's leases of the jobs and
// returns those that are final. A failure is a *jobs.RenewError.
func (w *Work) Renew(ctx context.Context, dispatcher string, jobIDs []string) (revoked []string, err error) {
	requests := w.renewals(dispatcher, jobIDs)
	answers := make([][]string, len(requests))
	failures := make([]error, len(requests))
	var group sync.WaitGroup
	for i, request := range requests {
		group.Go(func() { answers[i], failures[i] = w.renewShard(ctx, request.shard, &request.renewRequest) })
	}
	group.Wait()
	failed := &jobs.RenewError{}
	for i, answer := range answers {
		revoked = append(revoked, answer...)
		if failures[i] != nil {
			failed.JobIDs = append(failed.JobIDs, requests[i].jobIDs...)
			failed.Cause = failures[i]
		}
	}
	w.removeJobs(revoked)
	if failed.Cause != nil {
		return revoked, failed
	}
	return revoked, nil
}

type shardRenewal struct {
	shard ledger.ShardID
	renewRequest
}

func (w *Work) renewals(dispatcher string, jobIDs []string) []shardRenewal {
	byShard := map[ledger.ShardID]*shardRenewal{}
	for _, jobID := range jobIDs {
		shard, ok := jobs.ShardOfJob(jobID, w.caller.Shards())
		if !ok {
			continue
		}
		if byShard[shard] == nil {
			byShard[shard] = &shardRenewal{shard, renewRequest{dispatcher: dispatcher}}
		}
		byShard[shard].jobIDs = append(byShard[shard].jobIDs, jobID)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for key, held := range w.held {
		renewal, requested := byShard[held.shard]
		if requested && held.dispatcher == dispatcher && slices.Contains(renewal.jobIDs, key.jobID) {
			renewal.epochs = append(renewal.epochs, key.epoch)
		}
	}
	renewals := make([]shardRenewal, 0, len(byShard))
	for _, renewal := range byShard {
		renewals = append(renewals, *renewal)
	}
	return renewals
}

func (w *Work) renewShard(ctx context.Context, shard ledger.ShardID, request *renewRequest) ([]string, error) {
	payload, err := request.encode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := w.caller.Call(ctx, remote.OperationRenew, shard, payload)
	if err != nil {
		return nil, trace.Wrap(err, "renew leases")
	}
	fields, err := wire.Unmarshal(answer, messageVersion, &emptyHeader{}, -1)
	if err != nil {
		return nil, trace.Wrap(err, "renew leases")
	}
	return toStrings(fields), nil
}

// removeJobs removes the leases of final jobs.
func (w *Work) removeJobs(jobIDs []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for key := range w.held {
		if slices.Contains(jobIDs, key.jobID) {
			delete(w.held, key)
		}
	}
}
