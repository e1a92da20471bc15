package replication

import (
	"testing"

	"github.com/onsi/gomega"
)

// FuzzUnmarshalMessage guards against messages that change when encoded again.
func FuzzUnmarshalMessage(f *testing.F) {
	configuration := Configuration{Voters: []ReplicaID{1, 2, 3}, Learners: []ReplicaID{9}}
	for _, message := range []Message{
		{Type: MessageVote, Forced: true, Shard: 4, From: 1, To: 2, Term: 3, Index: 4, LogTerm: 2},
		{Type: MessageAppend, Index: 7, Commit: 6, Entries: []Entry{
			{Index: 8, Term: 2, Data: []byte("value")},
			{Index: 9, Term: 3, Type: EntryConfiguration, Data: configuration.Marshal()},
		}},
		{Type: MessageSnapshot, Snapshot: SnapshotMarker{Index: 5, Term: 2, Configuration: configuration}},
	} {
		encoded, err := message.Marshal()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		message, err := UnmarshalMessage(encoded)
		if err != nil {
			return
		}
		g := gomega.NewWithT(t)
		reencoded, err := message.Marshal()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		decoded, err := UnmarshalMessage(reencoded)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(decoded).To(gomega.Equal(message))
	})
}

// Guards against a field lost in the encoding of HardState.
func TestHardStateRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	state := HardState{Term: 3, Vote: 4, Commit: 5}
	g.Expect(UnmarshalHardState(state.Marshal())).To(gomega.Equal(state))
}
