package config

import (
	"fmt"
	"slices"
)

// Conflict is a reason why two changes of the same base can't be merged.
type Conflict struct {
	// Object is zero if the reason concerns no single object.
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

// Rebase applies the changes from base to mine on top of theirs. It does so only if the two sides change
// no common object, no object that one side changes refers to an object that the other changes, and the
// merged set passes CheckChange; otherwise it returns the conflicts.
func Rebase(base, mine, theirs Set) (Set, []Conflict) {
	myChanges := Diff(base, mine)
	theirByObject := changesByObject(Diff(base, theirs))
	var conflicts []Conflict
	for _, c := range myChanges {
		if other, ok := theirByObject[c.Object]; ok {
			conflicts = append(conflicts, Conflict{c.Object, fmt.Sprintf("%s here, %s there", c.Action, other.Action)})
		}
	}
	conflicts = append(conflicts, sharedReferences(myChanges, theirByObject, mine, theirs)...)
	if len(conflicts) > 0 {
		return Set{}, conflicts
	}
	merged := merge(theirs, mine, myChanges)
	for _, p := range CheckChange(theirs, merged) {
		conflicts = append(conflicts, Conflict{p.Object, "merged: " + p.Reason})
	}
	if len(conflicts) > 0 {
		return Set{}, conflicts
	}
	return merged, nil
}

// merge returns theirs with the changed objects copied from mine.
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
			k.copyNamed(&mine, &merged, names)
		}
	}
	return merged
}

// sharedReferences finds objects changed by one side that refer to an object that the other side changed.
func sharedReferences(myChanges []Change, theirByObject map[Ref]Change, mine, theirs Set) []Conflict {
	var conflicts []Conflict
	myByObject := changesByObject(myChanges)
	for _, r := range references(&mine) {
		_, changed := myByObject[r.from]
		if other, ok := theirByObject[r.to]; ok && changed {
			conflicts = append(conflicts, Conflict{r.from, fmt.Sprintf("refers to %s, %s there", r.to, other.Action)})
		}
	}
	for _, r := range references(&theirs) {
		_, changed := theirByObject[r.from]
		if mineChange, ok := myByObject[r.to]; ok && changed {
			conflicts = append(conflicts, Conflict{r.to, fmt.Sprintf("%s here, %s there refers to it", mineChange.Action, r.from)})
		}
	}
	return slices.Compact(conflicts)
}

func changesByObject(changes []Change) map[Ref]Change {
	return index(changes, func(c Change) Ref { return c.Object })
}
