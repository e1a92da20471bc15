// Package remote carries operations on ledger shards from any node to the
// leader of the shard: a Caller finds the leader and repeats, a Server
// answers at the leader's node.
//
// A Caller repeats an operation whose answer was lost, so every operation must
// be idempotent. It says ledger.ErrUnavailable only when no attempt can have
// taken effect, and ledger.ErrUnknownOutcome otherwise.
package remote
