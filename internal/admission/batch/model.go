package batch

import "time"

// stepModel learns how long an engine's steps take:
//
//	step = base + perStream × streams + perToken × prefilled tokens
//
// by recursive least squares with forgetting. All decisions compare lengths
// that the same model predicts, so an error of scale cancels out.
type stepModel struct {
	coefficients [modelTerms]float64 // seconds
	covariance   [modelTerms][modelTerms]float64
	// learnt counts observed steps, up to trustedAfter; misses counts steps in
	// a row that ended before or after their prediction.
	learnt int
	misses int
}

// modelTerms is the number of coefficients: base, streams, prefill. The last
// two are in hundreds, which keeps the terms of like size.
const modelTerms = 3

// Parameters of the model.
const (
	regressorUnit    = 100.0
	forgetting       = 0.9999 // weight kept by old observations, a step
	initialVariance  = 1.0
	largestVariance  = 10.0
	initialBase      = 0.006 // seconds
	initialPerStream = 0.00005
	initialPerToken  = 0.00002
	longestStep      = time.Second
	// trustedAfter is the number of observed steps after which predictions
	// stand in for tokens that are late; distrustedAfter missed predictions in
	// a row, as of an engine that has become slow, it has to learn anew.
	trustedAfter    = 200
	distrustedAfter = 50
)

func newStepModel() stepModel {
	model := stepModel{coefficients: [modelTerms]float64{
		initialBase, initialPerStream * regressorUnit, initialPerToken * regressorUnit}}
	for i := range model.covariance {
		model.covariance[i][i] = initialVariance
	}
	return model
}

func regressors(streams, prefill float64) [modelTerms]float64 {
	return [modelTerms]float64{1, streams / regressorUnit, prefill / regressorUnit}
}

// learn takes in one observed step.
func (m *stepModel) learn(observed time.Duration, streams, prefill float64) {
	if observed <= 0 || observed > longestStep {
		return
	}
	m.learnt = min(m.learnt+1, trustedAfter)
	m.misses = 0
	input := regressors(streams, prefill)
	var gain [modelTerms]float64
	divisor := forgetting
	for i := range gain {
		for j := range input {
			gain[i] += m.covariance[i][j] * input[j]
		}
		divisor += gain[i] * input[i]
	}
	failure := observed.Seconds() - dot(m.coefficients, input)
	for i := range gain {
		m.coefficients[i] += gain[i] / divisor * failure
	}
	for i := range m.covariance {
		for j := range m.covariance[i] {
			updated := (m.covariance[i][j] - gain[i]*gain[j]/divisor) / forgetting
			m.covariance[i][j] = min(max(updated, -largestVariance), largestVariance)
		}
	}
}

// trusted says whether the model has seen enough of the engine.
func (m *stepModel) trusted() bool { return m.learnt >= trustedAfter }

// missed notes a step whose prediction came before the token that ended it.
func (m *stepModel) missed() {
	m.misses++
	if m.misses >= distrustedAfter {
		m.learnt, m.misses = 0, 0
	}
}

func dot(a, b [modelTerms]float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// step predicts the length of a step.
func (m *stepModel) step(streams, prefill float64) time.Duration {
	seconds := dot(m.coefficients, regressors(streams, prefill))
	return min(max(time.Duration(seconds*float64(time.Second)), shortestStep), longestStep)
}

// shortestStep bounds predictions from below.
const shortestStep = 500 * time.Microsecond

// perStream is what one more stream adds to a step.
func (m *stepModel) perStream() time.Duration {
	return time.Duration(max(0, m.coefficients[1]) / regressorUnit * float64(time.Second))
}

// perToken is what one more prefilled token adds to a step.
func (m *stepModel) perToken() time.Duration {
	return time.Duration(max(0, m.coefficients[2]) / regressorUnit * float64(time.Second))
}
