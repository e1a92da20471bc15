package batchwork

import (
	"errors"

	"chutelock.dev/chutelock/internal/transport"
)

// updateOutcome is what a committed itemUpdate did to its item.
type updateOutcome uint8

const (
	updateApplied updateOutcome = iota
	// updateSuperseded: the leader has given up the run, or the item's text doesn't end at the
	// event that the update follows. Nothing changed.
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

// Errors of updates that had no effect. The run that gets one has other text than the item, so
// it must end without another update.
var (
	errSuperseded = errors.New("batchwork: the run was given up, or another has continued the item")
	errItemClosed = errors.New("batchwork: the item is final or its job has ended")
)

// err returns the error for the run that sent the update, nil if it was applied.
func (o updateOutcome) err() error {
	switch o {
	case updateApplied:
		return nil
	case updateSuperseded:
		return errSuperseded
	default:
		return errItemClosed
	}
}

// errOutcomeCount means that an answer to updates doesn't have one outcome for each of them.
var errOutcomeCount = errors.New("batchwork: the number of outcomes differs from that of the updates")

func encodeOutcomes(outcomes []updateOutcome) []byte {
	encoded := make([]byte, 0, len(outcomes))
	for _, outcome := range outcomes {
		encoded = append(encoded, byte(outcome))
	}
	return encoded
}

// decodeOutcomes decodes the outcomes of count updates.
func decodeOutcomes(encoded []byte, count int) ([]updateOutcome, error) {
	if len(encoded) != count {
		return nil, errOutcomeCount
	}
	outcomes := make([]updateOutcome, 0, count)
	for _, outcome := range encoded {
		outcomes = append(outcomes, updateOutcome(outcome))
	}
	return outcomes, nil
}

// fixedOutcomes heads the leader's reply to updates; its field holds their outcomes.
type fixedOutcomes struct{}

func encodeUpdatesReply(outcomes []updateOutcome) []byte {
	return marshal(fixedOutcomes{}, encodeOutcomes(outcomes))
}

// decodeUpdatesReply decodes a leader's reply to count updates. Leaders of older versions reply
// with nothing; their updates count as applied.
func decodeUpdatesReply(reply []byte, count int) ([]updateOutcome, error) {
	if len(reply) == 0 {
		return make([]updateOutcome, count), nil
	}
	fields, err := unmarshal(reply, &fixedOutcomes{}, 1)
	if err != nil {
		return nil, err
	}
	return decodeOutcomes(fields[0], count)
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
