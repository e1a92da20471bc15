package tree

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/settings"
)

// claims tracks which node owns each key, tenant name and model, and collects
// the pending changes to the snapshot.
type claims struct {
	keys     *claimTable[apikey.Hash, *settings.Tenant]
	names    *claimTable[string, *settings.Tenant]
	services *claimTable[string, *settings.Service]
	// byPath maps a path to what its node claims.
	byPath map[string]claimant
}

// claimant holds the claims of one node.
type claimant struct {
	tenant  *settings.Tenant
	service *settings.Service
	keys    []apikey.Hash
}

// newClaims returns claims whose current owners are read from snapshot.
func newClaims(snapshot func() *settings.Snapshot) claims {
	pathOfTenant := func(tenant *settings.Tenant) string { return tenant.Path }
	return claims{
		keys: newClaimTable(func(key apikey.Hash) (*settings.Tenant, bool) {
			return snapshot().TenantByKey(key)
		}, pathOfTenant),
		names: newClaimTable(func(name string) (*settings.Tenant, bool) {
			return snapshot().TenantByName(name)
		}, pathOfTenant),
		services: newClaimTable(func(model string) (*settings.Service, bool) {
			return snapshot().ServiceByModel(model)
		}, func(service *settings.Service) string { return service.Path }),
		byPath: make(map[string]claimant),
	}
}

func (c *claims) claim(node *Node, effective *Fields) {
	switch node.Kind {
	case KindTenant:
		tenant := node.tenant(effective)
		own := claimant{tenant: tenant, keys: keysOf(node)}
		c.byPath[node.Path] = own
		c.names.add(tenant.Name, node.Path, tenant)
		for _, key := range own.keys {
			c.keys.add(key, node.Path, tenant)
		}
	case KindService:
		service := node.service(effective)
		c.byPath[node.Path] = claimant{service: service}
		c.services.add(service.Model, node.Path, service)
	}
}

func (c *claims) release(path string) {
	own, present := c.byPath[path]
	if !present {
		return
	}
	delete(c.byPath, path)
	if own.service != nil {
		c.services.remove(own.service.Model, path)
		return
	}
	c.names.remove(own.tenant.Name, path)
	for _, key := range own.keys {
		c.keys.remove(key, path)
	}
}

// takeEdit returns the changes since the last call.
func (c *claims) takeEdit() settings.Edit {
	return settings.Edit{Keys: c.keys.takeEdits(), Names: c.names.takeEdits(), Services: c.services.takeEdits()}
}

func (c *claims) problems() []Problem {
	var problems []Problem
	for name, paths := range c.names.conflictingPaths() {
		problems = append(problems, conflict("name", "tenant name "+name, paths))
	}
	for _, paths := range c.keys.conflictingPaths() {
		problems = append(problems, conflict("keys", "a key", paths))
	}
	for model, paths := range c.services.conflictingPaths() {
		problems = append(problems, conflict("model", "model "+model, paths))
	}
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.String(), b.String()) })
	return problems
}

func conflict(field, claim string, paths []string) Problem {
	reason := fmt.Sprintf("%s is claimed by %q already", claim, paths[0])
	return Problem{Path: paths[1], Field: field, Reason: reason}
}

func keysOf(node *Node) []apikey.Hash {
	keys := make([]apikey.Hash, 0, len(node.Keys))
	for _, text := range node.Keys {
		if hash, ok := parseKey(text); ok {
			keys = append(keys, hash)
		}
	}
	return keys
}

// claimTable maps each key to the value of the claiming path that sorts first.
// The owners are those of the snapshot, overridden by edits.
type claimTable[K comparable, V comparable] struct {
	lookup func(K) (V, bool)
	pathOf func(V) string
	// shadowed holds claims by paths that sort after the owner's; it is empty
	// unless concurrent writes claimed the same key.
	shadowed map[K]map[string]V
	// edits are the pending changes to the snapshot; a zero value removes.
	edits map[K]V
}

func newClaimTable[K comparable, V comparable](lookup func(K) (V, bool), pathOf func(V) string) *claimTable[K, V] {
	return &claimTable[K, V]{lookup: lookup, pathOf: pathOf, shadowed: make(map[K]map[string]V), edits: make(map[K]V)}
}

// owner returns the value of the path that owns a key, pending edits included.
func (t *claimTable[K, V]) owner(key K) (V, bool) {
	var none V
	if value, edited := t.edits[key]; edited {
		return value, value != none
	}
	return t.lookup(key)
}

func (t *claimTable[K, V]) add(key K, path string, value V) {
	owner, taken := t.owner(key)
	if taken && t.pathOf(owner) < path {
		t.addShadowed(key, path, value)
		return
	}
	if taken {
		t.addShadowed(key, t.pathOf(owner), owner)
	}
	t.edits[key] = value
}

func (t *claimTable[K, V]) addShadowed(key K, path string, value V) {
	if t.shadowed[key] == nil {
		t.shadowed[key] = make(map[string]V)
	}
	t.shadowed[key][path] = value
}

func (t *claimTable[K, V]) remove(key K, path string) {
	shadowed := t.shadowed[key]
	if shadowed == nil {
		var none V
		t.edits[key] = none
		return
	}
	owner, _ := t.owner(key)
	if t.pathOf(owner) == path {
		path = slices.Min(slices.Collect(maps.Keys(shadowed)))
		t.edits[key] = shadowed[path]
	}
	delete(shadowed, path)
	if len(shadowed) == 0 {
		delete(t.shadowed, key)
	}
}

func (t *claimTable[K, V]) takeEdits() map[K]V {
	edits := t.edits
	t.edits = make(map[K]V)
	return edits
}

// conflictingPaths returns the sorted paths that claim each key claimed twice or more.
func (t *claimTable[K, V]) conflictingPaths() map[K][]string {
	result := make(map[K][]string, len(t.shadowed))
	for key, shadowed := range t.shadowed {
		owner, _ := t.owner(key)
		paths := slices.Sorted(maps.Keys(shadowed))
		result[key] = append([]string{t.pathOf(owner)}, paths...)
	}
	return result
}
