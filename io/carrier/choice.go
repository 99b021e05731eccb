package carrier

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"mothcart/core/slot"
)

const (
	// carrierPause is how long a carrier that failed or was unable is not asked again. It doubles with each failure in a
	// row, up to maxCarrierPause: a VM that is gone costs a caller the time of a connection that isn't opened.
	carrierPause    = time.Second
	maxCarrierPause = 8 * time.Second
	// stoppingPause is how long a carrier that stops is not asked again: a VM drains for some seconds, and starts again in
	// one or two.
	stoppingPause = 6 * time.Second
	// unknownCost and farCost are what counts against a carrier that has not served yet, and one in another availability
	// zone, in requests that it has in use for this node. Few enough, so that a single one isn't given all.
	unknownCost = 2
	farCost     = 8
)

// HeaderZone names, on the answers of a carrier, its availability zone.
const HeaderZone = "Carrier-Zone"

// reasons are why a carrier refuses, in HeaderUnable.
const (
	reasonLinksLost = "linksLost"
	reasonBusy      = "busy"
)

// ReasonStopping means, in HeaderUnable, that the carrier is about to stop.
const ReasonStopping = "stopping"

// candidate is what a node knows about an entry that may carry its requests.
type candidate struct {
	// namedAt is when it was last named, pausedUntil when it may be asked again.
	namedAt, pausedUntil time.Time
	// lost reports that it said that it has no links either.
	lost bool
	// zone is empty until an answer names it.
	zone string
	// inUse counts the requests that it carries for this node now, failures the failures since it last served.
	inUse, failures int
	served          bool
}

// cost orders candidates, the lowest first.
func (c *candidate) cost(zone string) int {
	cost := c.inUse
	if !c.served || c.failures > 0 {
		cost += unknownCost
	}
	if c.zone != "" && c.zone != zone {
		cost += farCost
	}
	return cost
}

func (c *candidate) fail(now time.Time) {
	pause := min(carrierPause<<min(c.failures, 8), maxCarrierPause)
	c.failures++
	c.pausedUntil = now.Add(pause)
}

// Carrier returns the address of an entry that may send a request for this node, and false if none is known that is not
// excluded. It prefers those that have served, in this node's zone, and with few of its requests. If all pause, it takes
// the one whose pause ends first, unless that has no links either. CarrierEnded ends the use.
func (l *Links) Carrier(exclude []string) (string, bool) {
	entries := l.opts.Entries()
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.name(now, entries)
	var usable, pausing []string
	for address, c := range l.candidates {
		switch {
		case slices.Contains(exclude, address):
		case !now.Before(c.pausedUntil):
			usable = append(usable, address)
		case !c.lost:
			pausing = append(pausing, address)
		}
	}
	address := l.cheapest(usable)
	if address == "" {
		address = l.soonest(pausing)
	}
	if address == "" {
		return "", false
	}
	l.candidates[address].inUse++
	return address, true
}

// name adds the entries that are named now to the candidates, and removes those that were not named for long.
func (l *Links) name(now time.Time, entries []string) {
	for _, e := range entries {
		host, _, err := net.SplitHostPort(e)
		if err != nil || host == l.opts.Own || l.opts.Port == 0 {
			continue
		}
		address := net.JoinHostPort(host, strconv.Itoa(l.opts.Port))
		if l.candidates[address] == nil {
			l.candidates[address] = &candidate{}
		}
		l.candidates[address].namedAt = now
	}
	for address, c := range l.candidates {
		age := now.Sub(c.namedAt)
		if age >= carrierLifetime || (len(l.candidates) > maxCarriers && age > 0) { // those just named stay
			delete(l.candidates, address)
		}
	}
}

// cheapest returns one of the addresses with the lowest cost, or "".
func (l *Links) cheapest(addresses []string) string {
	var best []string
	least := 0
	slices.Sort(addresses)
	for _, a := range addresses {
		cost := l.candidates[a].cost(l.opts.Zone)
		if len(best) == 0 || cost < least {
			best, least = nil, cost
		}
		if cost == least {
			best = append(best, a)
		}
	}
	if len(best) == 0 {
		return ""
	}
	return best[rand.IntN(len(best))]
}

// soonest returns the address whose pause ends first, or "".
func (l *Links) soonest(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return slices.MinFunc(addresses, func(a, b string) int {
		return l.candidates[a].pausedUntil.Compare(l.candidates[b].pausedUntil)
	})
}

// CarrierEnded records the end of an attempt through the entry at an address.
func (l *Links) CarrierEnded(address string, result slot.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.candidates[address]
	if c == nil {
		return // it was not named for long
	}
	c.inUse = max(c.inUse-1, 0)
	switch result {
	case slot.Unreachable, slot.Ended, slot.Broken:
		c.fail(l.opts.Now())
	case slot.Served:
		c.served, c.lost, c.failures, c.pausedUntil = true, false, 0, time.Time{}
	}
}

// CarrierAnswered records what the headers of an answer say about the entry that sent it.
func (l *Links) CarrierAnswered(address string, h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.candidates[address]
	if c == nil {
		return
	}
	if zone := h.Get(HeaderZone); zone != "" {
		c.zone = zone
	}
	reason, now := h.Get(HeaderUnable), l.opts.Now()
	if reason == "" {
		return
	}
	l.unable.Inc(1)
	c.lost = reason == reasonLinksLost
	c.pausedUntil = now.Add(carrierPause)
	if reason == ReasonStopping {
		c.pausedUntil = now.Add(stoppingPause)
	}
	l.opts.Log.Info().Str("carrier", address).Str("reason", reason).Dur("pauseMillis", c.pausedUntil.Sub(now)).Msg("carrierUnable")
}
