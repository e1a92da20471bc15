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

// Guards against concurrent test processes that get the same port, so that a server can't restart
// ("bind: address already in use").
func TestBlocksDoNotOverlap(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[netip.AddrPort]bool{}
	var blocks []*Block
	for range 3 {
		block, err := Claim(firstPort, lastPort, blockSize)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		blocks = append(blocks, block)
		for range blockSize - 1 {
			addr, err := block.Free()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(seen[addr]).To(gomega.BeFalse(), "%v", addr)
			seen[addr] = true
		}
	}
	for _, block := range blocks {
		g.Expect(block.Close()).To(gomega.Succeed())
	}
}

// Guards against a block that is reserved twice.
func TestClaimRejectsTakenBlock(t *testing.T) {
	g := gomega.NewWithT(t)
	block, err := Claim(firstPort, lastPort, blockSize)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = Claim(block.first-1, block.last, blockSize)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(block.Close()).To(gomega.Succeed())
}
