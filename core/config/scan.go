package config

import (
	"bytes"
	"fmt"
	"strings"
)

// section is a section header with the lines of its keys.
type section struct {
	// header is the kind and name; id is unique in the file, so that two sections with the same
	// header stay distinct.
	header string
	id     string
	line   int
	keys   []keyLine
}

type keyLine struct {
	name string
	line int
}

// scanned holds the sections and keys of a file with their line numbers. The INI library keeps no line
// numbers and stops at the first error, so it is passed only the lines that it can parse, in cleaned.
type scanned struct {
	sections []section
	problems []Problem
	cleaned  []byte
}

func scan(f File) scanned {
	var s scanned
	var cleaned bytes.Buffer
	line := 0
	for raw := range bytes.Lines(f.Data) {
		line++
		text := strings.TrimSpace(strings.ToValidUTF8(string(raw), "?"))
		if line == 1 {
			text = strings.TrimPrefix(text, "\ufeff")
		}
		cleanedLine, reason := s.line(text, line)
		if reason != "" {
			s.problems = append(s.problems, Problem{File: f.Name, Line: line, Reason: reason})
		}
		cleaned.WriteString(cleanedLine)
		cleaned.WriteByte('\n')
	}
	s.cleaned = cleaned.Bytes()
	return s
}

// line processes one line of the file. It returns the line for the INI library, which is empty if there
// is nothing to pass on, and the reason if the line is invalid.
func (s *scanned) line(text string, line int) (cleaned, reason string) {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
		return "", ""
	case text[0] == '[':
		return s.header(text, line)
	case len(s.sections) == 0:
		return "", "key outside of a section; start with a header such as [service NAME]"
	}
	key, value, found := strings.Cut(text, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	switch {
	case !found:
		return "", fmt.Sprintf("%q is neither a section header nor key = value", text)
	case key == "" || strings.ContainsAny(key, "\"'`#;-[") && !strings.HasPrefix(key, sharePrefix):
		return "", fmt.Sprintf("%q is not a key", key)
	case strings.ContainsAny(value, "`") || strings.HasPrefix(value, `"`) || strings.HasPrefix(value, "'"):
		return "", fmt.Sprintf("the value of %s is quoted; write it without quotes on one line", key)
	}
	last := &s.sections[len(s.sections)-1]
	last.keys = append(last.keys, keyLine{key, line})
	return key + " = " + value, ""
}

func (s *scanned) header(text string, line int) (cleaned, reason string) {
	inner, rest, found := strings.Cut(text[1:], "]")
	rest = strings.TrimSpace(rest)
	if !found || rest != "" && rest[0] != '#' && rest[0] != ';' {
		return "", fmt.Sprintf("%q is not a section header such as [service NAME]", text)
	}
	header := strings.Join(strings.Fields(inner), " ")
	id := fmt.Sprintf("section%d", line)
	s.sections = append(s.sections, section{header: header, id: id, line: line})
	return "[" + id + "]", ""
}
