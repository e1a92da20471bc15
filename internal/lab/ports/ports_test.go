package ports

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
)

const (
	firstPort = 11000
	lastPort  = 11900
	blockSize = 50
)

// Tests of two processes side by side took each other's ports: their first ports were next to
// each other, as their process ids are, and a node that was down for a while did not come back
// ("bind: address already in use").
func TestBlocksShareNoPort(t *testing.T) {
	g := gomega.NewWithT(t)
	given := map[netip.AddrPort]bool{}
	var blocks []*Block
	for range 3 {
		block, err := Claim(firstPort, lastPort, blockSize)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		blocks = append(blocks, block)
		for range blockSize - 1 {
			addr, err := block.Free()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(given[addr]).To(gomega.BeFalse(), "%v", addr)
			given[addr] = true
		}
	}
	for _, block := range blocks {
		g.Expect(block.Close()).To(gomega.Succeed())
	}
}

func TestABlockIsTakenOnceOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	block, err := Claim(firstPort, lastPort, blockSize)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = Claim(block.first-1, block.last, blockSize)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(block.Close()).To(gomega.Succeed())
}
