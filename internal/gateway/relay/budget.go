package relay

// DefaultReserve is the number of retries that a quiet service may spend at
// once.
const DefaultReserve = 10

// Budget bounds retries to a share of requests. The zero value allows none. It
// is not safe for concurrent use.
type Budget struct {
	// Ratio is the retries earned by each request.
	Ratio float64
	// Reserve bounds what is saved up.
	Reserve float64

	balance  float64
	requests uint64
	retries  uint64
	denied   uint64
}

// NewBudget returns a budget with a full reserve.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{Ratio: ratio, Reserve: reserve, balance: reserve}
}

// Earn counts a new request.
func (b *Budget) Earn() {
	b.requests++
	b.balance = min(b.Reserve, b.balance+b.Ratio)
}

// Spend takes one retry out of the budget if there is one.
func (b *Budget) Spend() bool {
	if b.balance < 1 {
		b.denied++
		return false
	}
	b.balance--
	b.retries++
	return true
}

// Amplification is attempts divided by requests.
func (b *Budget) Amplification() float64 {
	if b.requests == 0 {
		return 1
	}
	return 1 + float64(b.retries)/float64(b.requests)
}
