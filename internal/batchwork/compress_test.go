package batchwork

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestCompressRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{"", "x", string(make([]byte, 1<<20))} {
		packed := append(compress([]byte("before")), compress([]byte(text))...)
		plain, err := decompress(packed)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(plain)).To(gomega.Equal("before" + text))
		// Headers of short texts omit the size.
		g.Expect(plainSize(compress([]byte(text)))).To(gomega.BeNumerically("~", len(text), 64))
	}
	_, err := decompress([]byte("no frame"))
	g.Expect(err).To(gomega.HaveOccurred())
}
