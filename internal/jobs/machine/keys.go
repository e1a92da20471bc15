package machine

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"strings"
)

// Tables; the first byte of a key.
const (
	tableClock    = 'C' // the machine's clock
	tableFile     = 'F' // file id → FileRecord
	tableChunk    = 'f' // file id, chunk number → lines
	tableJob      = 'J' // job id → JobRecord
	tableCounters = 'N' // job id → Counters
	tableDone     = 'd' // job id, block → bitmap of final items
	tableItem     = 'i' // job id, index → item; removed when its result is stored
	tableResult   = 'r' // job id, index → ResultRecord
	tableStarted  = 's' // job id, index → epoch of the lease that started it
	tableTries    = 't' // job id, index → tries
	tableLease    = 'l' // job id, epoch → leaseRecord
	tableKey      = 'K' // hash of tenant and idempotency key → job id
	tableTenant   = 'T' // tenant, inverted creation time, job id → nothing
	tableExpiry   = 'E' // removal time, id → tableFile or tableJob
	tableOpen     = 'O' // job id → nothing: accepted jobs that are not final
	tableShare    = 'V' // tenant → virtual time for fair sharing
	tableRate     = 'R' // model → completion rate
)

// separator terminates identifiers in keys.
const separator = 0

const maxIdentifierBytes = 200

// validIdentifier reports whether text can be part of a key.
func validIdentifier(text string) bool {
	return text != "" && len(text) <= maxIdentifierBytes && strings.IndexByte(text, separator) < 0
}

func key(table byte, identifier string) []byte {
	built := make([]byte, 0, len(identifier)+16)
	built = append(built, table)
	built = append(built, identifier...)
	return append(built, separator)
}

func key32(table byte, identifier string, number uint32) []byte {
	return binary.BigEndian.AppendUint32(key(table, identifier), number)
}

func key64(table byte, identifier string, number uint64) []byte {
	return binary.BigEndian.AppendUint64(key(table, identifier), number)
}

// rangeOf returns the half-open range of an identifier's keys in a table.
func rangeOf(table byte, identifier string) (from, to []byte) {
	from = key(table, identifier)
	to = key(table, identifier)
	to[len(to)-1] = separator + 1
	return from, to
}

func tableRange(table byte) (from, to []byte) {
	return []byte{table}, []byte{table + 1}
}

func last32(key []byte) uint32 { return binary.BigEndian.Uint32(key[len(key)-4:]) }

func last64(key []byte) uint64 { return binary.BigEndian.Uint64(key[len(key)-8:]) }

func keyOfIdempotency(tenant, idempotencyKey string) []byte {
	digest := sha256.Sum256([]byte(tenant + "\x00" + idempotencyKey))
	return append([]byte{tableKey}, digest[:]...)
}

// keyOfTenantJob orders a tenant's jobs from the newest to the oldest.
func keyOfTenantJob(tenant string, created int64, jobID string) []byte {
	return append(key64(tableTenant, tenant, math.MaxUint64-uint64(created)), jobID...)
}

const tenantJobPrefix = 1 + 1 + 8 // table, separator and time, without the tenant

func jobOfTenantKey(tenant string, key []byte) string {
	return string(key[tenantJobPrefix+len(tenant):])
}

func keyOfExpiry(at int64, identifier string) []byte {
	built := binary.BigEndian.AppendUint64([]byte{tableExpiry}, uint64(at))
	return append(built, identifier...)
}

func splitExpiry(key []byte) (at int64, identifier string) {
	return int64(binary.BigEndian.Uint64(key[1:9])), string(key[9:])
}
