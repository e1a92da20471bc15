// Package remote runs operations on ledger shards from any node at the shard's
// leader: a Caller finds the leader and retries, and a Server handles requests
// at the leader's node.
//
// A Caller retries operations whose answer was lost, so every operation must be
// idempotent. Without an answer, it returns ledger.ErrUnavailable only if no
// attempt can have taken effect, and ledger.ErrUnknownOutcome otherwise.
package remote
