package batchwork

import (
	"errors"
	"fmt"
	"slices"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/ledger"
	"chutelock.dev/chutelock/internal/transport"
)

// Within is where a job may be kept, by the newest configuration known here.
type Within struct {
	// Regions are the allowed ones; nil is no restriction.
	Regions catalog.Regions
	// Version is that of the configuration.
	Version uint64
	// Preferred is the region whose shard is to keep the queue's jobs if none does yet;
	// empty if no allowed region can.
	Preferred string
}

func (w Within) allows(shard ledger.ShardID) bool {
	return w.Regions == nil || slices.Contains(w.shards(), shard)
}

// shards are those of the allowed regions; nil if all shards are allowed.
func (w Within) shards() []ledger.ShardID {
	if w.Regions == nil {
		return nil
	}
	shards := make([]ledger.ShardID, 0, len(w.Regions))
	for _, region := range w.Regions {
		shards = append(shards, ledger.RegionShard(region))
	}
	return shards
}

func (w Within) preferred() ledger.ShardID {
	if w.Regions == nil {
		return 0
	}
	return ledger.RegionShard(w.Preferred)
}

// order is a call that a placing wants to be made.
type order struct {
	shard   ledger.ShardID
	kind    transport.Kind
	payload []byte
	// body says that the payload holds the job's bodies.
	body bool
}

type placingStage uint8

const (
	// stagePlain hands the job to shard 0, where unrestricted jobs go.
	stagePlain placingStage = iota
	// stageClaim asks shard 0 where it is to go.
	stageClaim
	// stageVacate asks the shard that was claimed before whether it has the job.
	stageVacate
	// stageFormers asks the shards where tokens of the job's queue may still wait.
	stageFormers
	// stagePlace hands the job to the shard that was claimed.
	stagePlace
)

// placing leads one job to the shard that keeps it. It is pure: next says which call to
// make, take what came of it. A call whose answer is lost is made again; all of them
// may be repeated.
type placing struct {
	job     *Job
	encoded []byte
	stage   placingStage
	answer  claimAnswer
	// formers are those still to be asked, and elsewhere what the asked ones have.
	formers   []ledger.ShardID
	elsewhere int64
	// empty says that a fenced shard was seen without tokens of the queue, and noteEmpty
	// remembers that; they may be nil.
	empty     func(shard ledger.ShardID, epoch uint64) bool
	noteEmpty func(shard ledger.ShardID, epoch uint64)
	// vacated is a shard that said that it hasn't got the job.
	vacated      ledger.ShardID
	vacatedEpoch uint64
}

func newPlacing(job *Job) *placing { return &placing{job: job, encoded: encodeJob(job, true)} }

// next returns the call to make by what is known now. It fails with ErrNoHome.
func (p *placing) next(within Within) (order, error) {
	restricted := within.Regions != nil
	if p.stage == stagePlain && restricted {
		p.stage = stageClaim
	}
	if p.stage > stageVacate && !within.allows(p.answer.shard) {
		p.stage = stageClaim // the regions changed meanwhile
	}
	if p.stage == stageClaim && restricted && within.Preferred == "" {
		return order{}, fmt.Errorf("%w: %v", ErrNoHome, within.Regions)
	}
	for p.stage == stageFormers && p.skipsFormer() {
		p.nextFormer()
	}
	switch p.stage {
	case stagePlain:
		return order{kind: kindSubmit, payload: p.encoded, body: true}, nil
	case stageVacate:
		request := fenceRequest{epoch: p.answer.epoch, job: p.job.ID, queue: p.job.queue()}
		return order{shard: p.answer.shard, kind: kindFence, payload: request.marshal()}, nil
	case stageFormers:
		request := fenceRequest{epoch: p.answer.homeEpoch, queue: p.job.queue()}
		return order{shard: p.formers[0], kind: kindFence, payload: request.marshal()}, nil
	case stagePlace:
		fixed := fixedPlace{p.answer.epoch, p.elsewhere}
		return order{shard: p.answer.shard, kind: kindPlace, payload: marshal(fixed, p.encoded), body: true}, nil
	}
	request := claimRequest{
		job: p.job.ID, queue: p.job.queue(), retention: p.job.Retention, version: within.Version,
		allowed: within.shards(), preferred: within.preferred(), vacated: p.vacated, vacatedEpoch: p.vacatedEpoch,
	}
	return order{kind: kindClaim, payload: request.marshal()}, nil
}

// skipsFormer says whether the next former need not be asked.
func (p *placing) skipsFormer() bool {
	return p.job.QueuedTokens <= 0 || (p.empty != nil && p.empty(p.formers[0], p.answer.homeEpoch))
}

func (p *placing) nextFormer() {
	p.formers = p.formers[1:]
	if len(p.formers) == 0 {
		p.stage = stagePlace
	}
}

// take takes the answer to the call that next returned. done says that err is the
// outcome: nil if the job is kept.
func (p *placing) take(content []byte, err error) (done bool, outcome error) {
	var away *elsewhereError
	switch {
	case errors.As(err, &away), errors.Is(err, errMoved):
		p.stage = stageClaim
		return false, nil
	case err != nil:
		return true, err
	}
	switch p.stage {
	case stageClaim:
		return p.takeClaim(content)
	case stageVacate, stageFormers:
		return p.takeFence(content)
	}
	return true, nil
}

func (p *placing) takeClaim(content []byte) (bool, error) {
	answer, err := unmarshalClaimAnswer(content)
	if err != nil {
		return true, err
	}
	if answer.kept {
		return true, nil
	}
	p.answer, p.formers, p.elsewhere = answer, answer.formers, answer.queued
	switch {
	case answer.vacate:
		p.stage = stageVacate
	case len(answer.formers) > 0:
		p.stage = stageFormers
	default:
		p.stage = stagePlace
	}
	return false, nil
}

func (p *placing) takeFence(content []byte) (bool, error) {
	var answer fenceAnswer
	if _, err := unmarshal(content, &answer, 0); err != nil {
		return true, err
	}
	if p.stage == stageVacate {
		p.vacated, p.vacatedEpoch = p.answer.shard, p.answer.epoch
		p.stage = stageClaim
		return answer.Known, nil
	}
	p.elsewhere += answer.Queued
	if answer.Queued == 0 && p.noteEmpty != nil {
		p.noteEmpty(p.formers[0], p.answer.homeEpoch)
	}
	p.nextFormer()
	return false, nil
}
