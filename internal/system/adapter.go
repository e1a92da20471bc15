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

// Adapter has the stores, names and formats of a platform.
type Adapter struct {
	Store    mirror.Reader
	Registry mirror.Registry
	// Ledger stores the ledger's shard directory.
	Ledger platform.Store
	// Evacuations reports the progress of evacuations to operators.
	Evacuations Evacuations
	// Poison stores the records of requests that crashed engines.
	Poison poison.Store

	Engines upstream.Dialect
	Callers edge.Dialect
	// SharedParts returns the IDs of the parts of an item's prompt that other requests may share.
	SharedParts func(header []string) []string
	// ReadyPath is the path of the platform's readiness probes.
	ReadyPath string

	// Kinds of objects, and functions that decode their contents.
	ConfigurationKind string
	ConfigurationName string
	EnginesKind       string
	EvacuationsKind   string
	ZoneDrainsKind    string
	PoisonKind        string
	Configuration     func(content []byte) (*catalog.Configuration, error)
	// EnginePlace returns which nodes mirror an engine's entry.
	EnginePlace func(content []byte) mirror.Place
	// Engine decodes an engine's entry; it fails if the entry has no usable engine.
	Engine func(entry mirror.Object) (*catalog.Engine, error)
	// ZoneDrains lists the drained zones, whose engines get no new requests.
	ZoneDrains func(objects []mirror.Object) []string
	// Contended reports whether the parts of the platform's contract that are in force say
	// that callers compete for room.
	Contended func(contracts []string) bool
	// PoisonRecords decodes the records of requests that crashed engines.
	PoisonRecords func(objects []mirror.Object) []poison.Record
}

// Evacuations stores the state of the evacuations of data nodes.
type Evacuations interface {
	// Report writes the state of an evacuation, which is done once no replica is
	// left on the node.
	Report(ctx context.Context, node string, done bool) error
	// Reported decodes the state from an evacuation's object.
	Reported(content []byte) (reported, done bool)
}
