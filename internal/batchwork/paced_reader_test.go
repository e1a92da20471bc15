package batchwork

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func TestPacedReaderReadsAtIntervalMultiples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		start := time.Now()
		time.Sleep(130 * time.Millisecond)
		reader := &pacedReader{
			ctx: t.Context(), stream: io.MultiReader(bytes.NewReader([]byte("a")), bytes.NewReader([]byte("b")), bytes.NewReader([]byte("c"))),
			start: start, interval: func() time.Duration { return 100 * time.Millisecond },
		}
		for _, wanted := range []time.Duration{130, 200, 300} {
			buffer := make([]byte, 8)
			n, err := reader.Read(buffer)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(n).To(gomega.Equal(1))
			g.Expect(time.Since(start)).To(gomega.Equal(wanted * time.Millisecond))
		}
	})
}

func TestPacedReaderEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		reader := &pacedReader{
			ctx: ctx, stream: bytes.NewReader([]byte("a")), start: time.Now(), begun: true,
			interval: func() time.Duration { return time.Hour },
		}
		time.AfterFunc(time.Second, cancel)
		_, err := reader.Read(make([]byte, 8))
		g.Expect(err).To(gomega.MatchError(context.Canceled))
	})
}

// A few streams are read without delay; the total rate for many is bounded.
func TestReadIntervalBoundsTotalReads(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(readInterval(10)).To(gomega.BeNumerically("<", 10*time.Millisecond))
	for _, streams := range []int{50, 100, 150} {
		perSecond := float64(streams) / readInterval(streams).Seconds()
		g.Expect(perSecond).To(gomega.BeNumerically("<=", readsPerSecond*1.001), "%d streams", streams)
	}
	g.Expect(readInterval(100000)).To(gomega.Equal(maxReadInterval))
}
