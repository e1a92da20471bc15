package docs

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/config"
)

// Guards against settings that docs/OPERATING.md omits.
func TestEachSettingIsDocumented(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATING.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, path := range config.Paths() {
		g.Expect(strings.Contains(string(page), "`"+path+"`")).To(gomega.BeTrue(), path)
	}
}
