package poison

import (
	"time"

	"mothcart/core/site"
)

// Kind is the kind of a finding.
type Kind string

const (
	// Suspected means that an upstream ended under the part or the request.
	Suspected Kind = "Suspected"
	// QuarantineBegun means that requests with the part, or tries of the request, are refused from now on.
	QuarantineBegun Kind = "Quarantined"
	// Cleared means that an upstream has written an answer on it.
	Cleared Kind = "Cleared"
)

// Finding is a change of what is known of a part or a request.
type Finding struct {
	Kind Kind
	Record
	// InARow is the number of ends in a row that count against it.
	InARow int
}

// Event returns the name of the log event of the finding, such as partSuspected or requestQuarantined.
func (f Finding) Event() string {
	if f.IsRequest() {
		return "request" + string(f.Kind)
	}
	return "part" + string(f.Kind)
}

// Record is what is known against a part or a request, in the form in which nodes send it to each other. Times are ages, since the
// clocks of VMs differ.
type Record struct {
	// Service and Part identify a part, Identity a request; Service is then empty.
	Service  string   `msgpack:"svc"`
	Part     Part     `msgpack:"part"`
	Identity Identity `msgpack:"identity,omitempty"`
	// Ends are the ends of upstreams under it that led to the record.
	Ends []EndRecord `msgpack:"ends,omitempty"`
	// Left is the rest of the quarantine; 0 if there is none. Quarantines is their number.
	Left        time.Duration `msgpack:"left,omitempty"`
	Quarantines int           `msgpack:"n,omitempty"`
	// Cleared reports that an upstream has written on it, so that nothing is held against it.
	Cleared bool `msgpack:"ok,omitempty"`
}

// IsRequest reports that the record is about a request.
func (r Record) IsRequest() bool { return r.Identity != 0 }

func (r Record) key() key { return key{service: r.Service, part: r.Part, identity: r.Identity} }

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
	r := Record{Service: k.service, Part: k.part, Identity: k.identity, Left: max(s.until.Sub(now), 0), Quarantines: s.quarantines}
	for _, e := range s.ends {
		r.Ends = append(r.Ends, EndRecord{
			Upstream: e.upstream.ID, Incarnation: e.upstream.Incarnation, BeganAgo: now.Sub(e.began), EndedAgo: now.Sub(e.at),
		})
	}
	return r
}

// maxExportedVictims bounds the requests that are exported though a single upstream ended under them, as under all that
// it ran.
const maxExportedVictims = 128

// Export returns the records of all parts and requests that are suspected or quarantined, but for some requests with a
// single end.
func (j *Judge) Export(now time.Time) []Record {
	j.forget(now)
	out := make([]Record, 0, len(j.suspects))
	victims := 0
	for k, s := range j.suspects {
		if k.isRequest() && s.quarantines == 0 && len(s.ends) == 1 {
			if victims++; victims > maxExportedVictims {
				continue
			}
		}
		out = append(out, s.record(now, k))
	}
	return out
}

// Import adds records of another node, and returns what is quarantined or cleared by them.
func (j *Judge) Import(now time.Time, records []Record) []Finding {
	var findings []Finding
	for _, r := range records {
		k := r.key()
		if r.Cleared {
			findings = append(findings, j.clear(now, k)...)
			continue
		}
		if r = j.withoutObsolete(now, r); r.Quarantines == 0 && len(r.Ends) == 0 {
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

// withoutObsolete returns a record without a quarantine that began before an upstream last wrote on the part or the request.
func (j *Judge) withoutObsolete(now time.Time, r Record) Record {
	if r.Quarantines > 0 && !now.Add(r.Left-quarantineFor(r.Quarantines)).After(j.soundAt(r.key())) {
		r.Left, r.Quarantines = 0, 0
	}
	return r
}

// Quarantined returns the numbers of parts and of requests that are quarantined.
func (j *Judge) Quarantined(now time.Time) (parts, requests int) {
	for k, s := range j.suspects {
		switch {
		case !s.quarantined(now):
		case k.isRequest():
			requests++
		default:
			parts++
		}
	}
	return parts, requests
}
