package query

import (
	"context"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/jobs"
	"chutelock.dev/chutelock/internal/jobs/machine"
	"chutelock.dev/chutelock/internal/jobs/remote"
	"chutelock.dev/chutelock/internal/ledger"
)

func FuzzDecodeRequest(f *testing.F) {
	good, _ := request{requestHeader{kindResults, 1, 2, true, 3}, "j", "t"}.encode()
	f.Add(good)
	f.Fuzz(func(t *testing.T, message []byte) { _, _ = decodeRequest(message) })
}

func FuzzDecodeResult(f *testing.F) {
	good, _ := encodeResult(machine.ResultRecord{CustomID: "c", Body: []byte("b")})
	f.Add(good)
	f.Fuzz(func(t *testing.T, message []byte) { _, _ = decodeResult(message) })
}

type unreachableCaller struct{}

func (unreachableCaller) Shards() int { return 2 }

func (unreachableCaller) Call(context.Context, remote.Operation, ledger.ShardID, []byte) ([]byte, error) {
	panic("request for an identifier without a valid shard")
}

// Invalid identifiers must be reported as not found without a request.
func TestQueriesRejectInvalidIdentifiers(t *testing.T) {
	g := gomega.NewWithT(t)
	queries := New(unreachableCaller{})
	for _, id := range []string{"", "batch_", "batch_00", jobs.NewJobID(2), jobs.NewFileID(0) + "\x00", "batch_zzzz" + jobs.NewJobID(0)[10:]} {
		_, err := queries.Job(context.Background(), "t", id)
		g.Expect(err).To(gomega.MatchError(ErrNotFound), id)
		_, err = queries.File(context.Background(), "t", id)
		g.Expect(err).To(gomega.MatchError(ErrNotFound), id)
	}
}
