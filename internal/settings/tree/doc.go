// Package tree holds the operators' settings tree: typed nodes at paths such
// as fleet/region/team/service/tenant, their YAML and stored forms, and the
// resolution into the immutable settings.Snapshot.
//
// A node inherits every field from its parent unless it sets the field itself;
// the root inherits from built-in defaults. Resolution is a pure function of
// the set of nodes, so that every machine that holds the same nodes derives
// the same snapshot. Two nodes that claim the same key, model or tenant name
// are a Problem; a change that would cause one is refused before it is
// written, and if racing writers still produce one, the claim of the path that
// sorts first holds everywhere.
package tree
