package slot

import (
	"slices"
	"time"

	"mothcart/core/poison"
)

// trialID returns the ID under which the judge knows a request.
func trialID(k Key) poison.TrialID { return poison.TrialID{Owner: k.Owner, ID: k.ID} }

// isHeld reports that a request waits since another one with the same suspected part of its prompt, or another try of it,
// is in progress.
func (p *Pool) isHeld(now time.Time, r *Request) bool {
	return p.judge.Decide(now, r.work()).Verdict == poison.Held
}

// candidate returns the request as it is compared with upstreams. One that decides about a suspect doesn't go where another
// such request is in progress, since the end of that upstream would count against both.
func (p *Pool) candidate(now time.Time, r *Request) *Request {
	if len(p.trials) == 0 || !p.judge.IsTrial(now, r.work()) {
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

// RefuseQuarantined returns a refusal, and true, for a request that crashes upstreams or has a part that does.
func (p *Pool) RefuseQuarantined(now time.Time, r *Request) (Refusal, bool) {
	switch d := p.judge.Decide(now, r.work()); d.Verdict {
	case poison.Quarantined:
		return Refusal{Request: *r, Reason: ReasonQuarantined, RetryAfter: d.Left}, true
	case poison.QuarantinedRequest:
		return Refusal{Request: *r, Reason: ReasonQuarantinedRequest, RetryAfter: d.Left}, true
	default:
		return Refusal{}, false
	}
}

// settle returns the quarantines that are due.
func (p *Pool) settle(now time.Time) Outcome { return p.withFindings(now, p.judge.Settle(now)) }

// judgeResult passes on what the end of an attempt shows about its request.
func (p *Pool) judgeResult(now time.Time, g *grant, result Result) Outcome {
	r := &g.request
	switch result {
	case Served:
		return Outcome{Findings: p.judge.Wrote(now, r.work())}
	case Ended:
		return p.withFindings(now, p.judge.Ended(now, poison.Run{
			Work: r.work(), Upstream: g.upstream.Key(), Began: g.since,
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
		if f.IsRequest() {
			for _, s := range p.sortedServices() {
				out.Refused = append(out.Refused, p.refuseWaiting(now, s)...)
			}
			continue
		}
		out.Refused = append(out.Refused, p.refuseWaiting(now, p.service(f.Service))...)
	}
	return out
}

// refuseWaiting removes the waiting requests of a service that are quarantined, and returns their refusals.
func (p *Pool) refuseWaiting(now time.Time, s *service) []Refusal {
	var out []Refusal
	for _, l := range []*waitList{&s.online, &s.batch} {
		l.removeIf(func(r Request) bool {
			refusal, ok := p.RefuseQuarantined(now, &r)
			if ok {
				p.refund(now, &r)
				out = append(out, refusal)
			}
			return ok
		})
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
	out := Outcome{Findings: p.judge.Wrote(now, g.request.work())}
	out.add(p.serve(now, p.service(g.request.Service)))
	return out
}

// ImportSuspects adds what another node knows of parts of prompts and of requests.
func (p *Pool) ImportSuspects(now time.Time, records []poison.Record) Outcome {
	out := p.withFindings(now, p.judge.Import(now, records))
	out.add(p.serveAll(now))
	return out
}

// ExportSuspects returns what is known against parts of prompts and against requests.
func (p *Pool) ExportSuspects(now time.Time) []poison.Record { return p.judge.Export(now) }

// Quarantined returns the numbers of parts and of requests that are quarantined.
func (p *Pool) Quarantined(now time.Time) (parts, requests int) { return p.judge.Quarantined(now) }
