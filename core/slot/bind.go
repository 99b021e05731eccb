package slot

import "time"

// bind binds a request that continues a stream to the software version at which that began. It reports false if nobody
// knows it: what two versions write doesn't fit together, so that a guess could spoil the stream.
func (p *Pool) bind(now time.Time, r *Request) bool {
	if !r.Continues || r.Version != "" {
		return true
	}
	if version, ok := p.opts.Origin(r.Resumes); ok {
		r.Version, r.BoundBy = version, BoundByPool
		return true
	}
	if r.Unconfirmed {
		return false
	}
	version, ok := p.opts.SoleVersion(now, r.Service)
	if ok {
		r.Version, r.BoundBy = version, BoundBySoleVersion
	}
	return ok
}
