package relay

import "sync"

// DefaultReserve is the default maximum number of saved retries.
const DefaultReserve = 10

// Budget limits retries to a ratio of requests. The zero value allows none. It is
// shared by all calls of a service and safe for concurrent use; no other lock is
// acquired while its lock is held.
type Budget struct {
	mutex    sync.Mutex
	ratio    float64 // retries earned by each request
	reserve  float64 // maximum balance
	balance  float64
	requests uint64
	retries  uint64
	denied   uint64
}

// NewBudget returns a budget with a full reserve.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, balance: reserve}
}

// SetRatio sets the retries earned by each later request.
func (b *Budget) SetRatio(ratio float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio = ratio
}

// Earn counts a new request and credits its retries.
func (b *Budget) Earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.requests++
	b.balance = min(b.reserve, b.balance+b.ratio)
}

// Spend takes one retry from the balance and reports whether there was one. With a
// ratio of 0 it always reports false.
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

// Amplification returns the number of attempts per request.
func (b *Budget) Amplification() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.requests == 0 {
		return 1
	}
	return 1 + float64(b.retries)/float64(b.requests)
}
