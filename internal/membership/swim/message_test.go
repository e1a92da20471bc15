package swim

import (
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/membership"
)

var sampleMembers = []membership.Member{
	{
		Name: "node-1", Address: "127.0.0.1:7001", Callers: "[::1]:8001", Zone: "zone", Region: "region",
		Incarnation: 1 << 40, State: membership.StateLeaving, HasData: true,
	},
	{Name: "node-2", Address: "10.1.2.3:1", State: membership.StateDead},
}

func encodeMembers(members []membership.Member) []byte {
	var out []byte
	for i := range members {
		out = appendMember(out, &members[i])
	}
	return out
}

// Guards against messages that lose content in encoding, and against an answer
// taken for a call.
func TestMessagesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	head := header{Type: typeProbeRequest, Sequence: 7, Target: 9}
	message, err := decodeDatagram(encodeDatagram(head, []byte("body"), encodeMembers(sampleMembers)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(message).To(gomega.Equal(datagram{header: head, body: []byte("body"), updates: sampleMembers}))

	sync := syncMessage{zones: []zoneHash{{1, 2}, {3, 4}}, sender: sampleMembers[0], members: sampleMembers[1:]}
	decoded, err := decodeSync(encodeSync(true, sync), true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(sync))
	_, err = decodeSync(encodeSync(false, sync), true)
	g.Expect(err).To(gomega.MatchError(errMalformed))
}

// Guards against decoders that panic, and against messages that change when decoded
// and encoded again.
func FuzzDecoders(f *testing.F) {
	f.Add(encodeDatagram(header{Type: typeDigest}, encodeHashes([]zoneHash{{1, 2}}), encodeMembers(sampleMembers)))
	f.Add(encodeSync(false, syncMessage{sender: sampleMembers[0], members: sampleMembers}))
	f.Add(encodeSync(true, syncMessage{sender: sampleMembers[0]}))
	f.Fuzz(func(t *testing.T, payload []byte) {
		g := gomega.NewWithT(t)
		if message, err := decodeDatagram(payload); err == nil {
			again, err := decodeDatagram(encodeDatagram(message.header, message.body, encodeMembers(message.updates)))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(again).To(gomega.Equal(message))
		}
		for _, answer := range []bool{false, true} {
			if message, err := decodeSync(payload, answer); err == nil {
				again, err := decodeSync(encodeSync(answer, message), answer)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(again).To(gomega.Equal(message))
			}
		}
	})
}
