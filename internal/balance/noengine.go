package balance

import "chutelock.dev/chutelock/internal/catalog"

// Rule is the reason why no engine may serve a request.
type Rule uint8

// Reasons for an empty set of engines.
const (
	// RuleNone: the service has no engine, or all of them are leaving.
	RuleNone Rule = iota
	// RuleDrained: the engines in the request's regions are in drained zones.
	RuleDrained
	// RuleRegions: no engine of the service is in one of the request's regions.
	RuleRegions
	// RuleRelease: no engine that may serve the request is of the release that began its text.
	RuleRelease
)

// String describes the rule in error messages.
func (r Rule) String() string {
	return [...]string{
		"the service has no engine",
		"the service's engines are in drained zones",
		"the service has no engine in the regions of the route and the tenant",
		"the service has no engine of the release that began the text",
	}[r]
}

// NoEngineError is an ErrNoEngine with its reason.
type NoEngineError struct{ Rule Rule }

// Error implements error.
func (e *NoEngineError) Error() string { return "balance: " + e.Rule.String() }

// Is reports whether the target is ErrNoEngine.
func (e *NoEngineError) Is(target error) bool { return target == ErrNoEngine }

// emptyingRule returns the reason why no engine may serve the wish.
func emptyingRule(snapshot *catalog.Snapshot, wish Wish) Rule {
	rule := RuleNone
	for _, engine := range snapshot.Engines() {
		if engine.Service != wish.Service || engine.Leaving {
			continue
		}
		switch {
		case !wish.Regions.Allow(engine.Region):
			rule = max(rule, RuleRegions)
		case !wish.allows(engine):
			rule = RuleRelease
		default:
			return RuleDrained // not leaving, in an allowed region and of the release
		}
	}
	return rule
}

// Serves reports whether any engine may serve the wish, regardless of load.
func (b *Balancer) Serves(wish Wish) bool { return len(allowed(b.snapshot(), wish)) > 0 }

// noEngineError returns a NoEngineError if no engine may serve the wish, else nil.
func (b *Balancer) noEngineError(wish Wish) error {
	snapshot := b.snapshot()
	if len(allowed(snapshot, wish)) > 0 {
		return nil
	}
	return &NoEngineError{Rule: emptyingRule(snapshot, wish)}
}
