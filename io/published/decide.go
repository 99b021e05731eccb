package published

import (
	"fmt"

	"mothcart/core/config"
	"mothcart/core/publication"
)

// decide compares the request with the published set. If the outcome is accepted, the returned candidate may
// be published on top of root.
func (f *Follower) decide(req *request, root publication.Root, theirs config.Set, expect *uint64) (config.Set, Result) {
	result := Result{ID: req.id, From: root.Generation, Generation: root.Generation}
	result.Changes = config.Diff(theirs, req.set)
	if len(result.Changes) == 0 {
		result.ID, result.Outcome = publication.EntryID{}, publication.OutcomeUnchanged
		return req.set, result
	}
	if reason := f.readBase(req, root, theirs, expect); reason != "" {
		result.From, result.Outcome = req.from, publication.OutcomeConflict
		result.Conflicts = []config.Conflict{{Reason: reason}}
		return config.Set{}, result
	}
	result.From = req.from
	candidate := req.set
	if req.from != root.Generation {
		merged, conflicts := f.rebase(req, theirs)
		if len(conflicts) > 0 {
			result.Outcome, result.Conflicts = publication.OutcomeConflict, conflicts
			return config.Set{}, result
		}
		candidate, result.Rebased = merged, true
		result.Changes = config.Diff(theirs, merged)
		if len(result.Changes) == 0 {
			result.ID, result.Outcome = publication.EntryID{}, publication.OutcomeUnchanged
			return merged, result
		}
	}
	if problems := config.CheckChange(theirs, candidate); len(problems) > 0 {
		result.Outcome, result.Problems = publication.OutcomeRefused, problems
		return config.Set{}, result
	}
	result.Outcome = publication.OutcomeAccepted
	return candidate, result
}

// rebase merges the request with theirs, the published set. A set that is invalid on its own base is returned
// unmerged, so that the following check reports its problems.
func (f *Follower) rebase(req *request, theirs config.Set) (config.Set, []config.Conflict) {
	if len(config.CheckChange(req.base, req.set)) > 0 {
		return req.set, nil
	}
	return config.Rebase(req.base, req.set, theirs)
}

// readBase determines the set that the request is based on, or returns the reason why it can't.
func (f *Follower) readBase(req *request, root publication.Root, theirs config.Set, expect *uint64) string {
	if req.baseRead {
		return ""
	}
	req.from, req.base = root.Generation, theirs
	if expect != nil && *expect != root.Generation {
		req.from = *expect
		base, ok := f.pastSet(*expect)
		if !ok {
			return fmt.Sprintf("generation %d is not known here, generation %d is published; get it and apply on top of it",
				*expect, root.Generation)
		}
		req.base = base
	}
	req.baseRead = true
	return ""
}

// pastSet returns the set of a recent generation.
func (f *Follower) pastSet(generation uint64) (config.Set, bool) {
	f.mu.Lock()
	history := f.history
	f.mu.Unlock()
	if generation == 0 {
		return config.Set{}, true
	}
	for _, root := range history {
		if root.Generation != generation {
			continue
		}
		set, err := f.join(root)
		return set, err == nil
	}
	return config.Set{}, false
}
