package poison

import "time"

const (
	// soundLifetime is how long it is known at least that a part was sound.
	soundLifetime = 5 * time.Minute
	// maxSound bounds the parts of a generation; further ones begin the next generation early.
	maxSound = 8192
)

// soundParts remembers when upstreams last wrote an answer on a part. Records are kept in two generations, so that
// expiry drops many at once.
type soundParts struct {
	newer, older map[key]time.Time
	turnedAt     time.Time
}

func newSoundParts() soundParts {
	return soundParts{newer: make(map[key]time.Time), older: make(map[key]time.Time)}
}

// at returns when an upstream last wrote on a part; zero if that isn't known.
func (p *soundParts) at(k key) time.Time {
	if at, ok := p.newer[k]; ok {
		return at
	}
	return p.older[k]
}

func (p *soundParts) record(now time.Time, k key) {
	if now.Sub(p.turnedAt) >= soundLifetime || len(p.newer) >= maxSound {
		p.older, p.newer, p.turnedAt = p.newer, make(map[key]time.Time), now
	}
	p.newer[k] = now
}
