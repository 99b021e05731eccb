package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Ref names one object.
type Ref struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// String returns the reference as written in a section header, such as "model scribe".
func (r Ref) String() string { return r.Kind + " " + r.Name }

// Problem is one error of a set.
type Problem struct {
	// File and Line, from 1, are empty for a set that was not read from files.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Object is the object at fault; it is empty when the file itself is at fault.
	Object Ref `json:"object"`
	// Field is the key at fault; it is empty when the fault concerns the object as a whole.
	Field string `json:"field,omitempty"`
	// Reason describes the error and what is expected instead.
	Reason string `json:"reason"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var parts []string
	if p.File != "" {
		parts = append(parts, fmt.Sprintf("%s:%d", p.File, p.Line))
	}
	if p.Object != (Ref{}) {
		parts = append(parts, p.Object.String())
	}
	if p.Field != "" {
		parts = append(parts, p.Field)
	}
	return strings.Join(append(parts, p.Reason), ": ")
}

// fieldRef names one field of an object; an empty field names the object.
type fieldRef struct {
	object Ref
	field  string
}

// origin is a line of a file.
type origin struct {
	file string
	line int
}

// problem returns a Problem with the file and line where the field, or else the object, was read.
func (s *Set) problem(object Ref, field, format string, args ...any) Problem {
	at, ok := s.origins[fieldRef{object, field}]
	if !ok {
		at = s.origins[fieldRef{object, ""}]
	}
	return Problem{File: at.file, Line: at.line, Object: object, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// sortProblems orders problems by file and line, then by object.
func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Object.Kind, b.Object.Kind),
			cmp.Compare(a.Object.Name, b.Object.Name),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Reason, b.Reason),
		)
	})
}
