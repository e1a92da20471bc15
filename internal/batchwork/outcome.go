package batchwork

import (
	"errors"

	"chutelock.dev/chutelock/internal/transport"
)

// updateOutcome is what a committed itemUpdate did to its item.
type updateOutcome uint8

const (
	updateApplied updateOutcome = iota
	// updateSuperseded: the item's text doesn't end at the event that the update follows, as
	// another run has committed text. Nothing changed.
	updateSuperseded
	// updateClosed: the item is final, or its job has ended or was deleted. Nothing changed.
	updateClosed
)

// String returns the label of the outcome in logs and metrics.
func (o updateOutcome) String() string {
	switch o {
	case updateApplied:
		return "applied"
	case updateSuperseded:
		return "superseded"
	default:
		return "closed"
	}
}

// errOutcomeCount means that an answer to updates doesn't have one outcome for each of them.
var errOutcomeCount = errors.New("batchwork: the number of outcomes differs from that of the updates")

// decodeOutcomes decodes the machine's answer to a command with count updates.
func decodeOutcomes(answer []byte, count int) ([]updateOutcome, error) {
	if len(answer) != 1+count {
		return nil, errOutcomeCount
	}
	outcomes := make([]updateOutcome, 0, count)
	for _, outcome := range answer[1:] {
		outcomes = append(outcomes, updateOutcome(outcome))
	}
	return outcomes, nil
}

// reportDropped counts the updates that had no effect, and logs those that another run's text
// superseded. from is the node that sent them, empty for this one.
func (r *Runner) reportDropped(from transport.Address, updates [][]byte, outcomes []updateOutcome) {
	for i, outcome := range outcomes {
		if outcome == updateApplied {
			continue
		}
		r.options.Metrics.updateDropped(outcome)
		u, err := decodeUpdate(updates[i])
		if outcome != updateSuperseded || err != nil {
			continue
		}
		item, _ := r.options.Machine.item(u.job, u.index)
		eventUpdateDropped.Info("job", u.job, "item", item.id, "peer", from, "from", u.from, "to", u.to,
			"final", u.state != StateOpen, "last_event", item.lastEvent)
	}
}
