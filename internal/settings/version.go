package settings

import "fmt"

// revisionBits is the width of the store's revision within a Version; the
// bits above it hold the epoch.
const revisionBits = 48

// Version orders all states of the tree that were ever in force: the epoch
// first, then the store's revision. An operator raises the epoch to put a
// store in force again that had gone back in revision.
type Version uint64

// MakeVersion joins an epoch and a store revision.
func MakeVersion(epoch uint16, revision uint64) Version {
	return Version(uint64(epoch)<<revisionBits | revision&(1<<revisionBits-1))
}

// Epoch is the operator's generation of the store.
func (v Version) Epoch() uint16 { return uint16(v >> revisionBits) }

// Revision is the store's revision.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// String shows epoch and revision, as operators read them.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch(), v.Revision()) }

// MarshalText implements encoding.TextMarshaler: epoch and revision.
func (v Version) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Version) UnmarshalText(text []byte) error {
	var epoch uint16
	var revision uint64
	if _, err := fmt.Sscanf(string(text), "%d.%d", &epoch, &revision); err != nil {
		return fmt.Errorf("settings version %q: %w", text, err)
	}
	*v = MakeVersion(epoch, revision)
	return nil
}

// MaxEpoch is the last epoch.
const MaxEpoch = 1<<16 - 1
