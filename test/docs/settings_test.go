package docs

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/config"
)

// Each setting has a row in the operators' page.
func TestEachSettingIsDocumented(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATING.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, path := range config.Paths() {
		g.Expect(strings.Contains(string(page), "`"+path+"`")).To(gomega.BeTrue(), path)
	}
}
