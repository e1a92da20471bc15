package poison

import (
	"crypto/sha256"
	"slices"
	"time"
)

// survivalTime is how long after its first event an answer shows that the parts of its prompt
// don't crash engines: a poison part does as the engine begins to answer.
const survivalTime = time.Second

// PartFingerprint returns the fingerprint of the part of prompts with an ID. It doesn't depend
// on the caller, as engines share the memory of a part among callers, too.
func PartFingerprint(id string) Fingerprint {
	hash := sha256.Sum256([]byte("prompt part " + id))
	return Fingerprint(hash[:len(Fingerprint{})])
}

// maxPartName bounds the part of an ID that records keep for operators.
const maxPartName = 64

// Prompt has the shared parts of a request's prompt. It belongs to one request and is not safe
// for concurrent use. A nil Prompt has no parts.
type Prompt struct {
	ids   []string
	parts []Fingerprint // of ids; nil until first used
	// trial is the part that the request may try at one engine although it is held back; zero
	// if there is none.
	trial Fingerprint
	// begun is the time of the first event of the answer under way, and sound is set once it has
	// gone on for survivalTime.
	begun time.Time
	sound bool
}

// NewPrompt returns a prompt with the given IDs of shared parts, in order.
func NewPrompt(ids []string) *Prompt { return &Prompt{ids: ids} }

// IDs returns the IDs of the shared parts, in order.
func (p *Prompt) IDs() []string {
	if p == nil {
		return nil
	}
	return p.ids
}

// BeginAttempt notes that the request is sent to an engine.
func (p *Prompt) BeginAttempt() {
	if p != nil {
		p.begun, p.sound = time.Time{}, false
	}
}

// event notes an event of the answer and reports whether it is the first one, or the first one that shows
// the parts to be sound.
func (p *Prompt) event(now time.Time) (begins, survives bool) {
	if p == nil || p.sound {
		return false, false
	}
	if p.begun.IsZero() {
		p.begun = now
		return true, false
	}
	p.sound = now.Sub(p.begun) >= survivalTime
	return false, p.sound
}

// EndTrial ends the trial of a part: the request has been sent.
func (p *Prompt) EndTrial() {
	if p != nil {
		p.trial = Fingerprint{}
	}
}

// clone returns a copy that isn't changed any more.
func (p *Prompt) clone() *Prompt {
	if p == nil {
		return nil
	}
	p.fingerprints()
	copied := *p
	return &copied
}

// fingerprints returns the fingerprints of the parts.
func (p *Prompt) fingerprints() []Fingerprint {
	if p == nil {
		return nil
	}
	if p.parts == nil {
		for _, id := range p.ids {
			p.parts = append(p.parts, PartFingerprint(id))
		}
	}
	return p.parts
}

// crashRecords returns the records of a crash for the parts of the prompt. request is the
// fingerprint of the whole request. There are none if its answer shows the parts to be sound.
func (p *Prompt) crashRecords(request Fingerprint, engine string, answering bool, at time.Time) (records []Record) {
	if p != nil && p.sound {
		return nil
	}
	for depth, f := range p.fingerprints() {
		if slices.Contains(p.parts[:depth], f) {
			continue
		}
		name := p.ids[depth]
		records = append(records, Record{
			Fingerprint: f, Part: name[:min(len(name), maxPartName)], Last: at,
			Crashes: []Crash{{Engine: engine, Answering: answering, Request: request, Depth: depth}},
		})
	}
	return records
}
