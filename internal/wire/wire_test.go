package wire

import (
	"testing"

	"github.com/onsi/gomega"
)

type sample struct {
	A uint32
	B [4]byte
}

// Guards against panics and accepted messages that don't re-encode to the same bytes.
func FuzzUnmarshal(f *testing.F) {
	valid, _ := Marshal(1, sample{A: 7}, []byte("x"), nil)
	f.Add(valid)
	f.Add([]byte{1, 0})
	f.Fuzz(func(t *testing.T, message []byte) {
		var decoded sample
		fields, err := Unmarshal(message, 1, &decoded, -1)
		if err != nil {
			return
		}
		encoded, err := Marshal(1, decoded, fields...)
		g := gomega.NewWithT(t)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(encoded).To(gomega.Equal(message))
	})
}

// Guards against accepting truncated, oversized or mismatched messages.
func TestUnmarshalRejectsMalformedMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	valid, err := Marshal(1, sample{A: 7}, []byte("field"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var decoded sample
	for name, invalid := range map[string][]byte{
		"truncated":       valid[:len(valid)-1],
		"empty":           {},
		"trailing byte":   append(append([]byte{}, valid...), 0),
		"oversized field": append(append([]byte{}, valid[:9]...), 0xff, 0xff, 0xff, 0xff),
	} {
		_, err := Unmarshal(invalid, 1, &decoded, 1)
		g.Expect(err).To(gomega.MatchError(ErrLength), name)
	}
	_, err = Unmarshal(valid, 2, &decoded, 1)
	g.Expect(err).To(gomega.MatchError(ErrVersion))
	_, err = Unmarshal(valid, 1, &decoded, 2)
	g.Expect(err).To(gomega.MatchError(ErrLength))
}
