package storage

import (
	"fmt"

	"chutelock.dev/chutelock/internal/wire"
)

// appliedVersion is the encoding's version.
const appliedVersion = 1

// Applied is what a shard's machine includes.
type Applied struct {
	// Index and Term of the last applied entry.
	Index uint64
	Term  uint64
	// Configuration is the membership in force at Index, as the protocol
	// encodes it.
	Configuration []byte
}

type appliedHeader struct {
	Index uint64
	Term  uint64
}

func (a Applied) encode() []byte {
	out, err := wire.Marshal(appliedVersion, appliedHeader{Index: a.Index, Term: a.Term}, a.Configuration)
	if err != nil {
		panic(err) // the header is of fixed size
	}
	return out
}

func decodeApplied(value []byte) (Applied, error) {
	var header appliedHeader
	fields, err := wire.Unmarshal(value, appliedVersion, &header, 1)
	if err != nil {
		return Applied{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	configuration := append([]byte(nil), fields[0]...)
	return Applied{Index: header.Index, Term: header.Term, Configuration: configuration}, nil
}
