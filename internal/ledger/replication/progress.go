package replication

import "time"

type progressState uint8

const (
	// progressProbe sends one append at a time until the follower's log is found.
	progressProbe progressState = iota
	// progressReplicate sends appends without waiting, within the window.
	progressReplicate
	// progressSnapshot waits for the follower to install a snapshot.
	progressSnapshot
)

// progress is what a leader knows of one replica.
type progress struct {
	state progressState
	// match is the last index known to equal the leader's, and persisted.
	match uint64
	// next is the first index to send.
	next uint64
	// waiting says that a probe is unanswered.
	waiting bool
	// movedAt is when match last rose, or when the oldest unconfirmed append
	// was sent.
	movedAt time.Time
	// lastHeard is when the replica last answered at this term.
	lastHeard time.Time
	// round is the newest read round that the replica has confirmed.
	round uint64
	// snapshotIndex and snapshotSent describe the snapshot on its way.
	snapshotIndex uint64
	snapshotSent  time.Time
	window        window
}

func (p *progress) probeFrom(next uint64) {
	p.state = progressProbe
	p.next = max(next, p.match+1)
	p.waiting = false
	p.window = window{}
}

func (p *progress) replicate() {
	p.state = progressReplicate
	p.next = p.match + 1
	p.waiting = false
	p.window = window{}
}

func (p *progress) awaitSnapshot(index uint64, now time.Time) {
	p.state = progressSnapshot
	p.snapshotIndex = index
	p.snapshotSent = now
	p.waiting = false
	p.window = window{}
}

// confirm notes that the replica has persisted the log up to index.
func (p *progress) confirm(index uint64, now time.Time) {
	if index > p.match {
		p.match = index
		p.movedAt = now
	}
	p.next = max(p.next, p.match+1)
	p.window.release(index)
}

// window counts the bytes of unconfirmed appends.
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
