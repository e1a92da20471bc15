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

// Kind is the kind of a log entry.
type Kind string

// Kinds of entries.
const (
	// KindAccepted: an engine accepted a request, which may run from now on.
	KindAccepted Kind = "accepted"
	// KindFirstToken: the attempt generated its first token.
	KindFirstToken Kind = "first_token"
	// KindEnded: the attempt ended. Cause and Tokens are set.
	KindEnded Kind = "ended"
	// KindRefused: an engine refused a request without running it.
	KindRefused Kind = "refused"
	// KindOrder: a fenced order was accepted; KindOrderRefused: it was refused.
	KindOrder        Kind = "order"
	KindOrderRefused Kind = "order_refused"
	// KindDraining: the engine began to drain.
	KindDraining Kind = "draining"
	// KindWrite and KindDelete: an object of the platform was written or deleted.
	KindWrite  Kind = "write"
	KindDelete Kind = "delete"
	// KindLease: a lease got a new holder.
	KindLease Kind = "lease"
	// KindStarted: the stand-in started, perhaps after a crash.
	KindStarted Kind = "started"
)

// Cause is why an attempt ended.
type Cause string

// Causes of KindEnded.
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
	// From is the index of the attempt's first output token, Tokens the number
	// it generated.
	From   int   `json:"from,omitempty"`
	Tokens int   `json:"tokens,omitempty"`
	Cause  Cause `json:"cause,omitempty"`

	// Name is an order's verb and target, an object's kind and name, or a lease.
	Name  string `json:"name,omitempty"`
	Token uint64 `json:"token,omitempty"`
	// Revision is that of the object after the change, or of the store at startup.
	Revision uint64 `json:"revision,omitempty"`
	// Holder is the holder of a lease.
	Holder string `json:"holder,omitempty"`
}

// Log appends entries as JSON lines, unbuffered, so a crash loses none. A nil Log
// records nothing. No other lock is taken under its mutex.
type Log struct {
	source string
	now    func() time.Time

	mutex  sync.Mutex
	writer io.Writer
	closer io.Closer
}

// OpenLog returns a log that appends to a file, or nil if name is empty.
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

// NewLog returns a log that writes to writer, with times from now.
func NewLog(writer io.Writer, source string, now func() time.Time) *Log {
	return &Log{source: source, now: now, writer: writer}
}

// Record sets the entry's time and source and writes it.
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
		panic("truth: encode an entry: " + err.Error())
	}
	_, _ = l.writer.Write(append(line, '\n'))
}

// Close closes the file, if the log has one.
func (l *Log) Close() error {
	if l == nil || l.closer == nil {
		return nil
	}
	return l.closer.Close()
}

// maxLine is the longest line that Read accepts, in bytes.
const maxLine = 1 << 20

// Read returns the entries of a log. An invalid last line, as left by a crash, is
// dropped; any other invalid line is an error.
func Read(reader io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	var invalid error
	for line := 1; scanner.Scan(); line++ {
		if invalid != nil {
			return nil, invalid
		}
		var entry Entry
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			invalid = trace.Wrap(err, "truth log, line %d", line)
			continue
		}
		entries = append(entries, entry)
	}
	return entries, trace.Wrap(scanner.Err())
}

// ReadFiles returns the entries of several log files, file by file.
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
