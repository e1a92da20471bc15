package system

import (
	"context"

	"chutelock.dev/chutelock/internal/catalog"
	"chutelock.dev/chutelock/internal/edge"
	"chutelock.dev/chutelock/internal/mirror"
	"chutelock.dev/chutelock/internal/platform"
	"chutelock.dev/chutelock/internal/poison"
	"chutelock.dev/chutelock/internal/upstream"
)

// Adapter translates between a node and its platform.
type Adapter struct {
	Store    mirror.Reader
	Registry mirror.Registry
	// Ledger is where the ledger's shard directory lies.
	Ledger platform.Store
	// Evacuations tells operators how far the emptying of a data node is.
	Evacuations Evacuations
	// Poison keeps records of requests under which engines ended.
	Poison poison.Store

	Engines upstream.Dialect
	Callers edge.Dialect
	// ReadyPath is what the platform asks on the readiness address.
	ReadyPath string

	// Kinds of objects, and how their contents are read.
	ConfigurationKind string
	ConfigurationName string
	EnginesKind       string
	EvacuationsKind   string
	ZoneDrainsKind    string
	PoisonKind        string
	Configuration     func(content []byte) (*catalog.Configuration, error)
	// EnginePlace reads of an engine's entry which nodes are to know it.
	EnginePlace func(content []byte) mirror.Place
	// Engine reads an engine's entry; it fails if the entry names no engine to use.
	Engine func(entry mirror.Object) (*catalog.Engine, error)
	// ZoneDrains lists the zones whose engines are to get nothing new.
	ZoneDrains func(objects []mirror.Object) []string
	// PoisonRecords reads records of requests under which engines ended.
	PoisonRecords func(objects []mirror.Object) []poison.Record
}

// Evacuations reports on data nodes that are to be emptied.
type Evacuations interface {
	// Report writes the state of an evacuation: done once nothing that counts
	// lies on the node any more.
	Report(ctx context.Context, node string, done bool) error
	// Reported reads the state from an evacuation's object.
	Reported(content []byte) (reported, done bool)
}
