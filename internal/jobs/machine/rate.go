package machine

import (
	"math"

	"chutelock.dev/chutelock/internal/wire"
)

const (
	// rateWindow is the busy time in milliseconds after which the accumulated
	// history is halved.
	rateWindow = 60_000
	// maxBusyGap caps the busy time between two reports, in milliseconds.
	maxBusyGap = 5_000
	// rateMinItems and rateMinTime (in milliseconds) are the least history for
	// a usable rate.
	rateMinItems = 64
	rateMinTime  = 1_000
)

// rate measures how fast a model's items complete in this shard while there is
// a backlog; without one, the rate would understate the capacity.
type rate struct {
	Items     uint64
	BusyTime  int64 // milliseconds
	UpdatedAt int64 // Unix milliseconds
	Backlog   bool  // items waited at UpdatedAt
}

// known reports whether there is enough history.
func (r *rate) known() bool {
	return r.Items >= rateMinItems && r.BusyTime >= rateMinTime
}

// timeFor returns how long items take, in milliseconds; 0 when no rate is known.
func (r *rate) timeFor(items uint64) int64 {
	if !r.known() {
		return 0
	}
	if items > math.MaxInt64/uint64(rateWindow)/4 {
		return math.MaxInt64 / 4
	}
	return int64(items * uint64(r.BusyTime) / r.Items)
}

// countCompletion adds a completed item to a model's rate.
func (tx *transaction) countCompletion(model string) {
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

// advance adds the time since the last report.
func (r *rate) advance(now int64) {
	if r.Backlog {
		r.BusyTime += min(now-r.UpdatedAt, maxBusyGap)
	}
	r.UpdatedAt = now
	if r.BusyTime > rateWindow {
		r.BusyTime /= 2
		r.Items /= 2
	}
}

// storeRate updates Backlog and writes the rate.
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
