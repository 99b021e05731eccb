package slot

import (
	"slices"
	"time"

	"mothcart/core/poison"
)

// trialID returns the ID under which the judge knows a request.
func trialID(k Key) poison.TrialID { return poison.TrialID{Owner: k.Owner, ID: k.ID} }

// isHeld reports that a request waits since another one with the same suspected part of its prompt is in progress.
func (p *Pool) isHeld(now time.Time, r *Request) bool {
	return len(r.Parts) > 0 && p.judge.Decide(now, r.Service, r.Parts).Verdict == poison.Held
}

// candidate returns the request as it is compared with upstreams. One that decides about a suspected part doesn't go where
// another such request is in progress, since the end of that upstream would count against both.
func (p *Pool) candidate(now time.Time, r *Request) *Request {
	if len(p.trials) == 0 || !p.judge.IsTrial(now, r.Service, r.Parts) {
		return r
	}
	alone := *r
	alone.Exclude = slices.Clone(r.Exclude)
	for g := range p.trials {
		if now.Sub(g.since) < poison.TrialTime {
			alone.Exclude = append(alone.Exclude, g.upstream.ID)
		}
	}
	return &alone
}

// RefuseQuarantined returns a refusal, and true, for a request with a part that crashes upstreams.
func (p *Pool) RefuseQuarantined(now time.Time, r *Request) (Refusal, bool) {
	if len(r.Parts) == 0 {
		return Refusal{}, false
	}
	d := p.judge.Decide(now, r.Service, r.Parts)
	return Refusal{Request: *r, Reason: ReasonQuarantined, RetryAfter: d.Left}, d.Verdict == poison.Quarantined
}

// settle returns the quarantines that are due.
func (p *Pool) settle(now time.Time) Outcome { return p.withFindings(now, p.judge.Settle(now)) }

// judgeResult passes on what the end of an attempt shows about the parts of its prompt.
func (p *Pool) judgeResult(now time.Time, g *grant, result Result) Outcome {
	r := &g.request
	switch result {
	case Served:
		return Outcome{Findings: p.judge.Wrote(now, r.Service, r.Parts)}
	case Ended:
		return p.withFindings(now, p.judge.Ended(now, poison.Run{
			Service: r.Service, Parts: r.Parts, Upstream: g.upstream.Key(), Began: g.since,
		}))
	default:
		return Outcome{}
	}
}

// withFindings returns an outcome with findings, and with the refusals of waiting requests that they quarantine.
func (p *Pool) withFindings(now time.Time, findings []poison.Finding) Outcome {
	out := Outcome{Findings: findings}
	for _, f := range findings {
		if f.Kind != poison.QuarantineBegun {
			continue
		}
		s := p.service(f.Service)
		for _, l := range []*waitList{&s.online, &s.batch} {
			refused := func(r Request) bool { _, ok := p.RefuseQuarantined(now, &r); return ok }
			for _, r := range l.removeIf(refused) {
				refusal, _ := p.RefuseQuarantined(now, &r)
				out.Refused = append(out.Refused, refusal)
			}
		}
	}
	return out
}

// Wrote records that the upstream at which a request holds a slot writes its answer.
func (p *Pool) Wrote(now time.Time, k Key) Outcome {
	g, ok := p.grants[k]
	if !ok {
		return Outcome{}
	}
	delete(p.trials, g)
	out := Outcome{Findings: p.judge.Wrote(now, g.request.Service, g.request.Parts)}
	out.add(p.serve(now, p.service(g.request.Service)))
	return out
}

// ImportParts adds what another node knows of parts of prompts.
func (p *Pool) ImportParts(now time.Time, records []poison.Record) Outcome {
	out := p.withFindings(now, p.judge.Import(now, records))
	out.add(p.serveAll(now))
	return out
}

// ExportParts returns what is known against parts of prompts.
func (p *Pool) ExportParts(now time.Time) []poison.Record { return p.judge.Export(now) }

// QuarantinedParts returns the number of parts that are quarantined.
func (p *Pool) QuarantinedParts(now time.Time) int { return p.judge.Quarantined(now) }
