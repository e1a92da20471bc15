package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"k8s.io/klog/v2"
)

const (
	// lineQueue bounds the lines that wait to be written.
	lineQueue = 2048
	// closeTime bounds how long Close waits for a reader that stands still.
	closeTime = 300 * time.Millisecond
)

// Output writes log lines without ever making the logging code wait: lines
// that its reader doesn't take in time are dropped and counted.
type Output struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	closing sync.Once
}

// NewOutput writes to a writer, usually the standard output.
func NewOutput(to io.Writer) *Output {
	o := &Output{lines: make(chan []byte, lineQueue), done: make(chan struct{})}
	go o.write(to)
	return o
}

func (o *Output) write(to io.Writer) {
	defer close(o.done)
	for line := range o.lines {
		_, _ = to.Write(line)
	}
}

// Line queues a line, or drops it if the queue is full.
func (o *Output) Line(line string) {
	select {
	case o.lines <- append([]byte(line), '\n'):
	default:
		o.dropped.Add(1)
	}
}

// Dropped is the number of lines dropped so far.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close writes what is queued, as far as the reader takes it soon. No line may
// be queued after it.
func (o *Output) Close() {
	o.closing.Do(func() { close(o.lines) })
	select {
	case <-o.done:
	case <-time.After(closeTime):
	}
}

// LogJSON makes every event one JSON object a line on the output: ts, level or
// error, msg (the event's name) and the event's keys and values.
func LogJSON(output *Output) {
	options := funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"}
	klog.SetLogger(logr.New(funcr.NewJSON(output.Line, options).GetSink()))
}
