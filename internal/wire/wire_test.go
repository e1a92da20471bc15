package wire

import (
	"testing"

	"github.com/onsi/gomega"
)

type sample struct {
	A uint32
	B [4]byte
}

func FuzzUnmarshal(f *testing.F) {
	good, _ := Marshal(1, sample{A: 7}, []byte("x"), nil)
	f.Add(good)
	f.Add([]byte{1, 0})
	f.Fuzz(func(t *testing.T, message []byte) {
		var decoded sample
		fields, err := Unmarshal(message, 1, &decoded, -1)
		if err != nil {
			return
		}
		again, err := Marshal(1, decoded, fields...)
		g := gomega.NewWithT(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again).To(gomega.Equal(message))
	})
}

func TestUnmarshalRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	good, err := Marshal(1, sample{A: 7}, []byte("field"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var decoded sample
	for name, broken := range map[string][]byte{
		"truncated":     good[:len(good)-1],
		"empty":         {},
		"with a tail":   append(append([]byte{}, good...), 0),
		"field too big": append(append([]byte{}, good[:9]...), 0xff, 0xff, 0xff, 0xff),
	} {
		_, err := Unmarshal(broken, 1, &decoded, 1)
		g.Expect(err).To(gomega.MatchError(ErrLength), name)
	}
	_, err = Unmarshal(good, 2, &decoded, 1)
	g.Expect(err).To(gomega.MatchError(ErrVersion))
	_, err = Unmarshal(good, 1, &decoded, 2)
	g.Expect(err).To(gomega.MatchError(ErrLength))
}
