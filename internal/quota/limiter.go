package quota

import (
	"time"

	"chutelock.dev/chutelock/internal/transport"
)

const (
	// hotAge is how old what others let through may be where a tenant is near its
	// limit; coldAge where it is below half of it: in that time no tenant that was
	// seen so low reaches its limit unseen, or it asks for more than ten times that.
	hotAge  = 60 * time.Millisecond
	coldAge = 400 * time.Millisecond
	// hotShare parts the two, as a share of the limit.
	hotShare = 0.5
	// refreshTime is how often a node without news reports.
	refreshTime = 400 * time.Millisecond
	// deafAge is the age from which on a node counts as one that hears nobody: a node
	// without news that finds its data node silent hears another one after refreshTime
	// and three reports. It asks before that wherever a tenant is near its limit.
	deafAge = 700 * time.Millisecond
	// tellFormer is in how many reports a new data node is told what the one before
	// told, and the one before that the node is gone: datagrams may be lost.
	tellFormer = 3
	// aloneHold is how long others keep room for a node that they don't hear; it is
	// longer than most cuts and restarts.
	aloneHold = 10 * time.Second
	// paceTime spreads what is free of a limit over the requests that come within it.
	// Without it a tenant that asks for ten times its limit gets all of it in the first
	// half second of each window of 5 s and nothing in the rest, and 51 nodes let 10 %
	// too many through before they hear of each other (in virtual time).
	paceTime = time.Second
	// returnMost bounds when a refused caller is told to come back.
	returnMost = 5 * time.Second
	// forgetAfter is how long a tenant without requests is remembered, in windows.
	forgetAfter = 2
)

// Limit is how much a tenant may ask for: within any span of time, Rate requests a
// second and Burst beyond.
type Limit struct {
	Rate  float64
	Burst float64
}

// Bounds say within which span limits hold, and how far the nodes' counts may be off:
// as a share of the limit, and in requests.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// tolerated is the part of Bounds' tolerance that a Limiter gives to callers, so that
// what fits is not refused where counts are a little too high; the rest is for what
// nodes haven't told each other.
const tolerated = 0.25

// Of is the number of requests that may be let through within the window.
func (b Bounds) Of(limit Limit) float64 {
	exact := limit.Rate*b.Window.Seconds() + limit.Burst
	return exact + tolerated*(b.Overage*exact+b.Slack)
}

// Verdict says what becomes of a request.
type Verdict uint8

// Verdicts.
const (
	// Admitted: the request fits, and is counted.
	Admitted Verdict = iota
	// Refused: the tenant is at its limit.
	Refused
	// Unsure: newer counts are to be asked for first.
	Unsure
)

// Decision is a verdict with what it rests on.
type Decision struct {
	Verdict Verdict
	// ComeBack is when a refused caller should ask again.
	ComeBack time.Duration
	// Own and Others are the requests let through within the window, Bound how many
	// may be, and Age how old the others' count is. Others has the Room that is kept
	// for zones of which nobody is heard.
	Own, Others, Room, Bound float64
	Age                      time.Duration
}

// Limiter decides at a front node. It is not safe for concurrent use.
type Limiter struct {
	bounds  Bounds
	tenants map[Key]*tenant
	// others are requests that others let through, as of heardAt. unheard says for what
	// room is kept beside, and within which of others use such room.
	others, within Counts
	unheard        Unheard
	heardAt        time.Time
	// sender made the last sum. former is what others let through by the last sums of
	// the senders before, as of formerAt; untold is how many reports still tell of it.
	sender   uint32
	former   Counts
	formerAt time.Time
	untold   int
	// receiver is where the last report went. left is where the ones before went, and
	// unleft how many reports still tell it that this node is gone.
	receiver, left transport.Address
	unleft         int
	// changed: requests were let through since the last report, at toldAt.
	changed bool
	toldAt  time.Time
	sweepAt time.Time
}

type tenant struct {
	admitted window
	asked    rate
	// told is the node's own count in its last report, and known that in the last
	// one that was answered: for so much the others keep room.
	told, known float64
	// returns is when the last refused caller was told to come back.
	returns time.Time
}

// NewLimiter returns a limiter that has let nothing through.
func NewLimiter(bounds Bounds) *Limiter {
	return &Limiter{bounds: bounds, tenants: map[Key]*tenant{}}
}

func (l *Limiter) tenant(key Key) *tenant {
	known := l.tenants[key]
	if known == nil {
		known = &tenant{admitted: window{span: l.bounds.Window}}
		l.tenants[key] = known
	}
	return known
}

// Check decides on a request of a tenant. last says that counts can't get newer, and
// a request that asked before isn't counted as asking again. draw is uniform in
// [0, 1).
func (l *Limiter) Check(key Key, limit Limit, last bool, now time.Time, draw func() float64) Decision {
	known := l.tenant(key)
	if !last {
		known.asked.add(now)
	}
	others := l.others[key]
	age := now.Sub(l.heardAt)
	d := Decision{Own: known.admitted.count(now), Bound: l.bounds.Of(limit), Age: age}
	d.Room = max(0, l.unheard.part()*d.Bound-l.within[key].Admitted)
	d.Others = l.othersOf(key, d.Room, now)
	if !last && l.tooOld(d) {
		d.Verdict = Unsure
		return d
	}
	if age > deafAge {
		d.Verdict = l.alone(known, d)
	} else {
		d.Verdict = together(d, known.asked.now(now)+others.Asked, draw)
	}
	if d.Verdict == Admitted {
		known.admitted.add(now)
		l.changed = true
	} else {
		d.ComeBack = known.comeBack(limit, others.Asked, now)
	}
	return d
}

// othersOf is what others let through, with the room that they may be using unheard, as
// far as it is still within the window.
func (l *Limiter) othersOf(key Key, room float64, now time.Time) float64 {
	told := (l.others[key].Admitted + room) * held(now.Sub(l.heardAt), deafAge, l.bounds.Window)
	return max(told, l.former[key].Admitted*held(now.Sub(l.formerAt), 0, l.bounds.Window))
}

func (l *Limiter) tooOld(d Decision) bool {
	if d.Own+d.Others < hotShare*d.Bound {
		return d.Age > coldAge
	}
	return d.Age > hotAge
}

// together decides by what others let through. If more is asked for than is free,
// each node lets so many through that about as many fit.
func together(d Decision, asked float64, draw func() float64) Verdict {
	free := d.Bound - d.Own - d.Others
	expected := asked * paceTime.Seconds()
	if free >= 1 && draw()*expected < free {
		return Admitted
	}
	return Refused
}

// alone decides without others' counts: the node keeps to the count for which the
// others keep room, and to a single request where they keep none.
func (l *Limiter) alone(known *tenant, d Decision) Verdict {
	if d.Own+1 <= max(1, known.known*held(d.Age, aloneHold-l.bounds.Window, l.bounds.Window)) {
		return Admitted
	}
	return Refused
}

// Withdraw takes back a request that was admitted and reached no engine.
func (l *Limiter) Withdraw(key Key, admitted, now time.Time) {
	if known := l.tenants[key]; known != nil {
		known.admitted.remove(admitted, now)
	}
}

// comeBack spreads refused callers over the time in which the tenant's allowance
// comes back: one after the other, at this node's part of the limit.
func (t *tenant) comeBack(limit Limit, othersAsk float64, now time.Time) time.Duration {
	own := t.asked.now(now)
	part := own / max(own+othersAsk, 1/rateMemory.Seconds())
	each := time.Duration(float64(time.Second) / max(limit.Rate*part, 1/returnMost.Seconds()))
	if t.returns.Before(now) {
		t.returns = now
	}
	t.returns = t.returns.Add(each)
	if latest := now.Add(returnMost); t.returns.After(latest) {
		t.returns = latest
	}
	return t.returns.Sub(now)
}

// Heard takes what all others let through, in answer to a report. A sender that is new
// may not know of all: what the one before told counts, too, until the window has
// slid past it. Late answers of a data node that this one has left say nothing.
func (l *Limiter) Heard(from transport.Address, sum Sum, now time.Time) {
	if from != l.receiver {
		return
	}
	if sum.Life != l.sender {
		l.sender = sum.Life
		l.remember(now)
	}
	l.others, l.within, l.unheard, l.heardAt = sum.Counts, sum.Within, sum.Unheard, now
	for _, one := range l.tenants {
		one.known = one.told
	}
}

// remember keeps what others let through, for a data node that may not know.
func (l *Limiter) remember(now time.Time) {
	if len(l.others) == 0 && len(l.former) == 0 {
		return
	}
	former := l.remembered(now)
	told := Counts{}
	told.add(l.others, held(now.Sub(l.heardAt), 0, l.bounds.Window), now.Sub(l.heardAt))
	former.raise(told)
	l.former, l.formerAt, l.untold = former, now, tellFormer
}

// remembered is what senders of sums before the present one told, as far as the
// window still holds it.
func (l *Limiter) remembered(now time.Time) Counts {
	age := now.Sub(l.formerAt)
	left := held(age, 0, l.bounds.Window)
	if left <= 0 {
		l.former = nil
	}
	counts := Counts{}
	counts.add(l.former, left, age)
	return counts
}

// Report returns what this node let through in its life, for a data node. left is one
// that is to be told that this node is gone from it, or empty.
func (l *Limiter) Report(life uint32, to transport.Address, now time.Time) (report Report, left transport.Address) {
	if to != l.receiver {
		l.left, l.receiver, l.unleft = l.receiver, to, tellFormer
		l.remember(now)
	}
	report = Report{Life: life, Counts: l.own(now)}
	if l.untold > 0 {
		l.untold--
		report.Others, report.Unheard = l.remembered(now), l.unheard
	}
	if l.unleft > 0 {
		l.unleft--
		left = l.left
	}
	return report, left
}

func (l *Limiter) own(now time.Time) Counts {
	l.sweep(now)
	l.changed, l.toldAt = false, now
	own := Counts{}
	for key, known := range l.tenants {
		known.told = known.admitted.count(now)
		if count := (Count{Admitted: known.told, Asked: known.asked.now(now)}); count.Admitted > 0 || count.Asked >= 1 {
			own[key] = count
		}
	}
	return own
}

// Due says that there is something to report: requests were let through since the
// last report, or that one is old and this node would count as lost.
func (l *Limiter) Due(now time.Time) bool {
	return l.changed || (len(l.tenants) > 0 && now.Sub(l.toldAt) >= refreshTime)
}

// sweep forgets tenants that have no requests.
func (l *Limiter) sweep(now time.Time) {
	if now.Before(l.sweepAt) {
		return
	}
	l.sweepAt = now.Add(l.bounds.Window)
	for key, known := range l.tenants {
		if now.Sub(known.asked.at) > forgetAfter*l.bounds.Window && now.After(known.returns) {
			delete(l.tenants, key)
		}
	}
}
