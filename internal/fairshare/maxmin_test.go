package fairshare

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Tenants within their share get all they ask for; the rest is divided by weight.
func TestMaxMin(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct {
		capacity float64
		demands  []Demand
		want     []float64
	}{
		{10, nil, []float64{}},
		{10, []Demand{{1, 3}, {1, 4}}, []float64{3, 4}},
		{10, []Demand{{1, 1}, {1, 20}, {1, 20}}, []float64{1, 4.5, 4.5}},
		{12, []Demand{{1, 20}, {3, 20}}, []float64{3, 9}},
		{10, []Demand{{0, 5}, {-1, 5}, {1, 20}, {1, -2}}, []float64{0, 0, 10, 0}},
		{0, []Demand{{1, 5}}, []float64{0}},
		{10, []Demand{{1e12, 4}, {1e-6, 20}, {1e-6, 20}}, []float64{4, 3, 3}},
		{4, []Demand{{1e12, 4}, {1e-6, 20}}, []float64{4, 0}},
	} {
		g.Expect(MaxMin(c.capacity, c.demands)).To(gomega.Equal(c.want))
	}
}

// All room is used while demands exceed it, and no demand that is cut short has a lower ratio
// of share to weight than another tenant.
func TestMaxMinIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Demand {
			return Demand{Weight: rapid.Float64Range(0.1, 50).Draw(t, "weight"), Amount: rapid.Float64Range(0, 500).Draw(t, "amount")}
		}), 1, 20).Draw(t, "demands")
		shares := MaxMin(capacity, demands)
		total, asked := 0.0, 0.0
		for i, share := range shares {
			total += share
			asked += demands[i].Amount
			g.Expect(share).To(gomega.BeNumerically("<=", demands[i].Amount+1e-9))
			if share >= demands[i].Amount-1e-9 {
				continue
			}
			for j, other := range shares {
				g.Expect(share / demands[i].Weight).To(gomega.BeNumerically(">=", other/demands[j].Weight-1e-6))
			}
		}
		g.Expect(total).To(gomega.BeNumerically("~", min(capacity, asked), 1e-6))
	})
}
