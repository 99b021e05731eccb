package poison

import "time"

const (
	// soundLifetime is how long it is known at least that a part or a request was sound.
	soundLifetime = 5 * time.Minute
	// maxSound bounds the parts or requests of a generation; further ones begin the next generation early.
	maxSound = 8192
)

// soundKeys remembers when upstreams last wrote an answer on a part or a request. Records are kept in two generations, so that
// expiry drops many at once.
type soundKeys struct {
	newer, older map[key]time.Time
	turnedAt     time.Time
}

func newSoundKeys() soundKeys {
	return soundKeys{newer: make(map[key]time.Time), older: make(map[key]time.Time)}
}

// at returns when an upstream last wrote on a part or a request; zero if that isn't known.
func (p *soundKeys) at(k key) time.Time {
	if at, ok := p.newer[k]; ok {
		return at
	}
	return p.older[k]
}

func (p *soundKeys) record(now time.Time, k key) {
	if now.Sub(p.turnedAt) >= soundLifetime || len(p.newer) >= maxSound {
		p.older, p.newer, p.turnedAt = p.newer, make(map[key]time.Time), now
	}
	p.newer[k] = now
}
