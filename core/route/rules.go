package route

import (
	"github.com/cespare/xxhash/v2"

	"mothcart/core/config"
)

// Target is the destination of a request after the traffic rules were applied.
type Target struct {
	Service config.Service
	// Name is the model, adapter or plain service that is requested from the upstream.
	Name string
	// Rule is the name of the rule that applied; empty if none did.
	Rule string
}

// Resolve applies the traffic rules to a request for name. header returns the value of a header of the
// request, caller identifies the caller for sticky rules, random is a fresh random number. Resolve reports
// false when no service serves the target.
func Resolve(s *config.Snapshot, name string, header func(string) string, caller string, random uint64) (Target, bool) {
	target, rule := name, ""
	for _, r := range s.Rules(name) {
		if r.Header != "" && header(r.Header) != r.Value {
			continue
		}
		if r.Sticky {
			random = xxhash.Sum64String(r.Name + "\x00" + caller)
		}
		target, rule = split(r, random, name), r.Name
		break
	}
	service, ok := s.ServiceOf(target)
	if !ok {
		return Target{}, false
	}
	return Target{Service: service, Name: target, Rule: rule}, true
}

// split chooses a destination of r by weight; without any weight the result is name.
func split(r config.Rule, random uint64, name string) string {
	total := 0
	for _, s := range r.Splits {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return name
	}
	at := int(random % uint64(total))
	for _, s := range r.Splits {
		if at -= max(0, s.Weight); at < 0 {
			return s.Target
		}
	}
	return name
}
