package poison

import (
	"context"
	"math/rand/v2"
	"time"

	"chutelock.dev/chutelock/internal/clock"
	"chutelock.dev/chutelock/internal/telemetry"
)

// Events about parts of prompts under which engines crash.
var (
	eventPartHeld     = telemetry.Define(2147, "prompt-part-held-back", "Engines crashed under requests that share a part of their prompts: no request with it is sent to an engine until a trial is answered. Gives the part, the engines, and when the next trial is due.")
	eventPartReleased = telemetry.Define(2148, "prompt-part-released", "A part of prompts is no longer held back: an engine answered a prompt with it, or its record was removed from the store.")
	eventPartTrial    = telemetry.Define(2149, "prompt-part-trial", "A request may try a part of prompts that is held back at one engine.")
	eventTrialFailed  = telemetry.Define(2150, "prompt-part-trial-not-granted", "The store could not be asked whether a part of prompts that is held back may be tried; this is retried.")
)

const (
	// maxClearDelay is the time over which nodes spread the news that a suspect part was answered, as
	// most of them see that at the same time. Only those that have not heard it from another send it.
	maxClearDelay = 300 * time.Millisecond
	// trialPause is how long a node waits before it asks for a trial again.
	trialPause = 2 * time.Second
	// decisionInterval is the least time between two decisions about suspect parts without news, as
	// crashes count against sound parts only after a while.
	decisionInterval = 100 * time.Millisecond
	// minPartRetryAfter is the least time after which callers of a held part are told to return.
	minPartRetryAfter = time.Second
)

// HeldPart is a part of a prompt that is held back.
type HeldPart struct {
	// ID is the part's ID.
	ID string
	// Left is the time until the part may be tried again.
	Left time.Duration
}

// PromptHeld returns the first part of a prompt that is held back; false if the prompt may be sent.
func (g *Guard) PromptHeld(p *Prompt) (HeldPart, bool) {
	if g == nil || !g.watchesParts.Load() || len(p.IDs()) == 0 {
		return HeldPart{}, false
	}
	now := g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now.Sub(g.decidedAt).Abs() >= decisionInterval {
		g.holdGuiltyParts(now)
	}
	for i, f := range p.fingerprints() {
		if until, held := g.table.PartHeldUntil(f); held && f != p.trial {
			g.refused.Add(1)
			return HeldPart{p.ids[i], max(until.Sub(now), minPartRetryAfter)}, true
		}
	}
	return HeldPart{}, false
}

// AdmitPrompt is PromptHeld, but if a trial of the prompt's only held part is due it asks the store to
// grant it to this request. The prompt then isn't held until EndTrial is called.
func (g *Guard) AdmitPrompt(ctx context.Context, p *Prompt) (HeldPart, bool) {
	held, isHeld := g.PromptHeld(p)
	if !isHeld || !g.tryPart(ctx, p) {
		return held, isHeld
	}
	return g.PromptHeld(p)
}

// tryPart makes a request the trial of its held part, and reports whether it did.
func (g *Guard) tryPart(ctx context.Context, p *Prompt) bool {
	f, due := g.dueTrial(p)
	if !due {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := g.options.Now().Truncate(time.Millisecond)
	granted, err := g.options.Store.GrantTrial(ctx, f, now)
	if err != nil {
		eventTrialFailed.Error(err, "fingerprint", f)
		return false
	}
	if !granted {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	record, _ := g.table.Get(f)
	if g.merge(Record{Fingerprint: f, Part: record.Part, Trials: []time.Time{now}, Last: now}) {
		g.schedulePublish(f, true)
	}
	p.trial = f
	eventPartTrial.Info("part", record.Part, "fingerprint", f, "trials", len(record.trials())+1)
	return true
}

// dueTrial returns the held part of a prompt if it is the only one, its trial is due, and this node did
// not ask for it within trialPause.
func (g *Guard) dueTrial(p *Prompt) (part Fingerprint, due bool) {
	now := g.options.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, f := range p.fingerprints() {
		until, held := g.table.PartHeldUntil(f)
		if !held || f == part {
			continue
		}
		if due || now.Before(until) || now.Before(g.trialAskedAt[f].Add(trialPause)) {
			return Fingerprint{}, false
		}
		part, due = f, true
	}
	if due {
		g.trialAskedAt[part] = now
	}
	return part, due
}

// EventReceived notes an event of the answer to a prompt. Once the answer has gone on for a while it clears
// the prompt's parts.
func (g *Guard) EventReceived(p *Prompt) {
	if g == nil {
		return
	}
	begins, survives := p.event(clock.Now())
	switch {
	case survives:
		g.PromptAnswered(p)
	case begins:
		parts := p.fingerprints()
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.table.Begun(parts, g.options.Now())
	}
}

// PromptAnswered records that an engine answered a prompt, which clears its parts.
func (g *Guard) PromptAnswered(p *Prompt) {
	if g == nil {
		return
	}
	now := g.options.Now().Truncate(time.Millisecond)
	parts := p.fingerprints()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var held []Fingerprint
	for _, f := range parts {
		if _, isHeld := g.table.PartHeldUntil(f); isHeld {
			held = append(held, f)
		}
	}
	for f, crashed := range g.table.Answered(parts, now) {
		g.scheduleClear(f, crashed)
	}
	for _, f := range held {
		if _, isHeld := g.table.PartHeldUntil(f); !isHeld {
			record, _ := g.table.Get(f)
			eventPartReleased.Info("part", record.Part, "fingerprint", f, "sound", true)
			delete(g.trialAskedAt, f)
		}
	}
	g.updateFlags()
}

// scheduleClear schedules the news that a part was answered after its crashes, of which the last was at
// the given time. The caller holds the mutex, here and below.
func (g *Guard) scheduleClear(f Fingerprint, crashed time.Time) {
	if _, scheduled := g.clears[f]; scheduled || g.running.Err() != nil {
		return
	}
	g.clears[f] = crashed
	delay := rand.N(maxClearDelay)
	g.tasks.Go(func() {
		clock.Sleep(g.running, delay)
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if _, isNews := g.clears[f]; isNews {
			delete(g.clears, f)
			g.schedulePublish(f, true)
		}
	})
}

// heardOf drops the news that a part was answered if a peer's record has it, and schedules it if the
// peer doesn't know and several crashes count against the part there.
func (g *Guard) heardOf(record *Record) {
	if !record.IsPart() {
		return
	}
	if crashed, scheduled := g.clears[record.Fingerprint]; scheduled && !record.Answered.Before(crashed) {
		delete(g.clears, record.Fingerprint)
	}
	known, _ := g.table.Get(record.Fingerprint)
	if len(record.suspectCrashes()) > 1 && len(known.suspectCrashes()) == 0 && known.Answered.After(record.Answered) {
		g.scheduleClear(record.Fingerprint, record.lastCrash())
	}
}

// holdGuiltyParts holds back parts by what is known now.
func (g *Guard) holdGuiltyParts(now time.Time) {
	if !g.table.HasSuspectParts() {
		return
	}
	g.decidedAt = now
	for _, f := range g.table.HoldGuiltyParts(now) {
		g.logPartHeld(f)
		g.schedulePublish(f, true)
	}
	g.updateFlags()
}

func (g *Guard) logPartHeld(f Fingerprint) {
	record, _ := g.table.Get(f)
	eventPartHeld.Info("part", record.Part, "fingerprint", f, "ends", record.suspectCrashes(), "answered", record.Answered, "until", record.trialDue())
}

// updateFlags updates the flags that are read without the mutex.
func (g *Guard) updateFlags() {
	g.hasRecords.Store(g.table.Len() > 0)
	g.hasHoldable.Store(g.table.HasHoldable())
	g.watchesParts.Store(g.table.HasSuspectParts() || g.table.HeldParts() > 0)
}

// HeldParts returns the number of parts of prompts that are held back.
func (g *Guard) HeldParts() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.table.HeldParts()
}
