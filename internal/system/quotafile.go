package system

import (
	"encoding/binary"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/quota"
	"chutelock.dev/chutelock/internal/telemetry"
)

var (
	eventLimitsNotSaved = telemetry.Define(2114, "limits-not-saved", "A data node could not save when tenants' requests were admitted: if all nodes are killed, those since the last time are not counted. Logged once until saving succeeds.")
	eventLimitsDamaged  = telemetry.Define(2116, "limits-damaged", "A file with saved counts of limits can't be read and is ignored; the other one is used.")
	eventLimitsRestored = telemetry.Define(2115, "limits-restored", "A data node counts requests that were admitted before it started; gives the number of tenants.")
)

// quotaFiles are the names of the files in a data folder that counts are saved to in turn, so that
// one stays whole if the other is damaged.
var quotaFiles = [2]string{"limits-0", "limits-1"}

const (
	quotaFileMode   = 0o640
	quotaFolderMode = 0o750
	// maxQuotaFile bounds the size of a file that is read, in bytes.
	maxQuotaFile = 1 << 20
)

// quotaFileSet saves counts of limits in a data folder. It is not safe for concurrent use.
type quotaFileSet struct {
	folder  string
	files   [len(quotaFiles)]*os.File
	next    int
	failing bool
}

// load returns the newest counts saved, and false if there are none. A missing or damaged file is
// not an error.
func (q *quotaFileSet) load() (newest quota.Saved, found bool) {
	for i, name := range quotaFiles {
		saved, err := readQuotaFile(filepath.Join(q.folder, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			eventLimitsDamaged.Error(err, "file", name)
			continue
		}
		if !found || saved.After(newest) {
			newest, found = saved, true
			q.next = 1 - i
		}
	}
	return newest, found
}

func readQuotaFile(path string) (quota.Saved, error) {
	file, err := os.Open(path)
	if err != nil {
		return quota.Saved{}, err
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxQuotaFile))
	if err != nil {
		return quota.Saved{}, err
	}
	// What a longer record left behind follows the record.
	size, header := binary.Uvarint(content)
	if header <= 0 || size > uint64(len(content)-header) {
		return quota.Saved{}, io.ErrUnexpectedEOF
	}
	return quota.UnmarshalSaved(content[header : header+int(size)])
}

// save writes counts over the older file, in place, as a full disk still has room for that. It isn't
// synced: a kill of the process loses nothing that was written.
func (q *quotaFileSet) save(encoded []byte) {
	err := q.write(append(binary.AppendUvarint(nil, uint64(len(encoded))), encoded...))
	if err == nil {
		q.next = 1 - q.next
	} else if !q.failing {
		eventLimitsNotSaved.Error(trace.Wrap(err, "write %s in %s", quotaFiles[q.next], q.folder))
	}
	q.failing = err != nil
}

func (q *quotaFileSet) write(record []byte) error {
	if q.files[q.next] == nil {
		if err := os.MkdirAll(q.folder, quotaFolderMode); err != nil {
			return err
		}
		file, err := os.OpenFile(filepath.Join(q.folder, quotaFiles[q.next]), os.O_WRONLY|os.O_CREATE, quotaFileMode)
		if err != nil {
			return err
		}
		q.files[q.next] = file
	}
	_, err := q.files[q.next].WriteAt(record, 0)
	return err
}

func (q *quotaFileSet) close() {
	for _, file := range q.files {
		if file != nil {
			_ = file.Close() // nothing is buffered
		}
	}
}

// restore counts what an earlier run of this node saved.
func (e *quotaExchange) restore(saved quota.Saved) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if tenants := e.collector.Restore(saved, clock.Now(), quotaInstant()); tenants > 0 {
		eventLimitsRestored.Info("tenants", tenants)
	}
}

func quotaInstant() quota.Instant {
	return quota.Instant{Wall: time.Now(), Uptime: clock.Uptime()}
}

// encodeSaved returns what to save; nil if no limited tenant has requests within the window.
func (e *quotaExchange) encodeSaved() []byte {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.refresh()
	limited := func(key quota.Key) bool { return e.maxAdmitted(key) > 0 }
	return e.collector.Save(limited, clock.Now(), quotaInstant())
}

// saveLimits saves counts as they change, until the node stops.
func (d *data) saveLimits() {
	defer d.quotaFiles.close()
	for {
		select {
		case <-d.stop:
			return
		case <-d.quotas.saveDue:
		}
		if encoded := d.quotas.encodeSaved(); encoded != nil {
			d.quotaFiles.save(encoded)
		}
		if !d.sleep(quota.SaveInterval) {
			return
		}
	}
}
