package batch

import "time"

// stepModel predicts the length of an engine's steps,
//
//	step = base + perStream × streams + perToken × prefilled tokens
//
// fitted by recursive least squares with forgetting. All decisions compare lengths
// that the same model predicts, so errors of scale cancel out.
type stepModel struct {
	coefficients [modelTerms]float64 // seconds
	covariance   [modelTerms][modelTerms]float64
	// samples counts observed steps, up to trustedAfter; misses counts consecutive
	// steps whose predicted end came before the token that ended them.
	samples int
	misses  int
}

// modelTerms is the number of coefficients: base, streams, prefill. The last two
// are for regressorUnit streams or tokens, so that the terms have similar size.
const modelTerms = 3

// Parameters of the model.
const (
	regressorUnit    = 100.0
	forgettingFactor = 0.9999 // factor on the weight of old observations per step
	initialVariance  = 1.0
	maxVariance      = 10.0
	initialBase      = 0.006 // seconds
	initialPerStream = 0.00005
	initialPerToken  = 0.00002
	maxStep          = time.Second
	// trustedAfter is the number of observed steps after which predictions replace
	// late tokens. After distrustedAfter consecutive misses, as of an engine that
	// has become slow, as many steps must be observed again.
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

// learn updates the coefficients by an observed step.
func (m *stepModel) learn(observed time.Duration, streams, prefill float64) {
	if observed <= 0 || observed > maxStep {
		return
	}
	m.samples = min(m.samples+1, trustedAfter)
	m.misses = 0
	input := regressors(streams, prefill)
	var gain [modelTerms]float64
	divisor := forgettingFactor
	for i := range gain {
		for j := range input {
			gain[i] += m.covariance[i][j] * input[j]
		}
		divisor += gain[i] * input[i]
	}
	residual := observed.Seconds() - dot(m.coefficients, input)
	for i := range gain {
		m.coefficients[i] += gain[i] / divisor * residual
	}
	for i := range m.covariance {
		for j := range m.covariance[i] {
			updated := (m.covariance[i][j] - gain[i]*gain[j]/divisor) / forgettingFactor
			m.covariance[i][j] = min(max(updated, -maxVariance), maxVariance)
		}
	}
}

// trusted reports whether the model has observed enough steps.
func (m *stepModel) trusted() bool { return m.samples >= trustedAfter }

// missed records a step whose predicted end came before the token that ended it.
func (m *stepModel) missed() {
	m.misses++
	if m.misses >= distrustedAfter {
		m.samples, m.misses = 0, 0
	}
}

func dot(a, b [modelTerms]float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// step returns the predicted length of a step.
func (m *stepModel) step(streams, prefill float64) time.Duration {
	seconds := dot(m.coefficients, regressors(streams, prefill))
	return min(max(time.Duration(seconds*float64(time.Second)), minStep), maxStep)
}

// minStep is the lower bound of predictions.
const minStep = 500 * time.Microsecond

// perStream returns the time that one more stream adds to a step.
func (m *stepModel) perStream() time.Duration {
	return time.Duration(max(0, m.coefficients[1]) / regressorUnit * float64(time.Second))
}

// perToken returns the time that one more prefilled token adds to a step.
func (m *stepModel) perToken() time.Duration {
	return time.Duration(max(0, m.coefficients[2]) / regressorUnit * float64(time.Second))
}
