package local

import (
	"context"
	"encoding/binary"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/ledger"
)

// counter counts how often each entry was applied and returns the count.
type counter struct{ reloaded uint64 }

func (c *counter) Apply(writer ledger.Writer, _ uint64, entry []byte) ([]byte, error) {
	value, _, err := writer.Get(entry)
	if err != nil {
		return nil, err
	}
	count := uint64(1)
	if len(value) == 8 {
		count += binary.BigEndian.Uint64(value)
	}
	out := binary.BigEndian.AppendUint64(nil, count)
	return out, writer.Set(entry, out)
}

func (c *counter) Reload(reader ledger.Reader) error {
	return reader.Scan(nil, nil, func(_, value []byte) (bool, error) {
		c.reloaded += binary.BigEndian.Uint64(value)
		return true, nil
	})
}

// Guards against lost or repeated entries on reopening a ledger, and against
// shards that share keys.
func TestEntriesPersistAcrossReopen(t *testing.T) {
	g := gomega.NewWithT(t)
	machines := map[ledger.ShardID]*counter{}
	options := Options{Folder: t.TempDir(), Shards: 2, NewMachine: func(id ledger.ShardID) ledger.StateMachine {
		machines[id] = &counter{}
		return machines[id]
	}}
	for round := uint64(1); round <= 3; round++ {
		opened, err := Open(options)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(machines[1].reloaded).To(gomega.Equal(round - 1))
		shard, _ := opened.Local(1)
		answer, err := shard.Propose(context.Background(), []byte("a"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(binary.BigEndian.Uint64(answer)).To(gomega.Equal(round))
		other, _ := opened.Local(0)
		g.Expect(other.Read(context.Background(), func(reader ledger.Reader) error {
			_, found, err := reader.Get([]byte("a"))
			g.Expect(found).To(gomega.BeFalse(), "shards must not share keys")
			return err
		})).To(gomega.Succeed())
		g.Expect(opened.Close()).To(gomega.Succeed())
	}
}
