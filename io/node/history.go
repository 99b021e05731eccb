package node

import (
	"time"

	"mothcart/core/site"
	"mothcart/io/home"
	"mothcart/platform"
)

// departedMemory is how long before a restart a software version may have left to be still counted after it. It is
// several times the history that the directory needs, since the clock of the VM may be set meanwhile.
const departedMemory = time.Minute

// savedState is what a home node saves: the site state, the software versions that have left lately, and the upstreams
// whose answers said that they are leaving, which their entries need not show.
type savedState struct {
	home.SiteState `msgpack:",inline"`
	// Departed is nil in files that have no such list.
	Departed []departedVersion `msgpack:"departed"`
	Leaving  []leavingUpstream `msgpack:"leaving,omitempty"`
}

// leavingUpstream names one run of an upstream.
type leavingUpstream struct {
	ID          string `msgpack:"id"`
	Incarnation int64  `msgpack:"inc"`
}

// departedVersion is a software version whose last upstream has left, at a time in milliseconds of the Unix epoch.
type departedVersion struct {
	Service string `msgpack:"service"`
	Version string `msgpack:"version"`
	At      int64  `msgpack:"at"`
}

// savedState returns what this node saves for its next start.
func (b *base) savedState() savedState {
	state := savedState{SiteState: b.siteState(), Departed: []departedVersion{}}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.directory.Leaving() {
		state.Leaving = append(state.Leaving, leavingUpstream{ID: k.ID, Incarnation: k.Incarnation})
	}
	for _, d := range b.directory.Departed(b.opts.Now()) {
		state.Departed = append(state.Departed, departedVersion{Service: d.Service, Version: d.Version, At: d.At.UnixMilli()})
	}
	return state
}

// loadHistory gives the directory what this node's last process knew that the object service doesn't tell, from its disk:
// the upstreams that are leaving, and the software versions of the upstreams at its end and of those that had left shortly
// before. What came and left while no process of this node ran is not known to it.
func (b *base) loadHistory() {
	state := load[savedState](b.opts.Settings.DataDir, siteStateFile, b.opts.Log)
	now := b.opts.Now()
	leaving := make([]site.Key, 0, len(state.Leaving))
	for _, k := range state.Leaving {
		leaving = append(leaving, site.Key{ID: k.ID, Incarnation: k.Incarnation})
	}
	b.directory, _ = b.directory.WithLeaving(now, leaving)
	saved, ok := state.Views[platform.KindUpstreams]
	if !ok || !saved.Listed || state.Departed == nil {
		return
	}
	seen := make(map[site.Departure]bool)
	for _, o := range saved.Objects {
		if u, err := platform.DecodeUpstream(o); err == nil {
			seen[site.Departure{Service: u.Service, Version: u.Version, At: now}] = true
		}
	}
	for _, d := range state.Departed {
		if now.Sub(time.UnixMilli(d.At)) < departedMemory {
			seen[site.Departure{Service: d.Service, Version: d.Version, At: now}] = true
		}
	}
	history := make([]site.Departure, 0, len(seen))
	for d := range seen {
		b.opts.Log.Info().Str("service", d.Service).Str("version", d.Version).Msg("versionBeforeRestart")
		history = append(history, d)
	}
	b.directory = b.directory.WithHistory(history)
}
