package config

import (
	"slices"
	"strings"
)

// rules reports rules that reach the wrong kind of service, conflict, or are never used.
func (c *checker) rules() {
	withoutAccounts := *c.set
	withoutAccounts.Accounts = nil
	snapshot := NewSnapshot(0, withoutAccounts)
	for _, r := range c.set.Rules {
		c.ruleServices(snapshot, r)
	}
	for _, match := range ruleMatches(c.set) {
		list := snapshot.Rules(match)
		for i, later := range list {
			for _, earlier := range list[:i] {
				if c.ruleOverlap(earlier, later) {
					break
				}
			}
		}
	}
}

// ruleServices reports rules that name an engine service instead of a model or adapter, and rules that
// split requests between plain and engine services.
func (c *checker) ruleServices(snapshot *Snapshot, r Rule) {
	object := Ref{ObjectRule, r.Name}
	matchKind, matchOK := c.serviceKindOf(snapshot, object, fieldMatch, r.Match)
	for _, s := range r.Splits {
		kind, ok := c.serviceKindOf(snapshot, object, fieldSplit, s.Target)
		if ok && matchOK && kind != matchKind {
			c.fail(object, fieldSplit, "%s is served by a service of kind %s, %s by one of kind %s", s.Target, kind, r.Match, matchKind)
		}
	}
}

// serviceKindOf returns the kind of the service that serves name. It reports a rule that names an
// engine service; found is then false.
func (c *checker) serviceKindOf(snapshot *Snapshot, object Ref, field, name string) (serviceKind string, found bool) {
	if s, ok := snapshot.services[name]; ok && s.Kind == KindEngine {
		c.fail(object, field, "%s is a service of kind %s, expected model, adapter or plain service", name, KindEngine)
		return "", false
	}
	s, ok := snapshot.ServiceOf(name)
	return s.Kind, ok
}

// ruleOverlap reports that later conflicts with earlier or is shadowed by it. The rules are for
// one name, and earlier has at least the priority of later.
func (c *checker) ruleOverlap(earlier, later Rule) bool {
	object := Ref{ObjectRule, later.Name}
	if earlier.Priority == later.Priority {
		if !conditionsOverlap(earlier, later) {
			return false
		}
		c.fail(object, "priority", "rule %s has the priority %d too and can match the same request; set different priorities",
			earlier.Name, earlier.Priority)
		return true
	}
	if !conditionCovers(earlier, later) {
		return false
	}
	c.fail(object, "priority", "never used: rule %s has a higher priority and matches every request that this rule does", earlier.Name)
	return true
}

// conditionsOverlap reports whether one request can satisfy both rules.
func conditionsOverlap(a, b Rule) bool {
	if !strings.EqualFold(a.Header, b.Header) {
		return true
	}
	return a.Value == "" || b.Value == "" || a.Value == b.Value
}

// conditionCovers reports whether each request that satisfies b satisfies a.
func conditionCovers(a, b Rule) bool {
	if a.Header == "" {
		return true
	}
	return strings.EqualFold(a.Header, b.Header) && (a.Value == "" || a.Value == b.Value)
}

// ruleCycles reports rules whose destinations lead back through other rules to the name that the rule
// matches. A rule may have that name itself as a destination, which keeps a part of the requests there.
func (c *checker) ruleCycles() {
	next := map[string][]string{}
	for _, r := range c.set.Rules {
		for _, s := range r.Splits {
			if s.Target != r.Match {
				next[r.Match] = append(next[r.Match], s.Target)
			}
		}
	}
	for _, r := range c.set.Rules {
		for _, s := range r.Splits {
			if s.Target == r.Match {
				continue
			}
			if path := findPath(next, s.Target, r.Match); path != nil {
				c.fail(Ref{ObjectRule, r.Name}, fieldSplit, "cycle: %s", strings.Join(append([]string{r.Match}, path...), " to "))
			}
		}
	}
}

// findPath returns a shortest path between two names, or nil.
func findPath(next map[string][]string, from, to string) []string {
	previous := map[string]string{from: ""}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		if queue[0] == to {
			return pathTo(previous, to)
		}
		for _, n := range next[queue[0]] {
			if _, seen := previous[n]; !seen {
				previous[n] = queue[0]
				queue = append(queue, n)
			}
		}
	}
	return nil
}

func pathTo(previous map[string]string, to string) []string {
	var path []string
	for n := to; n != ""; n = previous[n] {
		path = append(path, n)
	}
	slices.Reverse(path)
	return path
}

func ruleMatches(set *Set) []string {
	var matches []string
	for _, r := range set.Rules {
		matches = append(matches, r.Match)
	}
	slices.Sort(matches)
	return slices.Compact(matches)
}
