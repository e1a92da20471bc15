package tree

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// fieldNames are the JSON names of the inheritable fields, in struct order.
var fieldNames = namesOf(reflect.TypeOf(Fields{}))

func namesOf(structure reflect.Type) []string {
	names := make([]string, structure.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(structure.Field(i).Tag.Get("json"), ",")
	}
	return names
}

// inherit returns own with its unset fields taken from parent.
func inherit(own, parent *Fields) *Fields {
	effective := *own
	target := reflect.ValueOf(&effective).Elem()
	source := reflect.ValueOf(parent).Elem()
	for i := range fieldNames {
		if target.Field(i).IsNil() {
			target.Field(i).Set(source.Field(i))
		}
	}
	return &effective
}

// clearField unsets an inheritable field; other names are ignored.
func clearField(fields *Fields, name string) {
	name, _, _ = strings.Cut(name, "[")
	if i := slices.Index(fieldNames, name); i >= 0 {
		reflect.ValueOf(fields).Elem().Field(i).SetZero()
	}
}

func marshalText(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Inherited stands for a value that a node does not set.
const Inherited = "(inherited)"

// FieldChange is the difference in one field between two versions of a node.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Differences returns the fields that differ between two versions of a node;
// nil stands for a missing node.
func Differences(old, changed *Node) []FieldChange {
	before, after := describe(old), describe(changed)
	var changes []FieldChange
	for _, name := range append([]string{"kind", "model", "name", "keys"}, fieldNames...) {
		if before[name] != after[name] {
			changes = append(changes, FieldChange{Field: name, Old: displayText(before[name]), New: displayText(after[name])})
		}
	}
	return changes
}

func displayText(text string) string {
	if text == "" {
		return Inherited
	}
	return text
}

// describe returns the text of each field that a node sets, by field name.
func describe(node *Node) map[string]string {
	texts := make(map[string]string)
	if node == nil || node.Deleted {
		return texts
	}
	texts["kind"] = string(node.Kind)
	texts["model"] = node.Model
	texts["name"] = node.Name
	if len(node.Keys) > 0 {
		texts["keys"] = marshalText(node.Keys)
	}
	values := reflect.ValueOf(&node.Fields).Elem()
	for i, name := range fieldNames {
		if !values.Field(i).IsNil() {
			texts[name] = marshalText(values.Field(i).Interface())
		}
	}
	return texts
}

// FieldConflict is a field on which two concurrent writes disagree.
type FieldConflict struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	Theirs string `json:"theirs"`
	Yours  string `json:"yours"`
}

// Conflicts returns the fields in which theirs and yours differ from each other
// or from the version before both.
func Conflicts(before, theirs, yours *Node) []FieldConflict {
	base, other, own := describe(before), describe(theirs), describe(yours)
	var conflicts []FieldConflict
	for _, name := range append([]string{"kind", "model", "name", "keys"}, fieldNames...) {
		if base[name] == other[name] && other[name] == own[name] {
			continue
		}
		conflict := FieldConflict{Field: name, Before: displayText(base[name]), Theirs: displayText(other[name]), Yours: displayText(own[name])}
		conflicts = append(conflicts, conflict)
	}
	return conflicts
}
