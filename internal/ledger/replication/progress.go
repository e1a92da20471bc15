package replication

import "time"

type progressState uint8

const (
	// progressProbe sends one append at a time to find where the logs match.
	progressProbe progressState = iota
	// progressReplicate pipelines appends up to Config.MaxInflightBytes.
	progressReplicate
	// progressSnapshot waits for the follower to install a snapshot.
	progressSnapshot
)

// progress is a leader's view of one replica's log.
type progress struct {
	state progressState
	// match is the last index known to be persisted with the leader's entry.
	match uint64
	// next is the first index to send.
	next uint64
	// probeSent is set while a probe has not been answered.
	probeSent bool
	// progressedAt is when match last increased, the oldest unacknowledged
	// append was sent, or the follower was last probed for a stall.
	progressedAt time.Time
	// lastHeard is when the replica last responded in this term.
	lastHeard time.Time
	// round is the latest read round that the replica has confirmed.
	round uint64
	// snapshotIndex and snapshotSent are the last snapshot's index and send time.
	snapshotIndex uint64
	snapshotSent  time.Time
	window        window
}

func (p *progress) probeFrom(next uint64) {
	p.state = progressProbe
	p.next = max(next, p.match+1)
	p.probeSent = false
	p.window = window{}
}

func (p *progress) replicate() {
	p.state = progressReplicate
	p.next = p.match + 1
	p.probeSent = false
	p.window = window{}
}

func (p *progress) awaitSnapshot(index uint64, now time.Time) {
	p.state = progressSnapshot
	p.snapshotIndex = index
	p.snapshotSent = now
	p.probeSent = false
	p.window = window{}
}

// confirm records that the replica has persisted the log up to index.
func (p *progress) confirm(index uint64, now time.Time) {
	if index > p.match {
		p.match = index
		p.progressedAt = now
	}
	p.next = max(p.next, p.match+1)
	p.window.release(index)
}

// window counts the bytes of entries that are not yet confirmed.
type window struct {
	bytes   int
	pending []pendingAppend
}

type pendingAppend struct {
	last  uint64
	bytes int
}

func (w *window) add(last uint64, bytes int) {
	w.pending = append(w.pending, pendingAppend{last, bytes})
	w.bytes += bytes
}

func (w *window) release(confirmed uint64) {
	released := 0
	for released < len(w.pending) && w.pending[released].last <= confirmed {
		w.bytes -= w.pending[released].bytes
		released++
	}
	w.pending = w.pending[released:]
}
