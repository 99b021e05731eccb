package poison

import (
	"time"

	"mothcart/core/site"
)

// Kind is the kind of a finding.
type Kind string

const (
	// Suspected means that an upstream ended under the part.
	Suspected Kind = "partSuspected"
	// QuarantineBegun means that requests with the part are refused from now on.
	QuarantineBegun Kind = "partQuarantined"
	// Cleared means that an upstream has written an answer on the part.
	Cleared Kind = "partCleared"
)

// Finding is a change of what is known of a part.
type Finding struct {
	Kind Kind
	Record
	// InARow is the number of ends in a row that count against the part.
	InARow int
}

// Record is what is known against a part, in the form in which nodes send it to each other. Times are ages, since the
// clocks of VMs differ.
type Record struct {
	Service string `msgpack:"svc"`
	Part    Part   `msgpack:"part"`
	// Ends are the ends of upstreams under the part that led to the record.
	Ends []EndRecord `msgpack:"ends,omitempty"`
	// Left is the rest of the quarantine; 0 if there is none. Quarantines is their number.
	Left        time.Duration `msgpack:"left,omitempty"`
	Quarantines int           `msgpack:"n,omitempty"`
	// Cleared reports that an upstream has written on the part, so that nothing is held against it.
	Cleared bool `msgpack:"ok,omitempty"`
}

// EndRecord is the end of an upstream under an attempt.
type EndRecord struct {
	Upstream    string `msgpack:"up"`
	Incarnation int64  `msgpack:"inc"`
	// BeganAgo is the age of the attempt, EndedAgo that of the upstream's end.
	BeganAgo time.Duration `msgpack:"began"`
	EndedAgo time.Duration `msgpack:"ended"`
}

func (j *Judge) finding(now time.Time, kind Kind, k key, s *suspect) Finding {
	f := Finding{Kind: kind, Record: s.record(now, k), InARow: j.endsInARow(now, k, s)}
	f.Cleared = kind == Cleared
	return f
}

func (s *suspect) record(now time.Time, k key) Record {
	r := Record{Service: k.service, Part: k.part, Left: max(s.until.Sub(now), 0), Quarantines: s.quarantines}
	for _, e := range s.ends {
		r.Ends = append(r.Ends, EndRecord{
			Upstream: e.upstream.ID, Incarnation: e.upstream.Incarnation, BeganAgo: now.Sub(e.began), EndedAgo: now.Sub(e.at),
		})
	}
	return r
}

// Export returns the records of all parts that are suspected or quarantined.
func (j *Judge) Export(now time.Time) []Record {
	j.forget(now)
	out := make([]Record, 0, len(j.suspects))
	for k, s := range j.suspects {
		out = append(out, s.record(now, k))
	}
	return out
}

// Import adds records of another node, and returns the parts that are quarantined or cleared by them.
func (j *Judge) Import(now time.Time, records []Record) []Finding {
	var findings []Finding
	for _, r := range records {
		k := key{r.Service, r.Part}
		if r.Cleared {
			findings = append(findings, j.Wrote(now, r.Service, []Part{r.Part})...)
			continue
		}
		s := j.suspect(k)
		was := s.quarantined(now)
		for _, e := range r.Ends {
			s.add(end{upstream: site.Key{ID: e.Upstream, Incarnation: e.Incarnation}, began: now.Add(-e.BeganAgo), at: now.Add(-e.EndedAgo)})
		}
		s.quarantines = max(s.quarantines, r.Quarantines)
		if until := now.Add(r.Left); r.Left > 0 && until.After(s.until) {
			s.until = until
		}
		if !was && s.quarantined(now) {
			findings = append(findings, j.finding(now, QuarantineBegun, k, s))
		}
	}
	return findings
}

// Quarantined returns the number of parts that are quarantined.
func (j *Judge) Quarantined(now time.Time) int {
	n := 0
	for _, s := range j.suspects {
		if s.quarantined(now) {
			n++
		}
	}
	return n
}
