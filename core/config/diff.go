package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Actions of a change.
const (
	ActionAdd    = "add"
	ActionDelete = "delete"
	ActionUpdate = "update"
)

// Change is the difference of one object between two sets.
type Change struct {
	Object Ref    `json:"object"`
	Action string `json:"action"`
	// Fields lists what an update changed; it is empty for other actions.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is the difference of one field; an empty value means that the field was not set.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// String returns the change on one line.
func (c Change) String() string {
	var fields []string
	for _, f := range c.Fields {
		fields = append(fields, fmt.Sprintf("%s %q to %q", f.Field, f.Old, f.New))
	}
	if len(fields) == 0 {
		return c.Action + " " + c.Object.String()
	}
	return c.Action + " " + c.Object.String() + ": " + strings.Join(fields, ", ")
}

// Diff returns the changes that turn from into to, by kind and name.
func Diff(from, to Set) []Change {
	var changes []Change
	for _, k := range kinds {
		changes = append(changes, k.diff(&from, &to)...)
	}
	return changes
}

func (s schema[T]) diff(from, to *Set) []Change {
	a, b := *s.list(from), *s.list(to)
	var changes []Change
	add := func(name, action string, fields []FieldChange) {
		changes = append(changes, Change{Object: Ref{s.kind, name}, Action: action, Fields: fields})
	}
	for len(a) > 0 || len(b) > 0 {
		order := 0
		switch {
		case len(a) == 0:
			order = 1
		case len(b) == 0:
			order = -1
		default:
			order = cmp.Compare(*s.name(&a[0]), *s.name(&b[0]))
		}
		switch {
		case order < 0:
			add(*s.name(&a[0]), ActionDelete, nil)
			a = a[1:]
		case order > 0:
			add(*s.name(&b[0]), ActionAdd, nil)
			b = b[1:]
		default:
			if !s.equal(&a[0], &b[0]) {
				add(*s.name(&b[0]), ActionUpdate, s.fieldChanges(&a[0], &b[0]))
			}
			a, b = a[1:], b[1:]
		}
	}
	return changes
}

func (s schema[T]) fieldChanges(from, to *T) []FieldChange {
	before := s.changedFields(to, from)
	after := s.changedFields(from, to)
	var changes []FieldChange
	for _, kv := range after {
		changes = append(changes, FieldChange{Field: kv.key, New: kv.value})
	}
	for _, kv := range before {
		for i := range changes {
			if changes[i].Field == kv.key {
				changes[i].Old = kv.value
			}
		}
	}
	return changes
}

// copyNamed copies the objects with the given names from one set to another, and deletes from to those
// that from lacks. It replaces the list of to and leaves the old one unmodified. The names are sorted.
func (s schema[T]) copyNamed(from, to *Set, names []string) {
	named := func(v T) bool { _, ok := slices.BinarySearch(names, *s.name(&v)); return ok }
	list := s.list(to)
	objects := slices.DeleteFunc(slices.Clone(*list), named)
	for _, v := range *s.list(from) {
		if named(v) {
			objects = append(objects, v)
		}
	}
	s.sort(objects)
	*list = objects
}
