package config

import (
	"fmt"
	"slices"
	"strings"
)

// maxNameLength bounds the names of objects, in bytes.
const maxNameLength = 63

// Check returns every error of the set: names, ranges, references, cycles, shares, rules
// and memory.
func Check(set Set) []Problem {
	return check(&set, nil)
}

// CheckChange runs Check on the set to, which replaces from. An object that was deleted while others
// refer to it is reported once, with the names of the objects that refer to it.
func CheckChange(from, to Set) []Problem {
	deleted := map[Ref]bool{}
	for _, c := range Diff(from, to) {
		if c.Action == ActionDelete {
			deleted[c.Object] = true
		}
	}
	return check(&to, deleted)
}

type checker struct {
	set      *Set
	problems []Problem
}

func check(set *Set, deleted map[Ref]bool) []Problem {
	c := &checker{set: set}
	c.names()
	c.fields()
	c.references(deleted)
	c.shares()
	c.keyHashes()
	c.labels()
	c.rules()
	c.ruleCycles()
	c.memory()
	sortProblems(c.problems)
	return c.problems
}

func (c *checker) fail(object Ref, field, format string, args ...any) {
	c.problems = append(c.problems, c.set.problem(object, field, format, args...))
}

func (c *checker) names() {
	for _, k := range kinds {
		names := k.names(c.set)
		seen := make(map[string]bool, len(names))
		for _, name := range names {
			object := Ref{k.name, name}
			switch {
			case len(name) > maxNameLength:
				c.fail(object, "", "the name has %d bytes, at most %d are allowed", len(name), maxNameLength)
			case !isName(name):
				c.fail(object, "", "the name may hold letters, digits and . _ - / and starts with a letter or digit")
			case seen[name]:
				c.fail(object, "", "duplicate name")
			}
			seen[name] = true
		}
	}
	first := map[string]string{}
	for _, k := range kinds {
		if k.name != ObjectService && k.name != ObjectModel && k.name != ObjectAdapter {
			continue
		}
		for _, name := range k.names(c.set) {
			if other, ok := first[name]; ok && other != k.name {
				c.fail(Ref{k.name, name}, "", "callers would reach two objects by this name: %s %s exists too", other, name)
			}
			first[name] = k.name
		}
	}
}

// references reports references that name no object, name an object of a wrong kind, or are missing.
func (c *checker) references(deleted map[Ref]bool) {
	c.requiredReferences()
	exists := referable(c.set)
	var byName map[string][]string
	users := map[Ref][]string{}
	for _, r := range references(c.set) {
		if exists[r.to] {
			continue
		}
		if byName == nil {
			byName = kindsByName(c.set)
		}
		others := byName[r.to.Name]
		switch {
		case deleted[r.to]:
			users[r.to] = append(users[r.to], r.from.String())
		case len(others) > 0:
			c.fail(r.from, r.field, "%s is of kind %s, expected %s", r.to.Name, strings.Join(others, " and "), expectedKinds(r))
		default:
			c.fail(r.from, r.field, "no %s is called %s", expectedKinds(r), r.to.Name)
		}
	}
	for object, names := range users {
		slices.Sort(names)
		c.fail(object, "", "can't be deleted while others refer to it: %s", listNames(slices.Compact(names)))
	}
}

// maxListedNames bounds the names in one message.
const maxListedNames = 20

func listNames(names []string) string {
	if len(names) <= maxListedNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
}

func expectedKinds(r reference) string {
	if r.from.Kind == ObjectRule {
		return "model, adapter or plain service"
	}
	return r.to.Kind
}

func (c *checker) requiredReferences() {
	require := func(object Ref, field, value string) {
		if value == "" {
			c.fail(object, field, "is missing")
		}
	}
	for _, g := range c.set.UpstreamGroups {
		require(Ref{ObjectUpstreamGroup, g.Name}, fieldService, g.Service)
	}
	for _, m := range c.set.Models {
		require(Ref{ObjectModel, m.Name}, fieldService, m.Service)
	}
	for _, a := range c.set.Adapters {
		require(Ref{ObjectAdapter, a.Name}, fieldModel, a.Model)
	}
	for _, a := range c.set.Accounts {
		require(Ref{ObjectAccount, a.Name}, fieldTeam, a.Team)
	}
	for _, r := range c.set.Rules {
		require(Ref{ObjectRule, r.Name}, fieldMatch, r.Match)
	}
}

// shares reports shares outside 0 to 1 and services whose guaranteed shares add up to more than 1.
func (c *checker) shares() {
	const tolerance = 1e-9
	sums := map[string]float64{}
	for _, t := range c.set.Teams {
		for _, s := range t.Shares {
			field := sharePrefix + s.Service
			if !(s.Share >= 0 && s.Share <= 1) {
				c.fail(Ref{ObjectTeam, t.Name}, field, "%v is outside 0 to 1", s.Share)
				continue
			}
			before := sums[s.Service]
			sums[s.Service] += s.Share
			if before <= 1+tolerance && sums[s.Service] > 1+tolerance {
				c.fail(Ref{ObjectTeam, t.Name}, field, "the shares of service %s add up to %s%%, at most 100%% are allowed",
					s.Service, formatFloat(100*c.shareSum(s.Service)))
			}
		}
	}
}

func (c *checker) shareSum(service string) float64 {
	var sum float64
	for _, t := range c.set.Teams {
		for _, s := range t.Shares {
			if s.Service == service {
				sum += s.Share
			}
		}
	}
	return sum
}

func (c *checker) keyHashes() {
	first := make(map[string]string, len(c.set.Accounts))
	for _, a := range c.set.Accounts {
		if other, ok := first[a.KeyHash]; ok && a.KeyHash != "" {
			c.fail(Ref{ObjectAccount, a.Name}, "keyHash", "account %s has the same key", other)
			continue
		}
		first[a.KeyHash] = a.Name
	}
}

func (c *checker) labels() {
	first := map[string]string{}
	for _, g := range c.set.UpstreamGroups {
		if other, ok := first[g.Label]; ok {
			c.fail(Ref{ObjectUpstreamGroup, g.Name}, "label", "upstreamGroup %s has the label %s too", other, g.Label)
			continue
		}
		first[g.Label] = g.Name
	}
}
