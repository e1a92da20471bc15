package fairshare

import "slices"

// Demand is what one tenant asks for.
type Demand struct {
	// Weight is the tenant's weight; a weight that isn't positive counts as 0.
	Weight float64
	// Amount is what the tenant asks for, in the unit of the room that is divided.
	Amount float64
}

// MaxMin divides capacity among demands and returns what each gets, in their order. No demand
// gets more than it asks for, and those that get less have equal ratios of share to weight,
// which are higher than those of the others. Weights and amounts that aren't positive get
// nothing.
func MaxMin(capacity float64, demands []Demand) []float64 {
	shares := make([]float64, len(demands))
	var order []int
	for i, demand := range demands {
		if demand.Weight > 0 && demand.Amount > 0 {
			order = append(order, i)
		}
	}
	level := func(i int) float64 { return demands[i].Amount / demands[i].Weight }
	slices.SortStableFunc(order, func(i, j int) int {
		switch a, b := level(i), level(j); {
		case a < b:
			return -1
		case a > b:
			return 1
		}
		return 0
	})
	// Sums from the end, as differences of weights that are far apart lose the small ones.
	weights := make([]float64, len(order)+1)
	for n, i := range slices.Backward(order) {
		weights[n] = weights[n+1] + demands[i].Weight
	}
	for n, i := range order {
		shares[i] = max(0, min(demands[i].Amount, capacity*(demands[i].Weight/weights[n])))
		capacity -= shares[i]
	}
	return shares
}
