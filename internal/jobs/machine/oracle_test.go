package machine

import (
	"chutelock.dev/chutelock/internal/jobs"
)

// oracle is a reference model of the machine. It validates the machine's choice
// of items to lease instead of making its own.
type oracle struct {
	now  int64
	jobs map[string]*oracleJob    // by job id
	keys map[[2]string]*oracleJob // by tenant and idempotency key
}

type oracleJob struct {
	begin    JobBegin
	state    State
	appended []jobs.Item
	results  map[uint32]jobs.Result
	leased   map[uint32]uint64
	started  map[uint32]uint64
	faults   map[uint32]int
	losses   map[uint32]int
	dropped  uint32
	created  int64
	ended    int64
}

func newOracle() *oracle {
	return &oracle{jobs: map[string]*oracleJob{}, keys: map[[2]string]*oracleJob{}}
}

func (o *oracle) open(jobID string) *oracleJob {
	if job := o.jobs[jobID]; job != nil && job.state == StateInProgress {
		return job
	}
	return nil
}

// expect returns the expected answer to a command; answered is the machine's
// answer, for what the model leaves to the machine.
func (o *oracle) expect(at int64, index uint64, command Command, answered Answer) Answer {
	o.now = max(o.now, at)
	switch c := command.(type) {
	case *JobBegin:
		return o.begin(c, answered)
	case *JobAppend:
		return o.append(c)
	case *JobSeal:
		return o.seal(c)
	case *LeaseItems:
		return o.lease(c, index, answered)
	case *Start:
		return o.start(c)
	case *Report:
		return o.report(c)
	case *ExpireLeases:
		return o.expire(c)
	case *Cancel:
		return o.cancel(c)
	case *Tick:
		return o.tick()
	default:
		return Answer{}
	}
}

func (o *oracle) begin(c *JobBegin, answered Answer) Answer {
	if job := o.keys[[2]string{c.Tenant, c.Key}]; job != nil {
		if job.begin.Content != c.Content {
			return Answer{Code: CodeConflict, JobID: job.begin.JobID}
		}
		return Answer{
			Code: CodeOK, JobID: job.begin.JobID, Count: uint32(len(job.appended)), Sealed: job.state != StateReceiving,
		}
	}
	if o.jobs[c.JobID] != nil {
		return Answer{Code: CodeMalformed}
	}
	// The model does not predict feasibility: the machine may reject a
	// deadline, but only one before the time in its answer.
	deadline := c.Deadline.UnixMilli()
	if answered.Code == CodeDeadline && deadline < answered.Time.UnixMilli() || deadline < o.now+1000 {
		return Answer{Code: CodeDeadline, Time: answered.Time}
	}
	job := &oracleJob{
		begin: *c, state: StateReceiving, results: map[uint32]jobs.Result{}, leased: map[uint32]uint64{},
		started: map[uint32]uint64{}, faults: map[uint32]int{}, losses: map[uint32]int{}, created: o.now,
	}
	o.jobs[c.JobID] = job
	o.keys[[2]string{c.Tenant, c.Key}] = job
	return Answer{Code: CodeOK, JobID: c.JobID}
}

func (o *oracle) append(c *JobAppend) Answer {
	job := o.jobs[c.JobID]
	switch {
	case job == nil:
		return Answer{Code: CodeNotFound}
	case job.state != StateReceiving:
		return Answer{Code: CodeOK, Count: uint32(len(job.appended)), Sealed: true}
	case int(c.First) > len(job.appended):
		return Answer{Code: CodeGap, Count: uint32(len(job.appended))}
	case int(c.First)+len(c.Items) > int(job.begin.Items):
		return Answer{Code: CodeMalformed, Count: uint32(len(job.appended))}
	}
	for i, item := range c.Items {
		if int(c.First)+i == len(job.appended) {
			job.appended = append(job.appended, item)
		}
	}
	return Answer{Code: CodeOK, Count: uint32(len(job.appended))}
}

func (o *oracle) seal(c *JobSeal) Answer {
	job := o.jobs[c.JobID]
	switch {
	case job == nil:
		return Answer{Code: CodeNotFound}
	case job.state != StateReceiving:
		return Answer{Code: CodeOK, JobID: c.JobID, Sealed: true}
	case len(job.appended) != int(job.begin.Items) || c.Items != job.begin.Items:
		return Answer{Code: CodeGap, Count: uint32(len(job.appended))}
	}
	job.state = StateInProgress
	return Answer{Code: CodeOK, JobID: c.JobID}
}

// lease validates the machine's leases; an invalid one is missing in the
// expected answer.
func (o *oracle) lease(c *LeaseItems, index uint64, answered Answer) Answer {
	expected := Answer{Code: CodeOK}
	given := uint32(0)
	for _, lease := range answered.Leases {
		job := o.open(lease.JobID)
		if job == nil || job.begin.Model != c.Model || lease.Epoch != index || lease.Tenant != job.begin.Tenant {
			return expected
		}
		for _, item := range lease.Items {
			_, leased := job.leased[item.Index]
			_, final := job.results[item.Index]
			if leased || final || item.CustomID != job.appended[item.Index].CustomID {
				return expected
			}
			job.leased[item.Index] = index
			given++
		}
		expected.Leases = append(expected.Leases, lease)
	}
	if given > c.Count || given < min(c.Count, o.waiting(c.Model)+given) {
		return Answer{}
	}
	return expected
}

// waiting counts a model's items that are available for leasing.
func (o *oracle) waiting(model string) (count uint32) {
	for _, job := range o.jobs {
		if job.state == StateInProgress && job.begin.Model == model && job.begin.Deadline.UnixMilli() > o.now {
			for index := range job.begin.Items {
				_, leased := job.leased[index]
				_, final := job.results[index]
				if !leased && !final {
					count++
				}
			}
		}
	}
	return count
}

func (o *oracle) start(c *Start) Answer {
	job := o.open(c.JobID)
	if job == nil || job.begin.Deadline.UnixMilli() <= o.now || job.leased[c.Index] != c.Epoch || c.Epoch == 0 {
		return Answer{Code: CodeRefused}
	}
	if epoch, started := job.started[c.Index]; started && epoch != c.Epoch {
		return Answer{Code: CodeRefused}
	}
	job.started[c.Index] = c.Epoch
	return Answer{Code: CodeOK}
}

func (o *oracle) report(c *Report) Answer {
	expected := Answer{Code: CodeOK}
	for _, result := range c.Results {
		job := o.jobs[result.JobID]
		if job == nil || job.state == StateReceiving || result.Index >= job.begin.Items {
			continue
		}
		kept, final := job.results[result.Index]
		switch {
		case result.Status == jobs.ItemOpen && (final || job.state != StateInProgress):
		case result.Status == jobs.ItemOpen:
			o.returnItem(job, result)
		case final || job.state != StateInProgress:
			if !final || kept.Epoch != result.Epoch {
				job.dropped++
			}
		default:
			job.record(result)
			expected.Count++
		}
	}
	o.complete()
	return expected
}

func (j *oracleJob) record(result jobs.Result) {
	j.results[result.Index] = result
	delete(j.leased, result.Index)
	delete(j.started, result.Index)
}

func (o *oracle) returnItem(job *oracleJob, result jobs.Result) {
	if epoch, leased := job.leased[result.Index]; !leased || epoch != result.Epoch {
		return
	}
	if _, started := job.started[result.Index]; started && result.HTTPStatus != 0 {
		result.Status = jobs.ItemOutcomeUnknown
		job.record(result)
		return
	}
	delete(job.started, result.Index)
	switch result.HTTPStatus {
	case 0:
	case 502:
		job.losses[result.Index]++
	default:
		job.faults[result.Index]++
	}
	if job.faults[result.Index] == int(job.begin.MaxTries) || job.losses[result.Index] == 8 {
		result.Status = jobs.ItemFailed
		job.record(result)
		return
	}
	delete(job.leased, result.Index)
}

func (o *oracle) expire(c *ExpireLeases) Answer {
	expected := Answer{Code: CodeOK}
	for _, job := range o.jobs {
		if job.state != StateInProgress {
			continue
		}
		for _, epoch := range c.Epochs {
			if !job.holds(epoch) {
				continue
			}
			expected.Count++
			for index, held := range job.leased {
				if held != epoch {
					continue
				}
				if started, ok := job.started[index]; ok {
					job.record(jobs.Result{Index: index, Epoch: started, Status: jobs.ItemOutcomeUnknown})
				}
				delete(job.leased, index)
			}
		}
	}
	o.complete()
	return expected
}

func (j *oracleJob) holds(epoch uint64) bool {
	for _, held := range j.leased {
		if held == epoch {
			return true
		}
	}
	return false
}

func (o *oracle) complete() {
	for _, job := range o.jobs {
		if job.state == StateInProgress && len(job.results) == int(job.begin.Items) {
			o.end(job, StateCompleted)
		}
	}
}

func (o *oracle) end(job *oracleJob, state State) {
	job.state, job.ended = state, o.now
	job.leased = map[uint32]uint64{}
}

func (o *oracle) cancel(c *Cancel) Answer {
	job := o.jobs[c.JobID]
	if job == nil || job.begin.Tenant != c.Tenant {
		return Answer{Code: CodeNotFound}
	}
	switch job.state {
	case StateReceiving:
		o.remove(job)
	case StateInProgress:
		o.end(job, StateCancelled)
	}
	return Answer{Code: CodeOK}
}

func (o *oracle) remove(job *oracleJob) {
	delete(o.jobs, job.begin.JobID)
	delete(o.keys, [2]string{job.begin.Tenant, job.begin.Key})
}

func (o *oracle) tick() Answer {
	for _, job := range o.jobs {
		if job.state == StateInProgress && job.begin.Deadline.UnixMilli() <= o.now {
			o.end(job, StateExpired)
		}
	}
	for _, job := range o.jobs {
		abandoned := job.state == StateReceiving && job.created+receiveTimeout.Milliseconds() <= o.now
		retentionOver := job.state.Final() && job.ended+job.begin.Retention.Milliseconds() <= o.now
		if abandoned || retentionOver {
			o.remove(job)
		}
	}
	return Answer{Code: CodeOK}
}
