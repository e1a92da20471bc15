package batchwork

import (
	"encoding/binary"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/wire"
)

// A job restricted to regions is stored by the shard of one of these regions. Shard 0 stores
// only where it is:
//
//   - A claim assigns a job to a shard, so that a resubmitted job is found even if its regions
//     have changed.
//   - A home assigns a queue to a shard, so that a single shard enforces the queue's token
//     bound.
//
// The epoch of a claim is the index of its entry. Before a job or queue moves, its old shard
// is fenced: it rejects every job claimed at an earlier epoch.
//
// The types named fixed... are the fixed-size parts of encodings; fields of variable length
// follow them.

// claim assigns a job to a shard, whether or not the job has been accepted there.
type claim struct {
	shard  ledger.ShardID
	tenant string
	queue  queue
	// epoch is that of the last answer that allowed the job to be sent there.
	epoch     uint64
	at        int64 // Unix milliseconds
	retention int64 // nanoseconds
}

// home is the shard for new jobs of a queue.
type home struct {
	shard ledger.ShardID
	// epoch is that of its assignment; version is the newest configuration version of a
	// request for it.
	epoch, version uint64
	// formerHomes may still have queued tokens.
	formerHomes []ledger.ShardID
	claims      int // claims of the queue's jobs
}

// fenceRecord rejects jobs claimed before an epoch.
type fenceRecord struct {
	epoch uint64
	at    int64 // Unix milliseconds
}

func (q queue) name() string       { return q.route + "\x00" + q.tenant }
func (q queue) fenceName() string  { return "q" + q.name() }
func jobFenceName(j string) string { return "j" + j }

// Key prefixes of the store, in addition to those in command.go.
const (
	keyClaim = 'c' // by job
	keyHome  = 'h' // by queue
	keyFence = 'f' // by job or queue
)

// claimRequest asks shard 0 for a job's shard.
type claimRequest struct {
	job       string
	queue     queue
	retention time.Duration
	// version is that of the configuration behind allowed; a nil allowed permits all shards.
	// preferred becomes the queue's home if it needs a new one.
	version   uint64
	allowed   []ledger.ShardID
	preferred ledger.ShardID
	// vacated is a shard that was fenced at vacatedEpoch and doesn't have the job; epoch 0
	// means none.
	vacated      ledger.ShardID
	vacatedEpoch uint64
}

type fixedClaim struct {
	Version, VacatedEpoch uint64
	Retention             int64
	Preferred, Vacated    uint32
	Any                   bool
}

func (r claimRequest) marshal() []byte {
	fixed := fixedClaim{r.version, r.vacatedEpoch, int64(r.retention), uint32(r.preferred), uint32(r.vacated), r.allowed == nil}
	return marshal(fixed, []byte(r.job), []byte(r.queue.route), []byte(r.queue.tenant), encodeShards(r.allowed))
}

func unmarshalClaim(encoded []byte) (claimRequest, error) {
	var fixed fixedClaim
	fields, err := unmarshal(encoded, &fixed, 4)
	if err != nil {
		return claimRequest{}, err
	}
	request := claimRequest{
		job: string(fields[0]), queue: queue{string(fields[1]), string(fields[2])}, retention: time.Duration(fixed.Retention),
		version: fixed.Version, preferred: ledger.ShardID(fixed.Preferred),
		vacated: ledger.ShardID(fixed.Vacated), vacatedEpoch: fixed.VacatedEpoch,
	}
	if !fixed.Any {
		request.allowed, err = decodeShards(fields[3])
	}
	return request, err
}

func (r claimRequest) allows(shard ledger.ShardID) bool {
	return r.allowed == nil || slices.Contains(r.allowed, shard)
}

func encodeShards(shards []ledger.ShardID) []byte {
	encoded := make([]byte, 0, 4*len(shards))
	for _, shard := range shards {
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(shard))
	}
	return encoded
}

// decodeShards returns an empty, non-nil list for empty input.
func decodeShards(encoded []byte) ([]ledger.ShardID, error) {
	if len(encoded)%4 != 0 {
		return nil, wire.ErrLength
	}
	shards := make([]ledger.ShardID, 0, len(encoded)/4)
	for ; len(encoded) > 0; encoded = encoded[4:] {
		shards = append(shards, ledger.ShardID(binary.BigEndian.Uint32(encoded)))
	}
	return shards, nil
}

// claimAnswer is shard 0's answer to a claimRequest.
type claimAnswer struct {
	// kept: shard 0 has the job itself.
	kept bool
	// vacate: the job may be at shard, which is no longer its queue's home; shard must be
	// fenced and queried before the job goes elsewhere.
	vacate bool
	shard  ledger.ShardID
	epoch  uint64
	// homeEpoch is the epoch of the queue's home, formerHomes are the shards that may have
	// other queued tokens, and queued is the number of those at shard 0.
	homeEpoch   uint64
	formerHomes []ledger.ShardID
	queued      int64
}

type fixedClaimAnswer struct {
	Kept, Vacate     bool
	Shard            uint32
	Epoch, HomeEpoch uint64
	Queued           int64
}

func (a claimAnswer) marshal() []byte {
	fixed := fixedClaimAnswer{a.kept, a.vacate, uint32(a.shard), a.epoch, a.homeEpoch, a.queued}
	return marshal(fixed, encodeShards(a.formerHomes))
}

func unmarshalClaimAnswer(encoded []byte) (claimAnswer, error) {
	var fixed fixedClaimAnswer
	fields, err := unmarshal(encoded, &fixed, 1)
	if err != nil {
		return claimAnswer{}, err
	}
	formerHomes, err := decodeShards(fields[0])
	return claimAnswer{
		kept: fixed.Kept, vacate: fixed.Vacate, shard: ledger.ShardID(fixed.Shard), epoch: fixed.Epoch,
		homeEpoch: fixed.HomeEpoch, formerHomes: formerHomes, queued: fixed.Queued,
	}, err
}

// claim applies a claimRequest; the caller holds the mutex.
func (m *Machine) claim(writer ledger.Writer, index uint64, at int64, field []byte) (byte, []byte, error) {
	request, err := unmarshalClaim(field)
	if err != nil {
		return 0, nil, err
	}
	if known := m.jobs[request.job]; known != nil {
		if known.Tenant != request.queue.tenant {
			return answerTenantMismatch, nil, nil
		}
		return answerDone, claimAnswer{kept: true}.marshal(), nil
	}
	previous := m.claims[request.job]
	if previous != nil && previous.tenant != request.queue.tenant {
		return answerTenantMismatch, nil, nil
	}
	home, err := m.resolveHome(writer, index, request)
	if err != nil || home == nil {
		return answerOutdated, nil, err
	}
	if previous != nil && previous.shard != home.shard {
		vacated := request.vacatedEpoch > previous.epoch && request.vacated == previous.shard
		if !vacated {
			return answerDone, claimAnswer{vacate: true, shard: previous.shard, epoch: index}.marshal(), nil
		}
	}
	next := &claim{
		shard: home.shard, tenant: request.queue.tenant, queue: request.queue, epoch: index, at: at, retention: int64(request.retention),
	}
	if err := m.setClaim(writer, request.job, next); err != nil {
		return 0, nil, err
	}
	answer := claimAnswer{shard: home.shard, epoch: index, homeEpoch: home.epoch, formerHomes: home.formerHomes}
	if home.shard != 0 && !slices.Contains(home.formerHomes, 0) { // a former home is queried for its own
		answer.queued = m.queued[request.queue]
	}
	return answerDone, answer.marshal(), nil
}

// resolveHome returns the home of a request's queue, assigning an allowed one if needed. It
// returns nil if the request's configuration is older than the home's and excludes it.
func (m *Machine) resolveHome(writer ledger.Writer, index uint64, request claimRequest) (*home, error) {
	current := m.homes[request.queue]
	next := home{shard: request.preferred, epoch: index, version: request.version}
	switch {
	case current == nil:
	case request.allows(current.shard):
		next = *current
		next.version = max(current.version, request.version)
	case request.version < current.version:
		return nil, nil
	default:
		next.claims = current.claims
		next.formerHomes = append(slices.Clone(current.formerHomes), current.shard)
		next.formerHomes = slices.DeleteFunc(next.formerHomes, func(shard ledger.ShardID) bool { return shard == next.shard })
	}
	if current != nil && next.version == current.version && next.shard == current.shard {
		return current, nil
	}
	m.homes[request.queue] = &next
	return &next, writer.Set(key(keyHome, request.queue.name()), next.marshal())
}

func (m *Machine) setClaim(writer ledger.Writer, job string, next *claim) error {
	if previous := m.claims[job]; previous != nil {
		m.countClaim(previous.queue, -1)
	}
	m.claims[job] = next
	m.countClaim(next.queue, 1)
	return writer.Set(key(keyClaim, job), next.marshal())
}

func (m *Machine) countClaim(of queue, change int) {
	if known := m.homes[of]; known != nil {
		known.claims += change
	}
}

// otherShard returns the other shard that a job was claimed for. All tenants can access a job
// without a tenant.
func (m *Machine) otherShard(name jobName) (ledger.ShardID, bool) {
	known := m.claims[name.job]
	if known == nil || known.shard == 0 || (known.tenant != "" && known.tenant != name.tenant) {
		return 0, false
	}
	return known.shard, true
}

// locate is otherShard for callers that don't hold the mutex.
func (m *Machine) locate(name jobName) (ledger.ShardID, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.otherShard(name)
}

// fenceRequest rejects claims before an epoch, for one job or for all of a queue.
type fenceRequest struct {
	epoch uint64
	job   string // empty: the whole queue
	queue queue
}

type fixedFence struct{ Epoch uint64 }

func (r fenceRequest) marshal() []byte {
	return marshal(fixedFence{r.epoch}, []byte(r.job), []byte(r.queue.route), []byte(r.queue.tenant))
}

func unmarshalFence(encoded []byte) (fenceRequest, error) {
	var fixed fixedFence
	fields, err := unmarshal(encoded, &fixed, 3)
	if err != nil {
		return fenceRequest{}, err
	}
	return fenceRequest{fixed.Epoch, string(fields[0]), queue{string(fields[1]), string(fields[2])}}, nil
}

// fenceAnswer reports whether a fenced shard has the job, and the queue's tokens there.
type fenceAnswer struct {
	Known  bool
	Queued int64
}

// fence applies a fenceRequest; the caller holds the mutex.
func (m *Machine) fence(writer ledger.Writer, at int64, field []byte) (byte, []byte, error) {
	request, err := unmarshalFence(field)
	if err != nil {
		return 0, nil, err
	}
	answer := fenceAnswer{Queued: m.queued[request.queue]}
	name := request.queue.fenceName()
	if request.job != "" {
		name = jobFenceName(request.job)
		answer.Known = m.jobs[request.job] != nil
	}
	if !answer.Known && m.fences[name].epoch < request.epoch {
		record := fenceRecord{request.epoch, at}
		m.fences[name] = record
		err = writer.Set(key(keyFence, name), marshal(fixedFenceRecord{record.epoch, record.at}))
	}
	return answerDone, marshal(answer), err
}

// fenced reports whether a job was claimed before it or its queue moved away from this
// shard.
func (m *Machine) fenced(job *Job, epoch uint64) bool {
	return epoch < max(m.fences[job.queue().fenceName()].epoch, m.fences[jobFenceName(job.ID)].epoch)
}

// fixedClaimedJob heads a job sent to the shard it was claimed for. QueuedElsewhere is the
// number of its queue's tokens at other shards.
type fixedClaimedJob struct {
	Epoch           uint64
	QueuedElsewhere int64
}

// acceptClaimed accepts a job claimed for this shard; the caller holds the mutex.
func (m *Machine) acceptClaimed(writer ledger.Writer, fields [][]byte) (byte, error) {
	var fixed fixedClaimedJob
	parts, err := unmarshal(fields[0], &fixed, 1)
	if err != nil {
		return 0, err
	}
	job, err := decodeJob(parts[0])
	if err != nil {
		return 0, err
	}
	if m.jobs[job.ID] == nil && m.fenced(job, fixed.Epoch) {
		return answerMoved, nil
	}
	return m.accept(writer, job, fixed.QueuedElsewhere)
}

// Records in the store.
type (
	fixedClaimRecord struct {
		Shard         uint32
		Epoch         uint64
		At, Retention int64
	}
	fixedHomeRecord struct {
		Shard          uint32
		Epoch, Version uint64
	}
	fixedFenceRecord struct {
		Epoch uint64
		At    int64
	}
)

func (c *claim) marshal() []byte {
	return marshal(fixedClaimRecord{uint32(c.shard), c.epoch, c.at, c.retention}, []byte(c.queue.route), []byte(c.queue.tenant))
}

func (h *home) marshal() []byte {
	return marshal(fixedHomeRecord{uint32(h.shard), h.epoch, h.version}, encodeShards(h.formerHomes))
}
