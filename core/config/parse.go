package config

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// File is one INI file.
type File struct {
	Name string
	Data []byte
}

// loadOptions switch off the features of INI that make a value depend on other sections.
var loadOptions = ini.LoadOptions{
	KeyValueDelimiters:       "=",
	ChildSectionDelimiter:    "\x00",
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
}

// Parse reads the objects of all files into one set. It returns every error of syntax, section,
// key and value; the set then holds what could be read. Check finds the errors between objects.
func Parse(files []File) (Set, []Problem) {
	p := parser{set: Set{origins: map[fieldRef]origin{}}}
	for _, f := range files {
		p.file(f)
	}
	for _, k := range kinds {
		k.sort(&p.set)
	}
	sortProblems(p.problems)
	return p.set, p.problems
}

type parser struct {
	set      Set
	problems []Problem
}

func (p *parser) file(f File) {
	scanned := scan(f)
	p.problems = append(p.problems, scanned.problems...)
	loaded, err := ini.LoadSources(loadOptions, scanned.cleaned)
	if err != nil {
		p.fail(f.Name, 1, Ref{}, "", "not readable as INI: %v", err)
		return
	}
	for _, s := range scanned.sections {
		p.section(f.Name, s, loaded)
	}
}

// section adds the object of one section. The line numbers come from scan, the values from the INI
// library.
func (p *parser) section(file string, s section, loaded *ini.File) {
	kindName, name, _ := strings.Cut(s.header, " ")
	name = strings.TrimSpace(name)
	object := Ref{kindName, name}
	k, ok := findKind(kindName)
	if !ok {
		p.fail(file, s.line, object, "", "unknown kind %q; the kinds are %s", kindName, kindNames())
		return
	}
	if first, ok := p.set.origins[fieldRef{object, ""}]; ok {
		p.fail(file, s.line, object, "", "duplicate of the object at %s:%d", first.file, first.line)
		return
	}
	p.set.origins[fieldRef{object, ""}] = origin{file, s.line}
	values, err := loaded.GetSection(s.id)
	if err != nil {
		p.fail(file, s.line, object, "", "not readable as INI: %v", err)
		return
	}
	var keys []keyValue
	lines := make(map[string]int, len(s.keys))
	for _, key := range s.keys {
		if _, ok := lines[key.name]; ok {
			p.fail(file, key.line, object, key.name, "duplicate of the key at line %d", lines[key.name])
			continue
		}
		lines[key.name] = key.line
		p.set.origins[fieldRef{object, key.name}] = origin{file, key.line}
		keys = append(keys, keyValue{key.name, values.Key(key.name).Value()})
	}
	for _, e := range k.parse(&p.set, name, keys) {
		p.fail(file, lines[e.key], object, e.key, "%s", e.reason)
	}
}

func (p *parser) fail(file string, line int, object Ref, field, format string, args ...any) {
	p.problems = append(p.problems, Problem{
		File: file, Line: line, Object: object, Field: field, Reason: fmt.Sprintf(format, args...),
	})
}

func kindNames() string {
	var names []string
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return strings.Join(names, ", ")
}
