// Package rawjson splits JSON documents into their members by brackets and quotes alone, so that one member that can't be
// decoded doesn't lose the others, which encoding/json refuses together with it.
//
// Usage:
//
//	err := rawjson.Elements(array, func(element []byte) { err := rawjson.Check(element); … })
package rawjson

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
)

// MaxNesting bounds how deep a member that can be read is nested. encoding/json refuses a whole document beyond 10,000, and
// what is passed on to other nodes is wrapped once more.
const MaxNesting = 500

// ErrNotReadable means that a member can't be read.
var ErrNotReadable = merry.Sentinel("entry can't be read")

// Elements calls yield with each element of an array, whatever the elements hold; they are parts of array. The brackets of the array must balance.
func Elements(array []byte, yield func(element []byte)) error {
	return members(array, '[', ']', func(s *splitter) error {
		value, _, err := s.value()
		if err == nil {
			yield(value)
		}
		return err
	})
}

// Fields calls yield with the name and the value of each field of an object, whatever the values hold.
func Fields(object []byte, yield func(name string, value []byte)) error {
	return members(object, '{', '}', func(s *splitter) error {
		quoted, _, err := s.value()
		if err != nil {
			return err
		}
		if !s.skip(':') {
			return merry.Errorf("no colon at byte %d", s.at)
		}
		value, _, err := s.value()
		if name, ok := unquoted(quoted); ok && err == nil {
			yield(name, value)
		}
		return err
	})
}

// unquoted returns a text without its quotes; false if it is none.
func unquoted(quoted []byte) (string, bool) {
	if n := len(quoted); n >= 2 && quoted[0] == '"' && !bytes.ContainsFunc(quoted, func(r rune) bool { return r == '\\' || r < ' ' || r >= utf8.RuneSelf }) {
		return string(quoted[1 : n-1]), true
	}
	var name string
	err := json.Unmarshal(quoted, &name)
	return name, err == nil
}

// members calls member at the start of each member of an array or object that takes up all bytes.
func members(b []byte, first, last byte, member func(s *splitter) error) error {
	s := &splitter{b: b}
	if !s.skip(first) {
		return merry.Errorf("no %q at byte %d", first, s.at)
	}
	for empty := true; !s.skip(last); empty = false {
		if !empty && !s.skip(',') {
			return merry.Errorf("neither a comma nor %q at byte %d", last, s.at)
		}
		if err := member(s); err != nil {
			return err
		}
	}
	if s.space(); s.at < len(b) {
		return merry.Errorf("more after byte %d", s.at)
	}
	return nil
}

// Value returns the value that b begins with.
func Value(b []byte) ([]byte, error) {
	value, _, err := (&splitter{b: b}).value()
	return value, err
}

// splitter finds the ends of JSON values by their brackets and quotes alone, without recursion.
type splitter struct {
	b  []byte
	at int
}

func (s *splitter) space() {
	for s.at < len(s.b) && (s.b[s.at] == ' ' || s.b[s.at] == '\n' || s.b[s.at] == '\t' || s.b[s.at] == '\r') {
		s.at++
	}
}

// skip skips space, and c if it follows.
func (s *splitter) skip(c byte) bool {
	s.space()
	if s.at == len(s.b) || s.b[s.at] != c {
		return false
	}
	s.at++
	return true
}

// value returns the next value and how deep it is nested.
func (s *splitter) value() (value []byte, nesting int, err error) {
	s.space()
	start, depth := s.at, 0
	for s.at < len(s.b) {
		switch c := s.b[s.at]; c {
		case '"':
			if !s.text() {
				return nil, 0, merry.Errorf("text from byte %d has no end", s.at)
			}
		case '[', '{':
			depth++
			nesting = max(nesting, depth)
			s.at++
		case ']', '}':
			if depth == 0 {
				return s.scalar(start) // the bracket of what holds the value
			}
			depth--
			s.at++
		case ',', ':':
			if depth == 0 {
				return s.scalar(start)
			}
			s.at++
			continue
		default:
			s.at++
			continue
		}
		if depth == 0 {
			return s.b[start:s.at], nesting, nil
		}
	}
	if depth == 0 {
		return s.scalar(start)
	}
	return nil, 0, merry.Errorf("value from byte %d has no end", start)
}

// scalar returns the value from start on that ends here.
func (s *splitter) scalar(start int) ([]byte, int, error) {
	if s.at == start {
		return nil, 0, merry.Errorf("no value at byte %d", start)
	}
	return bytes.TrimRight(s.b[start:s.at], " \n\t\r"), 0, nil
}

// text skips a text in quotes, and reports whether it ends.
func (s *splitter) text() bool {
	for i := s.at + 1; i < len(s.b); i++ {
		switch s.b[i] {
		case '\\':
			i++
		case '"':
			s.at = i + 1
			return true
		}
	}
	return false
}

// Check returns why a member can't be read; nil also for no bytes.
func Check(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, nesting, err := (&splitter{b: b}).value(); err != nil || nesting > MaxNesting {
		return merry.Errorf("nested %d deep: %w", nesting, ErrNotReadable)
	}
	if !json.Valid(b) {
		return merry.Errorf("no JSON: %w", ErrNotReadable)
	}
	return nil
}
