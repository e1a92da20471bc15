// Package tree implements the settings tree that operators edit: typed nodes at
// paths such as fleet/region/team/service/tenant, their YAML and stored forms,
// and their resolution into an immutable settings.Snapshot.
//
// A node inherits every field from its parent unless it sets the field itself;
// the root inherits from built-in defaults. Resolution is a pure function of
// the set of nodes, so every machine with the same nodes derives the same
// snapshot. Two nodes that claim the same key, model or tenant name are a
// Problem; a change that would cause one is rejected before it is written. If
// concurrent writes still produce one, the path that sorts first wins on every
// machine.
package tree
