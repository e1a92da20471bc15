package relay

import "sync"

// DefaultReserve is the number of retries that a quiet service may spend at
// once.
const DefaultReserve = 10

// Budget bounds retries to a share of requests. The zero value allows none.
// All calls of a service share one, from any goroutine; its lock is the
// innermost.
type Budget struct {
	mutex    sync.Mutex
	ratio    float64 // retries earned by each request
	reserve  float64 // bounds what is saved up
	balance  float64
	requests uint64
	retries  uint64
	denied   uint64
}

// NewBudget returns a budget with a full reserve.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, balance: reserve}
}

// SetRatio changes the retries earned by each request from now on.
func (b *Budget) SetRatio(ratio float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio = ratio
}

// Earn counts a new request.
func (b *Budget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.requests++
	b.balance = min(b.reserve, b.balance+b.ratio)
}

// Spend takes one retry out of the budget if there is one; a ratio of 0 allows
// none, whatever was saved up.
func (b *Budget) Spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.ratio <= 0 || b.balance < 1 {
		b.denied++
		return false
	}
	b.balance--
	b.retries++
	return true
}

// Amplification is attempts divided by requests.
func (b *Budget) Amplification() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.requests == 0 {
		return 1
	}
	return 1 + float64(b.retries)/float64(b.requests)
}
