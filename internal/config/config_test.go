package config

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const valid = `
node: {name: n1, zone: z1, region: r1}
listen: {callers: "127.0.0.1:0"}
peers: {seeds: ["127.0.0.1:7000"], key_file: keys}
platform: {address: "127.0.0.1:9000"}
drain: {timeout: 5s}
`

func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadMergesFileFlagsAndDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	flags := flag.NewFlagSet("test", flag.ContinueOnError)
	overrides := RegisterFlags(flags)
	g.Expect(flags.Parse([]string{"-node.zone", "z2", "-ledger.copies", "3"})).To(gomega.Succeed())
	node, err := Load(write(t, valid), overrides)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(node.Node.Zone).To(gomega.Equal("z2"))
	g.Expect(node.Ledger).To(gomega.Equal(Ledger{Shards: 8, Copies: 3, ReplaceAfter: time.Minute}))
	g.Expect(node.Drain.Timeout).To(gomega.Equal(5 * time.Second))
}

func TestLoadErrorNamesFileAndField(t *testing.T) {
	for name, tc := range map[string]struct{ extra, want string }{
		"unknown section":  {"listem: {callers: x}\n", "listem"},
		"unknown field":    {"data: {foldr: x}\n", "foldr"},
		"missing TLS key":  {"data: {folder: x}\ntls: {certificate: c}\n", "tls.key"},
		"invalid value":    {"ledger: {copies: 4}\n", "ledger.copies"},
		"invalid YAML":     {"{{{\n", "node.yaml"},
		"invalid duration": {"ledger: {replace_after: soon}\n", "replace_after"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := Load(write(t, valid+tc.extra), nil)
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("node.yaml")))
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(tc.want)))
		})
	}
	g := gomega.NewWithT(t)
	_, err := Load(write(t, valid), Overrides{"listen.peers": "localhost:1", "node.name": ""})
	g.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring("listen.peers"), gomega.ContainSubstring("node.name"))))
}

func TestReplicasKeepMajorityAfterLosses(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, tc := range []struct{ copies, losses, replicas int }{{3, 0, 3}, {3, 1, 3}, {3, 2, 5}, {5, 1, 5}, {1, 3, 7}} {
		ledger := Ledger{Copies: tc.copies, Losses: tc.losses}
		g.Expect(ledger.Replicas()).To(gomega.Equal(tc.replicas), "%+v", tc)
		left := ledger.Replicas() - tc.losses
		g.Expect(2*left).To(gomega.BeNumerically(">", ledger.Replicas()), "a majority must survive the losses")
	}
	_, err := Load(write(t, valid+"ledger: {losses: 4}\n"), nil)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("ledger.losses")))
}

func TestSoftBytesGrowsWithLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Memory{SoftLimit: 48}.SoftBytes()).To(gomega.BeEquivalentTo(48 << 20))
	g.Expect(Memory{SoftLimit: 48, Limit: 64}.SoftBytes()).To(gomega.BeEquivalentTo(48 << 20))
	g.Expect(Memory{SoftLimit: 48, Limit: 300}.SoftBytes()).To(gomega.BeEquivalentTo(180 << 20))
}

// Settings of overload that can't be meant are refused with the path of the field.
func TestOverloadSettingsAreChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct{ setting, path string }{
		{"mode: sometimes", "overload.mode"},
		{"weights: {a: -1}", "overload.weights"},
		{"weights: {a: 0}", "overload.weights"},
		{"weights: {a: .nan}", "overload.weights"},
		{"weights: {a: .inf}", "overload.weights"},
		{"job_lateness: 0.5", "overload.job_lateness"},
		{"job_lateness: .nan", "overload.job_lateness"},
		{"speed_probes: -1", "overload.speed_probes"},
	} {
		_, err := Load(write(t, valid+"\noverload:\n  "+c.setting+"\n"), nil)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.path)), c.setting)
	}
}
