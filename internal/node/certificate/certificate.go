// Package certificate serves a TLS certificate and reloads changed files.
package certificate

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"chutelock.dev/chutelock/internal/telemetry"
)

// checkInterval is the minimum interval between checks of the files.
const checkInterval = time.Second

// Events of certificate files.
var (
	EventReloaded = telemetry.Define(1201, "certificate reloaded", "The certificate files changed and the new certificate is in use.")
	EventRejected = telemetry.Define(1202, "certificate rejected", "The changed certificate files could not be used; the former certificate stays in use.")
)

// Reloader returns the newest valid certificate from a pair of files. It is
// safe for concurrent use.
type Reloader struct {
	certificateFile string
	keyFile         string
	now             func() time.Time

	mutex    sync.Mutex // guards the fields below
	current  *tls.Certificate
	modified time.Time
	checked  time.Time
}

// NewReloader loads the pair of files and returns an error if it is invalid.
func NewReloader(certificateFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certificateFile: certificateFile, keyFile: keyFile, now: time.Now}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

// Config returns a server configuration that uses the current certificate.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get(), nil },
	}
}

func (r *Reloader) get() *tls.Certificate {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	if now.Sub(r.checked) < checkInterval {
		return r.current
	}
	r.checked = now
	if r.latestModTime().Equal(r.modified) {
		return r.current
	}
	if err := r.load(); err != nil {
		EventRejected.Error(err, "file", r.certificateFile)
		return r.current
	}
	EventReloaded.Info("file", r.certificateFile)
	return r.current
}

func (r *Reloader) load() error {
	modified := r.latestModTime()
	pair, err := tls.LoadX509KeyPair(r.certificateFile, r.keyFile)
	if err != nil {
		return trace.Wrap(err, "loading certificate %s and key %s", r.certificateFile, r.keyFile)
	}
	r.current = &pair
	r.modified = modified
	return nil
}

func (r *Reloader) latestModTime() time.Time {
	var newest time.Time
	for _, path := range []string{r.certificateFile, r.keyFile} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}
