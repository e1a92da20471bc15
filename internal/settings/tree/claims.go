package tree

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"chutelock.dev/chutelock/internal/apikey"
	"chutelock.dev/chutelock/internal/settings"
)

// claims tracks which node owns each key, tenant name and model, and gathers
// how the snapshot changes.
type claims struct {
	keys     *claimTable[apikey.Hash, *settings.Tenant]
	names    *claimTable[string, *settings.Tenant]
	services *claimTable[string, *settings.Service]
	// byPath says what the node at a path claims.
	byPath map[string]claimant
}

// claimant is what one node claims.
type claimant struct {
	tenant  *settings.Tenant
	service *settings.Service
	keys    []apikey.Hash
}

// newClaims makes the claims that a tree's newest snapshot holds.
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

// takeEdit gives the changes since the last call.
func (c *claims) takeEdit() settings.Edit {
	return settings.Edit{Keys: c.keys.take(), Names: c.names.take(), Services: c.services.take()}
}

func (c *claims) contested() []Problem {
	var problems []Problem
	for name, paths := range c.names.contested() {
		problems = append(problems, conflict("name", "tenant name "+name, paths))
	}
	for _, paths := range c.keys.contested() {
		problems = append(problems, conflict("keys", "a key", paths))
	}
	for model, paths := range c.services.contested() {
		problems = append(problems, conflict("model", "model "+model, paths))
	}
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.String(), b.String()) })
	return problems
}

func conflict(field, what string, paths []string) Problem {
	reason := fmt.Sprintf("%s is claimed by %q already", what, paths[0])
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
// The owners are what the snapshot holds, changed by edit.
type claimTable[K comparable, V comparable] struct {
	inForce func(K) (V, bool)
	pathOf  func(V) string
	// rivals holds further claims; it is empty unless writers raced.
	rivals map[K]map[string]V
	// edit is what changes in the snapshot; a zero value removes.
	edit map[K]V
}

func newClaimTable[K comparable, V comparable](inForce func(K) (V, bool), pathOf func(V) string) *claimTable[K, V] {
	return &claimTable[K, V]{inForce: inForce, pathOf: pathOf, rivals: make(map[K]map[string]V), edit: make(map[K]V)}
}

// owner is who holds a key now.
func (t *claimTable[K, V]) owner(key K) (V, bool) {
	var none V
	if value, edited := t.edit[key]; edited {
		return value, value != none
	}
	return t.inForce(key)
}

func (t *claimTable[K, V]) add(key K, path string, value V) {
	owner, taken := t.owner(key)
	if taken && t.pathOf(owner) < path {
		t.addRival(key, path, value)
		return
	}
	if taken {
		t.addRival(key, t.pathOf(owner), owner)
	}
	t.edit[key] = value
}

func (t *claimTable[K, V]) addRival(key K, path string, value V) {
	if t.rivals[key] == nil {
		t.rivals[key] = make(map[string]V)
	}
	t.rivals[key][path] = value
}

func (t *claimTable[K, V]) remove(key K, path string) {
	rivals := t.rivals[key]
	if rivals == nil {
		var none V
		t.edit[key] = none
		return
	}
	owner, _ := t.owner(key)
	if t.pathOf(owner) == path {
		path = slices.Min(slices.Collect(maps.Keys(rivals)))
		t.edit[key] = rivals[path]
	}
	delete(rivals, path)
	if len(rivals) == 0 {
		delete(t.rivals, key)
	}
}

func (t *claimTable[K, V]) take() map[K]V {
	edit := t.edit
	t.edit = make(map[K]V)
	return edit
}

// contested gives the claiming paths in order of each key with several.
func (t *claimTable[K, V]) contested() map[K][]string {
	result := make(map[K][]string, len(t.rivals))
	for key, rivals := range t.rivals {
		owner, _ := t.owner(key)
		paths := slices.Sorted(maps.Keys(rivals))
		result[key] = append([]string{t.pathOf(owner)}, paths...)
	}
	return result
}
