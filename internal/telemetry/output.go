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
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 2048
	// closeTimeout bounds how long Close waits for a blocked writer.
	closeTimeout = 300 * time.Millisecond
)

// Output writes log lines asynchronously. It drops and counts lines when its
// queue is full, so that logging never blocks.
type Output struct {
	lines     chan []byte
	done      chan struct{}
	dropped   atomic.Int64
	closeOnce sync.Once
}

// NewOutput returns an Output that writes to a writer, usually standard output.
func NewOutput(to io.Writer) *Output {
	o := &Output{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go o.write(to)
	return o
}

func (o *Output) write(to io.Writer) {
	defer close(o.done)
	for line := range o.lines {
		_, _ = to.Write(line)
	}
}

// WriteLine queues a line, or drops it if the queue is full.
func (o *Output) WriteLine(line string) {
	select {
	case o.lines <- append([]byte(line), '\n'):
	default:
		o.dropped.Add(1)
	}
}

// Dropped returns the number of lines dropped so far.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close waits until the queued lines are written, for closeTimeout at most. A
// later call of WriteLine panics.
func (o *Output) Close() {
	o.closeOnce.Do(func() { close(o.lines) })
	select {
	case <-o.done:
	case <-time.After(closeTimeout):
	}
}

// SetJSONLogger makes klog write each event to the output as a JSON object on one line:
// ts, level or error, msg (the event's name) and the event's keys and values.
func SetJSONLogger(output *Output) {
	options := funcr.Options{LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"}
	klog.SetLogger(logr.New(funcr.NewJSON(output.WriteLine, options).GetSink()))
}
