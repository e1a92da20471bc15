package batchwork

import (
	"errors"
	"fmt"
	"slices"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// RegionPolicy is where a job may be kept by the newest known configuration.
type RegionPolicy struct {
	// Regions are the permitted regions; nil is no restriction.
	Regions catalog.Regions
	// Version is the configuration's version.
	Version uint64
	// Preferred is the region that becomes the home of a queue without one; empty if no
	// permitted region can.
	Preferred string
}

func (p RegionPolicy) allows(shard ledger.ShardID) bool {
	return p.Regions == nil || slices.Contains(p.shards(), shard)
}

// shards returns the shards of the permitted regions; nil if all shards are permitted.
func (p RegionPolicy) shards() []ledger.ShardID {
	if p.Regions == nil {
		return nil
	}
	shards := make([]ledger.ShardID, 0, len(p.Regions))
	for _, region := range p.Regions {
		shards = append(shards, ledger.RegionShard(region))
	}
	return shards
}

func (p RegionPolicy) preferred() ledger.ShardID {
	if p.Regions == nil {
		return 0
	}
	return ledger.RegionShard(p.Preferred)
}

// placementCall is a call that a placement needs next.
type placementCall struct {
	shard   ledger.ShardID
	kind    transport.Kind
	payload []byte
	// body reports whether the payload contains item bodies.
	body bool
}

type placementStage uint8

const (
	// stageUnrestricted submits the job to shard 0, which stores unrestricted jobs.
	stageUnrestricted placementStage = iota
	// stageClaim asks shard 0 for the job's shard.
	stageClaim
	// stageVacate asks the previously claimed shard whether it has the job.
	stageVacate
	// stageFormerHomes asks the shards that may still have tokens of the job's queue.
	stageFormerHomes
	// stagePlace submits the job to the claimed shard.
	stagePlace
)

// placement tracks the submission of one job to its shard and does no I/O: nextCall returns
// the call to make, handleAnswer takes its answer. All calls are idempotent; one without an
// answer is repeated.
type placement struct {
	job     *Job
	encoded []byte
	stage   placementStage
	answer  claimAnswer
	// formerHomes are still to be asked; queuedElsewhere are the tokens counted so far.
	formerHomes     []ledger.ShardID
	queuedElsewhere int64
	// isEmpty reports whether a fenced shard is known to have no tokens of the queue, and
	// setEmpty records that; both may be nil.
	isEmpty  func(shard ledger.ShardID, epoch uint64) bool
	setEmpty func(shard ledger.ShardID, epoch uint64)
	// vacated is a shard that was fenced at vacatedEpoch and does not have the job.
	vacated      ledger.ShardID
	vacatedEpoch uint64
}

func newPlacement(job *Job) *placement { return &placement{job: job, encoded: encodeJob(job, true)} }

// nextCall returns the next call. It fails with ErrNoHome.
func (p *placement) nextCall(policy RegionPolicy) (placementCall, error) {
	restricted := policy.Regions != nil
	if p.stage == stageUnrestricted && restricted {
		p.stage = stageClaim
	}
	if p.stage > stageVacate && !policy.allows(p.answer.shard) {
		p.stage = stageClaim // the regions have changed
	}
	if p.stage == stageClaim && restricted && policy.Preferred == "" {
		return placementCall{}, fmt.Errorf("%w: %v", ErrNoHome, policy.Regions)
	}
	for p.stage == stageFormerHomes && p.skipsFormerHome() {
		p.nextFormerHome()
	}
	switch p.stage {
	case stageUnrestricted:
		return placementCall{kind: kindSubmit, payload: p.encoded, body: true}, nil
	case stageVacate:
		request := fenceRequest{epoch: p.answer.epoch, job: p.job.ID, queue: p.job.queue()}
		return placementCall{shard: p.answer.shard, kind: kindFence, payload: request.marshal()}, nil
	case stageFormerHomes:
		request := fenceRequest{epoch: p.answer.homeEpoch, queue: p.job.queue()}
		return placementCall{shard: p.formerHomes[0], kind: kindFence, payload: request.marshal()}, nil
	case stagePlace:
		fixed := fixedClaimedJob{p.answer.epoch, p.queuedElsewhere}
		return placementCall{shard: p.answer.shard, kind: kindPlace, payload: marshal(fixed, p.encoded), body: true}, nil
	}
	request := claimRequest{
		job: p.job.ID, queue: p.job.queue(), retention: p.job.Retention, version: policy.Version,
		allowed: policy.shards(), preferred: policy.preferred(), vacated: p.vacated, vacatedEpoch: p.vacatedEpoch,
	}
	return placementCall{kind: kindClaim, payload: request.marshal()}, nil
}

// skipsFormerHome reports whether the next former home need not be asked.
func (p *placement) skipsFormerHome() bool {
	return p.job.QueuedTokens <= 0 || (p.isEmpty != nil && p.isEmpty(p.formerHomes[0], p.answer.homeEpoch))
}

func (p *placement) nextFormerHome() {
	p.formerHomes = p.formerHomes[1:]
	if len(p.formerHomes) == 0 {
		p.stage = stagePlace
	}
}

// handleAnswer processes the answer to the call from nextCall. done reports that the
// placement has ended with outcome, nil if the job is stored.
func (p *placement) handleAnswer(content []byte, err error) (done bool, outcome error) {
	var other *otherShardError
	switch {
	case errors.As(err, &other), errors.Is(err, errMoved):
		p.stage = stageClaim
		return false, nil
	case err != nil:
		return true, err
	}
	switch p.stage {
	case stageClaim:
		return p.handleClaim(content)
	case stageVacate, stageFormerHomes:
		return p.handleFence(content)
	}
	return true, nil
}

func (p *placement) handleClaim(content []byte) (bool, error) {
	answer, err := unmarshalClaimAnswer(content)
	if err != nil {
		return true, err
	}
	if answer.kept {
		return true, nil
	}
	p.answer, p.formerHomes, p.queuedElsewhere = answer, answer.formerHomes, answer.queued
	switch {
	case answer.vacate:
		p.stage = stageVacate
	case len(answer.formerHomes) > 0:
		p.stage = stageFormerHomes
	default:
		p.stage = stagePlace
	}
	return false, nil
}

func (p *placement) handleFence(content []byte) (bool, error) {
	var answer fenceAnswer
	if _, err := unmarshal(content, &answer, 0); err != nil {
		return true, err
	}
	if p.stage == stageVacate {
		p.vacated, p.vacatedEpoch = p.answer.shard, p.answer.epoch
		p.stage = stageClaim
		return answer.Known, nil
	}
	p.queuedElsewhere += answer.Queued
	if answer.Queued == 0 && p.setEmpty != nil {
		p.setEmpty(p.formerHomes[0], p.answer.homeEpoch)
	}
	p.nextFormerHome()
	return false, nil
}
