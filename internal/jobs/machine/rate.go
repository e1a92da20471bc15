package machine

import (
	"math"

	"chutelock.dev/chutelock/internal/wire"
)

const (
	// rateWindow is the busy time over which a completion rate is averaged,
	// in milliseconds; older history counts half.
	rateWindow = 60_000
	// rateGap is the longest time between two reports that counts as busy.
	rateGap = 5_000
	// rateMinimumItems and rateMinimumTime (in milliseconds) are the history
	// without which a rate is not known.
	rateMinimumItems = 64
	rateMinimumTime  = 1_000
)

// rate measures how fast a model's items complete in this shard while items
// wait: times without a backlog say nothing about what could be done.
type rate struct {
	Items     uint64
	BusyTime  int64 // milliseconds
	UpdatedAt int64
	Backlog   bool // items waited at UpdatedAt
}

// known says whether there is enough history.
func (r *rate) known() bool {
	return r.Items >= rateMinimumItems && r.BusyTime >= rateMinimumTime
}

// timeFor is how long items take, in milliseconds; 0 when no rate is known.
func (r *rate) timeFor(items uint64) int64 {
	if !r.known() {
		return 0
	}
	if items > math.MaxInt64/uint64(rateWindow)/4 {
		return math.MaxInt64 / 4
	}
	return int64(items * uint64(r.BusyTime) / r.Items)
}

// countRate counts a completed item of a model.
func (tx *transaction) countRate(model string) {
	measured, ok := tx.machine.rates[model]
	if !ok {
		measured = &rate{}
		tx.machine.rates[model] = measured
	}
	if tx.touchedModels == nil {
		tx.touchedModels = map[string]bool{}
	}
	if !tx.touchedModels[model] {
		tx.touchedModels[model] = true
		measured.advance(tx.now)
	}
	if measured.Backlog {
		measured.Items++
	}
}

// advance accounts for the time since the last report.
func (r *rate) advance(now int64) {
	if r.Backlog {
		r.BusyTime += min(now-r.UpdatedAt, rateGap)
	}
	r.UpdatedAt = now
	if r.BusyTime > rateWindow {
		r.BusyTime /= 2
		r.Items /= 2
	}
}

// storeRate notes whether items still wait, and writes the rate.
func (tx *transaction) storeRate(model string) error {
	measured := tx.machine.rates[model]
	measured.Backlog = false
	for _, job := range tx.machine.open {
		if job.record.Model == model && job.available > 0 {
			measured.Backlog = true
			break
		}
	}
	encoded, err := wire.Marshal(recordVersion, measured)
	if err != nil {
		return err
	}
	return tx.Set(key(tableRate, model), encoded)
}

func decodeRate(stored []byte) (*rate, error) {
	decoded := &rate{}
	_, err := wire.Unmarshal(stored, recordVersion, decoded, 0)
	return decoded, err
}
