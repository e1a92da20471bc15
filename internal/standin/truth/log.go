package truth

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Kind is what a log entry tells.
type Kind string

// Kinds of entries.
const (
	// KindAccepted: an engine took a request; it may run from now on.
	KindAccepted Kind = "accepted"
	// KindFirstToken: the request has produced its first token.
	KindFirstToken Kind = "first_token"
	// KindEnded: the attempt runs no more; Cause and Tokens say how it went.
	KindEnded Kind = "ended"
	// KindRefused: an engine refused a request without running it.
	KindRefused Kind = "refused"
	// KindOrder: a fenced order took effect; KindOrderRefused: it did not.
	KindOrder        Kind = "order"
	KindOrderRefused Kind = "order_refused"
	// KindDraining: the engine began to say that it is leaving.
	KindDraining Kind = "draining"
	// KindWrite and KindDelete: an object of the platform changed.
	KindWrite  Kind = "write"
	KindDelete Kind = "delete"
	// KindLease: a lease got a new holder.
	KindLease Kind = "lease"
	// KindStarted: the stand-in began, perhaps after a crash.
	KindStarted Kind = "started"
)

// Cause is why an attempt ended.
type Cause string

// Causes of an end.
const (
	CauseFinished     Cause = "finished"
	CauseCancelled    Cause = "cancelled"
	CauseDisconnected Cause = "disconnected"
	CauseSuspended    Cause = "suspended"
)

// Entry is one line of the log.
type Entry struct {
	At     time.Time `json:"at"`
	Source string    `json:"source"`
	Kind   Kind      `json:"kind"`

	Request  string `json:"request,omitempty"`
	Attempt  string `json:"attempt,omitempty"`
	Priority int    `json:"priority,omitempty"`
	// From is the first output token of the attempt; Tokens counts those that
	// it made.
	From   int   `json:"from,omitempty"`
	Tokens int   `json:"tokens,omitempty"`
	Cause  Cause `json:"cause,omitempty"`

	// Name is an order's verb and target, an object or a lease.
	Name  string `json:"name,omitempty"`
	Token uint64 `json:"token,omitempty"`
	// Revision is of the object after the write.
	Revision uint64 `json:"revision,omitempty"`
	// Holder of a lease.
	Holder string `json:"holder,omitempty"`
}

// Log appends entries as JSON lines. Each entry is written at once, so that a
// crash loses none. A nil Log records nothing. Its lock is taken last.
type Log struct {
	source string
	now    func() time.Time

	mutex  sync.Mutex
	writer io.Writer
	closer io.Closer
}

// OpenLog appends to a file; an empty name gives a nil Log.
func OpenLog(name, source string) (*Log, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, trace.Wrap(err, "open the truth log")
	}
	return &Log{source: source, now: time.Now, writer: file, closer: file}, nil
}

// NewLog writes to any writer, with the clock given.
func NewLog(writer io.Writer, source string, now func() time.Time) *Log {
	return &Log{source: source, now: now, writer: writer}
}

// Record stamps and writes an entry.
func (l *Log) Record(entry Entry) {
	if l == nil {
		return
	}
	entry.Source = l.source
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry.At = l.now()
	line, err := json.Marshal(entry)
	if err != nil {
		panic("truth: an entry can't be encoded: " + err.Error())
	}
	_, _ = l.writer.Write(append(line, '\n'))
}

// Close closes the file.
func (l *Log) Close() error {
	if l == nil || l.closer == nil {
		return nil
	}
	return l.closer.Close()
}

// maxLine is the longest line that Read accepts, in bytes.
const maxLine = 1 << 20

// Read reads a log. A torn last line, as a crash may leave, is dropped; any
// other broken line is an error.
func Read(reader io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	var torn error
	for line := 1; scanner.Scan(); line++ {
		if torn != nil {
			return nil, torn
		}
		var entry Entry
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			torn = trace.Wrap(err, "truth log, line %d", line)
			continue
		}
		entries = append(entries, entry)
	}
	return entries, trace.Wrap(scanner.Err())
}

// ReadFiles reads several logs.
func ReadFiles(names ...string) ([]Entry, error) {
	var all []Entry
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		entries, err := Read(file)
		_ = file.Close()
		if err != nil {
			return nil, trace.Wrap(err, "%s", name)
		}
		all = append(all, entries...)
	}
	return all, nil
}
