package jobs

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chutelock.dev/chutelock/internal/ledger"
)

// Prefixes of identifiers. Four hexadecimal digits of the shard, which let any
// node route by identifier, and a random part follow the prefix.
const (
	prefixFile   = "file-"
	prefixJob    = "batch_"
	prefixOutput = "file-out-"
	prefixErrors = "file-err-"
)

// MaxShards is the number of shards that an identifier can encode.
const MaxShards = 1 << 16

const (
	shardDigits  = 4
	randomBytes  = 10
	randomDigits = 2 * randomBytes
)

// ShardOfKey returns the shard of a job, a hash of its tenant and idempotency
// key, so that a retried submission reaches the shard of the original.
func ShardOfKey(tenant, idempotencyKey string, shards int) ledger.ShardID {
	return ledger.ShardID(xxhash.Sum64String(tenant+"\x00"+idempotencyKey) % uint64(shards))
}

// NewFileID returns a new identifier of an input file in a shard.
func NewFileID(shard ledger.ShardID) string { return newIdentifier(prefixFile, shard) }

// NewJobID returns a new identifier of a job in a shard.
func NewJobID(shard ledger.ShardID) string { return newIdentifier(prefixJob, shard) }

func newIdentifier(prefix string, shard ledger.ShardID) string {
	return fmt.Sprintf("%s%04x%s", prefix, shard, randomText())
}

func randomText() string {
	var random [randomBytes]byte
	_, _ = rand.Read(random[:]) // never fails
	return hex.EncodeToString(random[:])
}

// NewKey returns a random idempotency key for a request without one.
func NewKey() string { return "none-" + randomText() }

// OutputFileID returns the identifier of the file of a job's successful results.
func OutputFileID(jobID string) string { return prefixOutput + strings.TrimPrefix(jobID, prefixJob) }

// ErrorFileID returns the identifier of the file of a job's other results.
func ErrorFileID(jobID string) string { return prefixErrors + strings.TrimPrefix(jobID, prefixJob) }

// ShardOfJob returns the shard in a job's identifier, and whether it is valid.
func ShardOfJob(jobID string, shards int) (ledger.ShardID, bool) {
	return shardOf(jobID, prefixJob, shards)
}

// ShardOfFile returns the shard in an input file's identifier, and whether it is valid.
func ShardOfFile(fileID string, shards int) (ledger.ShardID, bool) {
	return shardOf(fileID, prefixFile, shards)
}

// ResultFile returns the job of a result file's identifier, and whether it is the error file.
func ResultFile(fileID string) (jobID string, errors, ok bool) {
	if rest, found := strings.CutPrefix(fileID, prefixOutput); found {
		return prefixJob + rest, false, true
	}
	if rest, found := strings.CutPrefix(fileID, prefixErrors); found {
		return prefixJob + rest, true, true
	}
	return "", false, false
}

func shardOf(identifier, prefix string, shards int) (ledger.ShardID, bool) {
	rest, found := strings.CutPrefix(identifier, prefix)
	if !found || len(rest) != shardDigits+randomDigits {
		return 0, false
	}
	if _, err := hex.DecodeString(rest); err != nil {
		return 0, false
	}
	shard, err := strconv.ParseUint(rest[:shardDigits], 16, 16)
	if err != nil || shard >= uint64(shards) {
		return 0, false
	}
	return ledger.ShardID(shard), true
}
