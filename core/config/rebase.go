package config

import (
	"fmt"
	"slices"
)

// Conflict is one object on which two changes of the same base meet.
type Conflict struct {
	// Object is zero when the reason concerns the whole set.
	Object Ref    `json:"object,omitzero"`
	Reason string `json:"reason"`
}

// String returns the conflict on one line.
func (c Conflict) String() string {
	if c.Object == (Ref{}) {
		return c.Reason
	}
	return c.Object.String() + ": " + c.Reason
}

// Rebase applies the changes from base to mine on top of theirs. It is allowed only where the two
// touch no common object and no object that the other's refers to, and where the merged set
// passes Check; else it returns the conflicts.
func Rebase(base, mine, theirs Set) (Set, []Conflict) {
	ours := Diff(base, mine)
	touched := changesByObject(Diff(base, theirs))
	var conflicts []Conflict
	for _, c := range ours {
		if other, ok := touched[c.Object]; ok {
			conflicts = append(conflicts, Conflict{c.Object, fmt.Sprintf("%s here, %s there", c.Action, other.Action)})
		}
	}
	conflicts = append(conflicts, sharedReferences(ours, touched, mine, theirs)...)
	if len(conflicts) > 0 {
		return Set{}, conflicts
	}
	merged := merge(theirs, mine, ours)
	for _, p := range CheckChange(theirs, merged) {
		conflicts = append(conflicts, Conflict{p.Object, "merged: " + p.Reason})
	}
	if len(conflicts) > 0 {
		return Set{}, conflicts
	}
	return merged, nil
}

// merge returns theirs with the changes taken from mine.
func merge(theirs, mine Set, changes []Change) Set {
	merged := theirs
	merged.origins = nil
	for _, k := range kinds {
		var names []string
		for _, c := range changes {
			if c.Object.Kind == k.name {
				names = append(names, c.Object.Name)
			}
		}
		if len(names) > 0 {
			k.take(&mine, &merged, names)
		}
	}
	return merged
}

// sharedReferences finds changes of one side that refer to an object that the other changed.
func sharedReferences(ours []Change, touched map[Ref]Change, mine, theirs Set) []Conflict {
	var conflicts []Conflict
	own := changesByObject(ours)
	for _, r := range references(&mine) {
		_, changed := own[r.from]
		if other, ok := touched[r.to]; ok && changed {
			conflicts = append(conflicts, Conflict{r.from, fmt.Sprintf("refers to %s, %s there", r.to, other.Action)})
		}
	}
	for _, r := range references(&theirs) {
		_, changed := touched[r.from]
		if mineChange, ok := own[r.to]; ok && changed {
			conflicts = append(conflicts, Conflict{r.to, fmt.Sprintf("%s here, %s there refers to it", mineChange.Action, r.from)})
		}
	}
	return slices.Compact(conflicts)
}

func changesByObject(changes []Change) map[Ref]Change {
	return index(changes, func(c Change) Ref { return c.Object })
}
