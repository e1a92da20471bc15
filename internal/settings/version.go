package settings

import "fmt"

// revisionBits is the width of the store's revision within a Version; the
// bits above it hold the epoch.
const revisionBits = 48

// Version orders all states of the tree that were ever in force, by epoch, then
// by store revision. An operator raises the epoch to accept a store whose
// revision went back.
type Version uint64

// MakeVersion combines an epoch and a store revision.
func MakeVersion(epoch uint16, revision uint64) Version {
	return Version(uint64(epoch)<<revisionBits | revision&(1<<revisionBits-1))
}

// Epoch returns the epoch, which operators raise.
func (v Version) Epoch() uint16 { return uint16(v >> revisionBits) }

// Revision returns the store's revision.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// String returns "epoch.revision" in decimal.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch(), v.Revision()) }

// MarshalText implements encoding.TextMarshaler in the format of String.
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

// MaxEpoch is the largest epoch.
const MaxEpoch = 1<<16 - 1
