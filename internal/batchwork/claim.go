package batchwork

import (
	"encoding/binary"
	"slices"
	"time"

	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/wire"
)

// Jobs that have to stay in regions are kept by the shard of one of these regions.
// Which one a job is at, and which one new jobs of a queue go to (its home), is agreed
// on in shard 0: it holds claims and homes, but nothing of the jobs themselves. So a job
// that is sent again finds its own record whatever the regions are by then, and all jobs
// of a queue are at one shard, whose bound on waiting tokens holds by itself.
//
// Each claim gets an epoch, the index of its entry. A shard that a job or a queue is
// moved away from is fenced first: it takes nothing any more that was claimed before.

// claim says which shard a job is at, or will be at if it is taken at all.
type claim struct {
	shard  ledger.ShardID
	tenant string
	queue  queue
	// epoch is that of the last answer that let the job be sent there.
	epoch     uint64
	at        int64 // Unix milliseconds
	retention int64
}

// home is where the jobs of a queue go.
type home struct {
	shard ledger.ShardID
	// epoch is when it became the home, and version the newest configuration by which
	// it was asked for.
	epoch, version uint64
	// formers may still have tokens of the queue waiting.
	formers []ledger.ShardID
	claims  int // of jobs of the queue
}

// fenceRecord keeps out what was claimed before an epoch.
type fenceRecord struct {
	epoch uint64
	at    int64 // Unix milliseconds
}

func (q queue) name() string       { return q.route + "\x00" + q.tenant }
func (q queue) fenceName() string  { return "q" + q.name() }
func jobFenceName(j string) string { return "j" + j }

// Keys of the store, beside those of jobs.
const (
	keyClaim = 'c' // by job
	keyHome  = 'h' // by queue
	keyFence = 'f' // by job or queue
)

// claimRequest asks shard 0 where a job is to go.
type claimRequest struct {
	job       string
	queue     queue
	retention time.Duration
	// version is the configuration by which the shards below are allowed; nil allows
	// all. preferred becomes the queue's home if it needs one.
	version   uint64
	allowed   []ledger.ShardID
	preferred ledger.ShardID
	// vacated is a shard that said that it hasn't got the job, fenced at an epoch; 0 is
	// no epoch.
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
	return marshal(fixed, []byte(r.job), []byte(r.queue.route), []byte(r.queue.tenant), packShards(r.allowed))
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
		request.allowed, err = unpackShards(fields[3])
	}
	return request, err
}

func (r claimRequest) allows(shard ledger.ShardID) bool {
	return r.allowed == nil || slices.Contains(r.allowed, shard)
}

func packShards(shards []ledger.ShardID) []byte {
	packed := make([]byte, 0, 4*len(shards))
	for _, shard := range shards {
		packed = binary.BigEndian.AppendUint32(packed, uint32(shard))
	}
	return packed
}

// unpackShards returns an empty list, not nil, for none.
func unpackShards(packed []byte) ([]ledger.ShardID, error) {
	if len(packed)%4 != 0 {
		return nil, wire.ErrLength
	}
	shards := make([]ledger.ShardID, 0, len(packed)/4)
	for ; len(packed) > 0; packed = packed[4:] {
		shards = append(shards, ledger.ShardID(binary.BigEndian.Uint32(packed)))
	}
	return shards, nil
}

// claimAnswer says where a job is to go.
type claimAnswer struct {
	// kept: shard 0 has the job itself.
	kept bool
	// vacate: the job may be at a shard that isn't its queue's home any more; that has
	// to be fenced and asked before the job goes elsewhere.
	vacate bool
	shard  ledger.ShardID
	epoch  uint64
	// homeEpoch, formers and queued tell of the queue: since when its home is what it
	// is, where else tokens may wait, and how many do at shard 0.
	homeEpoch uint64
	formers   []ledger.ShardID
	queued    int64
}

type fixedClaimAnswer struct {
	Kept, Vacate     bool
	Shard            uint32
	Epoch, HomeEpoch uint64
	Queued           int64
}

func (a claimAnswer) marshal() []byte {
	fixed := fixedClaimAnswer{a.kept, a.vacate, uint32(a.shard), a.epoch, a.homeEpoch, a.queued}
	return marshal(fixed, packShards(a.formers))
}

func unmarshalClaimAnswer(encoded []byte) (claimAnswer, error) {
	var fixed fixedClaimAnswer
	fields, err := unmarshal(encoded, &fixed, 1)
	if err != nil {
		return claimAnswer{}, err
	}
	formers, err := unpackShards(fields[0])
	return claimAnswer{
		kept: fixed.Kept, vacate: fixed.Vacate, shard: ledger.ShardID(fixed.Shard), epoch: fixed.Epoch,
		homeEpoch: fixed.HomeEpoch, formers: formers, queued: fixed.Queued,
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
			return answerForeign, nil, nil
		}
		return answerDone, claimAnswer{kept: true}.marshal(), nil
	}
	former := m.claims[request.job]
	if former != nil && former.tenant != request.queue.tenant {
		return answerForeign, nil, nil
	}
	settled, err := m.settle(writer, index, request)
	if err != nil || settled == nil {
		return answerOutdated, nil, err
	}
	if former != nil && former.shard != settled.shard {
		denied := request.vacatedEpoch > former.epoch && request.vacated == former.shard
		if !denied {
			return answerDone, claimAnswer{vacate: true, shard: former.shard, epoch: index}.marshal(), nil
		}
	}
	next := &claim{
		shard: settled.shard, tenant: request.queue.tenant, queue: request.queue, epoch: index, at: at, retention: int64(request.retention),
	}
	if err := m.setClaim(writer, request.job, next); err != nil {
		return 0, nil, err
	}
	answer := claimAnswer{shard: settled.shard, epoch: index, homeEpoch: settled.epoch, formers: settled.formers}
	if settled.shard != 0 && !slices.Contains(settled.formers, 0) { // a former home is asked for its own
		answer.queued = m.queued[request.queue]
	}
	return answerDone, answer.marshal(), nil
}

// settle returns the home of a request's queue, after giving it one that is allowed; nil
// if a newer configuration than the request's doesn't allow what it does.
func (m *Machine) settle(writer ledger.Writer, index uint64, request claimRequest) (*home, error) {
	known := m.homes[request.queue]
	next := home{shard: request.preferred, epoch: index, version: request.version}
	switch {
	case known == nil:
	case request.allows(known.shard):
		next = *known
		next.version = max(known.version, request.version)
	case request.version < known.version:
		return nil, nil
	default:
		next.claims = known.claims
		next.formers = append(slices.Clone(known.formers), known.shard)
		next.formers = slices.DeleteFunc(next.formers, func(shard ledger.ShardID) bool { return shard == next.shard })
	}
	if known != nil && next.version == known.version && next.shard == known.shard {
		return known, nil
	}
	m.homes[request.queue] = &next
	return &next, writer.Set(key(keyHome, request.queue.name()), next.marshal())
}

func (m *Machine) setClaim(writer ledger.Writer, job string, next *claim) error {
	if former := m.claims[job]; former != nil {
		m.countClaim(former.queue, -1)
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

// elsewhere finds the other shard that has a job, or would have it.
func (m *Machine) elsewhere(name jobName) (ledger.ShardID, bool) {
	known := m.claims[name.job]
	if known == nil || known.shard == 0 || (known.tenant != "" && known.tenant != name.tenant) {
		return 0, false
	}
	return known.shard, true
}

// locate is elsewhere for readers beside Apply.
func (m *Machine) locate(name jobName) (ledger.ShardID, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.elsewhere(name)
}

// fenceRequest keeps out what was claimed before an epoch: a job, or all of a queue.
type fenceRequest struct {
	epoch uint64
	job   string // empty: the queue
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

// fenceAnswer tells what a fenced shard has: the job, and the queue's waiting tokens.
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

// fenced says that a job was claimed before it, or its queue, was moved away from here.
func (m *Machine) fenced(job *Job, epoch uint64) bool {
	return epoch < max(m.fences[job.queue().fenceName()].epoch, m.fences[jobFenceName(job.ID)].epoch)
}

// fixedPlace heads a job on its way to the shard that was claimed for it: Elsewhere are
// the tokens of its queue that wait at other shards.
type fixedPlace struct {
	Epoch     uint64
	Elsewhere int64
}

// place applies a submission to the shard that was claimed; the caller holds the mutex.
func (m *Machine) place(writer ledger.Writer, fields [][]byte) (byte, error) {
	var fixed fixedPlace
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
	return m.take(writer, job, fixed.Elsewhere)
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
	return marshal(fixedHomeRecord{uint32(h.shard), h.epoch, h.version}, packShards(h.formers))
}
