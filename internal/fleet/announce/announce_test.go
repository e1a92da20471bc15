package announce

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/transport"
)

const home = transport.Address("127.0.0.1:7001")

func records(g gomega.Gomega, datagrams []Datagram) []Record {
	var all []Record
	for _, datagram := range datagrams {
		decoded, err := Decode(datagram.Payload)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		all = append(all, decoded...)
	}
	return all
}

func TestQueueSendsStartsAtOnceAndEndsWithNextDatagram(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	queue := NewQueue()
	g.Expect(records(g, queue.Started(now, home, Record{Engine: 1, Request: 1, PromptTokens: 5}))).To(
		gomega.Equal([]Record{{Engine: 1, Request: 1, PromptTokens: 5, Started: true}}))
	queue.Finished(home, Record{Engine: 1, Request: 1})
	g.Expect(records(g, queue.Started(now, home, Record{Engine: 1, Request: 2}))).To(gomega.HaveLen(2))
	g.Expect(queue.Tick(now)).To(gomega.BeEmpty())
}

// Guards against a datagram rate that grows with the request rate.
func TestQueueBoundsDatagramRate(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	queue := NewQueue()
	queue.SetPeers(now, manyPeers)
	sent := 0
	const seconds, perSecond = 60, 500
	for index := range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		request := Record{Engine: uint64(index % 12), Request: uint64(index)}
		sent += len(queue.Started(now, home, request))
		if index%50 == 0 {
			sent += len(queue.Tick(now))
		}
		queue.Finished(home, request)
	}
	g.Expect(sent).To(gomega.BeNumerically("<=", seconds*minRate+burst+1))
	g.Expect(len(queue.pending[home])).To(gomega.BeNumerically("<=", maxPending))
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode([]Record{{Engine: 1, Request: 2, PromptTokens: 3, Started: true}}))
	f.Fuzz(func(t *testing.T, payload []byte) {
		if decoded, err := Decode(payload); err == nil {
			gomega.NewWithT(t).Expect(len(decoded)).To(gomega.BeNumerically("<=", len(payload)))
		}
	})
}
