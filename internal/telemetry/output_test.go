package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"k8s.io/klog/v2"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) lines() [][]byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return bytes.Split(bytes.TrimSpace(bytes.Clone(b.buffer.Bytes())), []byte("\n"))
}

var eventTest = Define(9901, "output-test", "Only in tests.")

func TestSetJSONLoggerWritesOneObjectPerEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	var buffer lockedBuffer
	output := NewOutput(&buffer)
	SetJSONLogger(output)
	defer klog.ClearLogger()
	eventTest.Info("request", "r1", "age", 1500*time.Millisecond, "cause", io.EOF)
	output.Close()
	var line map[string]any
	g.Expect(json.Unmarshal(buffer.lines()[0], &line)).To(gomega.Succeed())
	g.Expect(line).To(gomega.HaveKeyWithValue("msg", "output-test"))
	g.Expect(line).To(gomega.HaveKeyWithValue("event", 9901.0))
	g.Expect(line).To(gomega.HaveKeyWithValue("request", "r1"))
	g.Expect(line).To(gomega.HaveKeyWithValue("age", "1.5s"))
	g.Expect(line).To(gomega.HaveKeyWithValue("cause", "EOF"))
	g.Expect(line).To(gomega.HaveKey("ts"))
}

// Guards against logging that blocks when the output's reader does.
func TestOutputDropsLinesWhenReaderBlocks(t *testing.T) {
	g := gomega.NewWithT(t)
	reader, writer := io.Pipe() // nobody reads
	defer reader.Close()
	output := NewOutput(writer)
	written := make(chan struct{})
	go func() {
		for range 3 * maxQueuedLines {
			output.WriteLine("line")
		}
		close(written)
	}()
	g.Eventually(written, 10*time.Second).Should(gomega.BeClosed())
	g.Expect(output.Dropped()).To(gomega.BeNumerically(">=", maxQueuedLines))
}

func TestLimiterCountsOmittedLines(t *testing.T) {
	g := gomega.NewWithT(t)
	var l limiter
	now := time.Unix(1000, 0)
	allowed := 0
	for range 1000 {
		if _, ok := l.allow(now); ok {
			allowed++
		}
	}
	g.Expect(allowed).To(gomega.Equal(maxLineBurst))
	omitted, ok := l.allow(now.Add(time.Second))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(omitted).To(gomega.Equal(1000 - maxLineBurst))
	omitted, _ = l.allow(now.Add(time.Second))
	g.Expect(omitted).To(gomega.BeZero())
}
