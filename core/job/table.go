package job

import (
	"slices"
	"strings"
	"time"
)

// offerTimeout is the time in which the VM that was offered a chunk must report its claim.
const offerTimeout = 10 * time.Second

// chunkStatus is what a job's home knows about the claim of a chunk.
type chunkStatus uint8

const (
	statusOpen chunkStatus = iota
	statusOffered
	statusHeld
	statusDone
)

// Entry is what the job's home knows about one chunk.
type Entry struct {
	// Version is the object's version that the home knows; 0 when the object does not exist.
	Version uint64
	// Counts are the outcomes as last reported.
	Counts Counts
	// Holder is the VM that reported the claim.
	Holder string
	status chunkStatus
	// leaseStart is when the home first knew Version, or when Alive last prolonged the lease.
	leaseStart time.Time
	// offerExpiresAt is the end of an offer.
	offerExpiresAt time.Time
	// checked reports that Version's record was read or reported, not only listed.
	checked bool
}

// Table is the chunk table of one job at the job's home.
type Table struct {
	entries []Entry
	lease   time.Duration
}

// NewTable returns the table of a job of n chunks that nobody has claimed.
func NewTable(n int, lease time.Duration) Table {
	return Table{entries: make([]Entry, n), lease: lease}
}

// Len returns the number of chunks.
func (t Table) Len() int { return len(t.entries) }

// Entry returns the entry of chunk i.
func (t Table) Entry(i int) Entry { return t.entries[i] }

func (t Table) with(i int, e Entry) Table {
	t.entries = slices.Clone(t.entries)
	t.entries[i] = e
	return t
}

// available reports whether a chunk may be offered: it is open, an offer expired, or its claim has
// stayed at one version for the duration of a lease on the home's clock. The claim that follows is
// conditional on that version, so it fails if the version changed before the end of the lease.
func (t Table) available(now time.Time, e Entry) bool {
	switch e.status {
	case statusOpen:
		return true
	case statusOffered:
		return !now.Before(e.offerExpiresAt)
	case statusHeld:
		return now.Sub(e.leaseStart) >= t.lease
	default:
		return false
	}
}

// Open returns the number of chunks that could be offered now, and the number that are held or offered.
func (t Table) Open(now time.Time) (open, held int) {
	for _, e := range t.entries {
		switch {
		case t.available(now, e):
			open++
		case e.status != statusDone:
			held++
		}
	}
	return open, held
}

// Offer offers the next available chunk; it returns its index and the version that its claim must
// expect.
func (t Table) Offer(now time.Time) (Table, int, uint64, bool) {
	for i, e := range t.entries {
		if !t.available(now, e) {
			continue
		}
		e.status = statusOffered
		e.offerExpiresAt = now.Add(offerTimeout)
		return t.with(i, e), i, e.Version, true
	}
	return t, 0, 0, false
}

// Listed records the version of chunk i as found in a listing of the store.
func (t Table) Listed(now time.Time, i int, version uint64) Table {
	e := t.entries[i]
	if e.status == statusDone || version <= e.Version {
		return t
	}
	e.status, e.Version, e.leaseStart, e.checked = statusHeld, version, now, false
	return t.with(i, e)
}

// Report is the status of one chunk, from its record or from its holder.
type Report struct {
	Chunk   int    `msgpack:"c"`
	Version uint64 `msgpack:"v"`
	Holder  string `msgpack:"h"`
	Counts  Counts `msgpack:"n"`
	Closed  bool   `msgpack:"d"`
}

// ReportOf returns the report of a chunk's record.
func ReportOf(i int, version uint64, c Chunk) Report {
	return Report{Chunk: i, Version: version, Holder: c.Owner, Counts: c.Counts(), Closed: c.Closed}
}

// Reported records r. Older versions change nothing, and a closed chunk stays closed.
func (t Table) Reported(now time.Time, r Report) Table {
	if r.Chunk < 0 || r.Chunk >= len(t.entries) {
		return t
	}
	e := t.entries[r.Chunk]
	if e.status == statusDone || r.Version < e.Version {
		return t
	}
	if r.Version > e.Version || e.status == statusOpen {
		e.leaseStart = now
	}
	e.Version, e.Holder, e.Counts, e.checked = r.Version, r.Holder, r.Counts, true
	switch {
	case r.Closed:
		e.status = statusDone
	case r.Holder == "":
		e.status = statusOpen
	default:
		e.status = statusHeld
	}
	return t.with(r.Chunk, e)
}

// Alive records that the holder of chunk i reports that it holds version and could not renew. It
// prolongs the lease at the home, unless the version differs: a holder that has lost the claim names
// an older one.
func (t Table) Alive(now time.Time, i int, version uint64) Table {
	if i < 0 || i >= len(t.entries) {
		return t
	}
	e := t.entries[i]
	if e.status != statusHeld || e.Version != version {
		return t
	}
	e.leaseStart = now
	return t.with(i, e)
}

// Unchecked returns a chunk whose record the home has only seen in a listing.
func (t Table) Unchecked() (int, bool) {
	for i, e := range t.entries {
		if e.status != statusDone && e.Version != 0 && !e.checked {
			return i, true
		}
	}
	return 0, false
}

// Unclaimed returns the chunks whose object does not exist as far as the home knows.
func (t Table) Unclaimed() []int {
	var list []int
	for i, e := range t.entries {
		if e.Version == 0 {
			list = append(list, i)
		}
	}
	return list
}

// Unclosed returns the chunks that were claimed and are not closed.
func (t Table) Unclosed() []int {
	var list []int
	for i, e := range t.entries {
		if e.Version != 0 && e.status != statusDone {
			list = append(list, i)
		}
	}
	return list
}

// Finished reports whether every chunk is closed.
func (t Table) Finished() bool {
	return !slices.ContainsFunc(t.entries, func(e Entry) bool { return e.status != statusDone })
}

// Counts returns the sum of the reported outcomes.
func (t Table) Counts() Counts {
	var n Counts
	for _, e := range t.entries {
		n = n.Plus(e.Counts)
	}
	return n
}

// Closed reports whether the chunk has all its outcomes.
func (e Entry) Closed() bool { return e.status == statusDone }

// HeldBy reports whether VM id holds a chunk as far as the home knows. Owners are named by VM and
// process, with a # between.
func (t Table) HeldBy(id string) bool {
	return slices.ContainsFunc(t.entries, func(e Entry) bool {
		return e.status == statusHeld && strings.HasPrefix(e.Holder, id+"#")
	})
}
