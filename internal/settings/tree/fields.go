package tree

import (
	"encoding/json"
	"reflect"
	"strings"
)

// fieldNames are the file names of the inheritable fields, in order.
var fieldNames = namesOf(reflect.TypeOf(Fields{}))

func namesOf(structure reflect.Type) []string {
	names := make([]string, structure.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(structure.Field(i).Tag.Get("json"), ",")
	}
	return names
}

// inherit fills the fields that are not set from the parent's effective ones.
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

// setFields lists which inheritable fields a node sets itself, with the JSON
// of their values.
func setFields(fields *Fields) map[string]string {
	set := make(map[string]string)
	values := reflect.ValueOf(fields).Elem()
	for i, name := range fieldNames {
		if values.Field(i).IsNil() {
			continue
		}
		set[name] = textOf(values.Field(i).Interface())
	}
	return set
}

func textOf(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// dropField makes a field inherit again; other names are passed over.
func dropField(fields *Fields, name string) {
	name, _, _ = strings.Cut(name, "[")
	for i, candidate := range fieldNames {
		if candidate == name {
			reflect.ValueOf(fields).Elem().Field(i).SetZero()
		}
	}
}
