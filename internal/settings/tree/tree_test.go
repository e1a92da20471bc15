package tree

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/platform"
)

const sampleFile = `
path: fleet
kind: folder
requestsPerSecond: 10
batchShare: 0.2
---
path: fleet/hall
kind: folder
priority: 2
---
path: fleet/hall/drafting
kind: service
model: drafts
queueTimeout: 3s
---
path: fleet/hall/drafting/clerks
kind: tenant
keys: [secret]
burst: 7
`

func parse(t *testing.T, text string) []*Node {
	t.Helper()
	nodes, problems := ParseFile("sample.yaml", []byte(text))
	gomega.NewWithT(t).Expect(problems).To(gomega.BeEmpty())
	return nodes
}

func objectsOf(t *testing.T, nodes []*Node) []platform.Object {
	t.Helper()
	var objects []platform.Object
	for i, node := range nodes {
		spec, err := Encode(node)
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		objects = append(objects, platform.Object{Name: ObjectName(node.Path), Revision: uint64(i + 1), Spec: spec})
	}
	return objects
}

// Guards against wrong inheritance of fields, and against plaintext keys in the store.
func TestResolveInheritsUnsetFields(t *testing.T) {
	g := gomega.NewWithT(t)
	objects := objectsOf(t, parse(t, sampleFile))
	snapshot, problems := Resolve(objects, 4)
	g.Expect(problems).To(gomega.BeEmpty())
	tenant, ok := snapshot.TenantByKey(apikey.HashKey("secret"))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(tenant.Name).To(gomega.Equal("clerks"))
	g.Expect([]any{tenant.RequestsPerSecond, tenant.Burst, tenant.Priority, tenant.BatchWeight}).
		To(gomega.Equal([]any{10.0, 7, 2, 1.0}))
	service, ok := snapshot.ServiceByModel("drafts")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(service.QueueTimeout).To(gomega.Equal(3 * time.Second))
	g.Expect(service.BatchShare).To(gomega.Equal(0.2))
	for _, object := range objects {
		g.Expect(string(object.Spec)).NotTo(gomega.ContainSubstring("secret"))
	}
}

// Guards against stale inherited fields after an ancestor changes, goes or returns.
func TestApplyUpdatesInheritedFields(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := parse(t, sampleFile)
	tree := New()
	var updates []Update
	for _, node := range nodes {
		updates = append(updates, Update{Path: node.Path, Node: node})
	}
	tree.Apply(1, updates)
	steps := []struct {
		update       Update
		wantPriority int
		wantProblems int
	}{
		{Update{Path: "fleet", Node: &Node{Path: "fleet", Kind: KindFolder}}, 2, 0},
		{Update{Path: "fleet/hall"}, 5, 1},
		{Update{Path: "fleet", Node: &Node{Path: "fleet", Kind: KindFolder, Fields: Fields{Priority: ref(8)}}}, 8, 1},
		{Update{Path: "fleet/hall", Node: nodes[1]}, 2, 0},
	}
	for i, step := range steps {
		snapshot := tree.Apply(uint64(i+2), []Update{step.update})
		tenant, _ := snapshot.TenantByName("clerks")
		g.Expect(tenant.Priority).To(gomega.Equal(step.wantPriority), "step %d", i)
		g.Expect(tree.Problems()).To(gomega.HaveLen(step.wantProblems), "step %d", i)
	}
}

// Guards against lost inheritance across a missing node, and a leak of child links.
func TestApplyInheritsPastMissingAncestor(t *testing.T) {
	g := gomega.NewWithT(t)
	tree := New()
	tree.Apply(1, []Update{{Path: "a/b/c", Node: &Node{Path: "a/b/c", Kind: KindTenant}}})
	snapshot := tree.Apply(2, []Update{{Path: "a", Node: &Node{Path: "a", Kind: KindFolder, Fields: Fields{Burst: ref(3)}}}})
	tenant, _ := snapshot.TenantByName("c")
	g.Expect(tenant.Burst).To(gomega.Equal(3))
	g.Expect(tree.Problems()).To(gomega.HaveLen(1))
	snapshot = tree.Apply(3, []Update{{Path: "a"}})
	tenant, _ = snapshot.TenantByName("c")
	g.Expect(tenant.Burst).To(gomega.Equal(0))
	tree.Apply(4, []Update{{Path: "a/b/c"}})
	g.Expect(tree.children).To(gomega.BeEmpty())
}

// Guards against an owner of a duplicate key that depends on the order of updates.
func TestApplyDuplicateKeyBelongsToFirstPath(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := parse(t, sampleFile+"---\npath: fleet/hall/aaa\nkind: tenant\nkeys: [secret]\n")
	tree := New()
	for i, node := range nodes {
		tree.Apply(uint64(i), []Update{{Path: node.Path, Node: node}})
	}
	g.Expect(tree.Problems()).To(gomega.HaveLen(1))
	tenant, _ := tree.Snapshot().TenantByKey(apikey.HashKey("secret"))
	g.Expect(tenant.Name).To(gomega.Equal("aaa"))
	snapshot := tree.Apply(9, []Update{{Path: "fleet/hall/aaa"}})
	tenant, _ = snapshot.TenantByKey(apikey.HashKey("secret"))
	g.Expect(tenant.Name).To(gomega.Equal("clerks"))
	g.Expect(tree.Problems()).To(gomega.BeEmpty())
}

// Guards against problems that do not locate the fault in the file.
func TestParseFileReportsFilePathAndField(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"unknown field":   {"path: a\nkind: folder\nprioritty: 1\n", "f.yaml: a: line 3: field prioritty not found"},
		"out of range":    {"path: a\nkind: folder\npriority: 12\n", "f.yaml: a: priority: must be at most 9"},
		"no model":        {"path: a\nkind: service\n", "f.yaml: a: model: a service needs a model"},
		"bad kind":        {"path: a\nkind: team\n", "f.yaml: a: kind: must be one of folder service tenant"},
		"bad path":        {"path: A//b\nkind: folder\n", "f.yaml: A//b: path: path segment"},
		"bad duration":    {"path: a\nkind: folder\nqueueTimeout: soon\n", "f.yaml: a: "},
		"not YAML":        {"path: [\n", "f.yaml: document 1: yaml:"},
		"key on a folder": {"path: a\nkind: folder\nkeys: [x]\n", "f.yaml: a: keys: only a tenant"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, problems := ParseFile("f.yaml", []byte(test.text))
			g.Expect(problems).NotTo(gomega.BeEmpty())
			g.Expect(strings.HasPrefix(problems[0].String(), test.want)).To(gomega.BeTrue(), problems[0].String())
		})
	}
}

// Guards against example settings that no longer parse or resolve.
func TestLoadFolderLoadsExamples(t *testing.T) {
	for folder, key := range map[string]string{"nairamdal": "demo-caseworkers-key", "petition": "demo-citizens-key"} {
		g := gomega.NewWithT(t)
		live, err := LoadFolder("../../../examples/" + folder + "/settings")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, ok := live.Current().TenantByKey(apikey.HashKey(key))
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(live.Current().Models()).To(gomega.HaveLen(1))
	}
}
