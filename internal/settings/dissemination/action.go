package dissemination

import (
	"chutelock.dev/chutelock/internal/settings"
	"chutelock.dev/chutelock/internal/transport"
)

// Action is something that the caller does for the machine.
type Action interface{ action() }

// SendDelta sends an ordered message to a peer.
type SendDelta struct {
	To    transport.Address
	Delta *Delta
}

// SendDigest, SendReport and SendZoneReport send datagrams.
type SendDigest struct {
	To     transport.Address
	Digest Digest
}

// SendReport sends a subtree's report to its parent.
type SendReport struct {
	To     transport.Address
	Report Report
}

// SendZoneReport sends a zone's report to the heads of another zone.
type SendZoneReport struct {
	To     transport.Address
	Report ZoneReport
}

// CallPull asks a peer; its answer or failure goes to HandlePullAnswer.
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

// Publish puts changes in force. With Replace, Changes are the whole content.
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

// StopWatch closes the watch. Nothing of it needs to be reported any more.
type StopWatch struct{}

// Notify tells operators of something.
type Notify struct {
	Notice Notice
	// Name is the object concerned, if any.
	Name string
	// InForce is what stays in force; Found is what was refused.
	InForce, Found settings.Version
}

// Notice is what a Notify tells.
type Notice uint8

// Notices.
const (
	NoticeStoreBehind   Notice = iota + 1 // the store went back; it is refused
	NoticeStoreForked                     // the store lost or changed what is in force; it is refused
	NoticeStoreRight                      // a store that was refused is right again
	NoticeEpochRaised                     // an operator put the store in force again
	NoticeDivergence                      // a peer has other content at the same version
	NoticeStoreRefusing                   // the store's reader budget is spent
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
