package dissemination

import (
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/transport"
)

// Action is an operation that the caller executes for the Machine.
type Action interface{ action() }

// SendDelta sends an ordered message to a peer.
type SendDelta struct {
	To    transport.Address
	Delta *Delta
}

// SendDigest sends a digest to a peer as a datagram.
type SendDigest struct {
	To     transport.Address
	Digest Digest
}

// SendReport sends a subtree's report to its parent as a datagram.
type SendReport struct {
	To     transport.Address
	Report Report
}

// SendZoneReport sends a zone's report to a head of another zone as a datagram.
type SendZoneReport struct {
	To     transport.Address
	Report ZoneReport
}

// CallPull sends a pull to a peer; the answer or failure goes to HandlePullAnswer.
type CallPull struct {
	To   transport.Address
	Pull Pull
}

// Persist makes changes durable, together with the version, before the next
// action. With Replace, Changes are the whole content.
type Persist struct {
	Version settings.Version
	Changes []Entry
	Replace bool
}

// Publish makes changes take effect at this node. With Replace, Changes are the
// whole content.
type Publish struct {
	Version settings.Version
	Changes []Entry
	Replace bool
}

// ProbeStore reads the object Name and the epoch object; the answer goes to
// HandleProbed.
type ProbeStore struct {
	Ticket uint64
	Name   string
}

// ListStore lists the store; the answer goes to HandleListed.
type ListStore struct{ Ticket uint64 }

// WatchStore opens a watch; its events go to HandleWatchEvent and its end to
// HandleWatchEnded.
type WatchStore struct {
	Ticket uint64
	After  uint64
}

// StopWatch closes the watch; later events need not be reported.
type StopWatch struct{}

// Notify reports a condition to operators.
type Notify struct {
	Notice Notice
	// Name is the object concerned, if any.
	Name string
	// InForce is what stays in force; Found is what was refused.
	InForce, Found settings.Version
}

// Notice is the kind of a Notify.
type Notice uint8

// Notices.
const (
	NoticeStoreBehind    Notice = iota + 1 // the store was rolled back; it is refused
	NoticeStoreForked                      // the store lost or changed entries in force; it is refused
	NoticeStoreRecovered                   // a refused store matches the version in force again
	NoticeEpochRaised                      // an operator raised the epoch
	NoticeDivergence                       // a peer's content conflicts with this node's
	NoticeStoreRefusing                    // a limit on the store's requests or watches is exceeded
)

func (SendDelta) action()      {}
func (SendDigest) action()     {}
func (SendReport) action()     {}
func (SendZoneReport) action() {}
func (CallPull) action()       {}
func (Persist) action()        {}
func (Publish) action()        {}
func (ProbeStore) action()     {}
func (ListStore) action()      {}
func (WatchStore) action()     {}
func (StopWatch) action()      {}
func (Notify) action()         {}
