package balance

import "chutelock.dev/chutelock/internal/catalog"

// Rule is what left a request no engine.
type Rule uint8

// Rules.
const (
	// RuleNone: the service has no engine, or all of them are leaving.
	RuleNone Rule = iota
	// RuleDrained: the engines that the request could go to are in drained zones.
	RuleDrained
	// RuleRegions: none of the service's engines is in a region of the request's.
	RuleRegions
)

// String says what the rule found.
func (r Rule) String() string {
	return [...]string{
		"the service has no engine",
		"the service's engines are in drained zones",
		"the service has no engine in the regions of the route and the tenant",
	}[r]
}

// NoEngineError is ErrNoEngine, with the rule that left no engine.
type NoEngineError struct{ Rule Rule }

// Error implements error.
func (e *NoEngineError) Error() string { return "balance: " + e.Rule.String() }

// Is makes the error one of ErrNoEngine.
func (e *NoEngineError) Is(target error) bool { return target == ErrNoEngine }

// emptiedBy finds the rule that left a wish no engine.
func emptiedBy(snapshot *catalog.Snapshot, wish Wish) Rule {
	rule := RuleNone
	for _, engine := range snapshot.Engines() {
		if engine.Service != wish.Service || engine.Leaving {
			continue
		}
		if !wish.Regions.Allow(engine.Region) {
			rule = RuleRegions
			continue
		}
		return RuleDrained // it would serve otherwise
	}
	return rule
}

// noEngine is a NoEngineError if there is no engine that the wish may go to.
func (b *Balancer) noEngine(wish Wish) error {
	snapshot := b.snapshot()
	if len(allowed(snapshot, wish)) > 0 {
		return nil
	}
	return &NoEngineError{Rule: emptiedBy(snapshot, wish)}
}
