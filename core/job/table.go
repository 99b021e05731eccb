package job

import (
	"slices"
	"strings"
	"time"
)

// offerTimeout is the time in which the VM that was offered a chunk must report its claim.
const offerTimeout = 10 * time.Second

// place is what a job's home knows about the holder of a chunk.
type place uint8

const (
	placeOpen place = iota
	placeOffered
	placeHeld
	placeDone
)

// Entry is what the job's home knows about one chunk.
type Entry struct {
	// Version is the object's version that the home knows; 0 when the object does not exist.
	Version uint64
	// Counts are the outcomes as last reported.
	Counts Counts
	// Holder is the VM that reported the claim.
	Holder string
	place  place
	// seen is the time since which the home has known Version.
	seen time.Time
	// until ends an offer.
	until time.Time
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

// Entry returns what is known of chunk i.
func (t Table) Entry(i int) Entry { return t.entries[i] }

func (t Table) with(i int, e Entry) Table {
	t.entries = slices.Clone(t.entries)
	t.entries[i] = e
	return t
}

// available reports whether a chunk may be offered: it is open, an offer ran out, or its claim has
// stayed at one version for a whole lease on the home's clock. The claim that follows is
// conditional on that version, which proves that it is still the same at the end of the lease.
func (t Table) available(now time.Time, e Entry) bool {
	switch e.place {
	case placeOpen:
		return true
	case placeOffered:
		return !now.Before(e.until)
	case placeHeld:
		return now.Sub(e.seen) >= t.lease
	default:
		return false
	}
}

// Open returns the number of chunks that could be offered now, and the number that are held.
func (t Table) Open(now time.Time) (open, held int) {
	for _, e := range t.entries {
		switch {
		case t.available(now, e):
			open++
		case e.place != placeDone:
			held++
		}
	}
	return open, held
}

// Offer gives out the next chunk and the version that its claim must expect.
func (t Table) Offer(now time.Time) (Table, int, uint64, bool) {
	for i, e := range t.entries {
		if !t.available(now, e) {
			continue
		}
		e.place = placeOffered
		e.until = now.Add(offerTimeout)
		return t.with(i, e), i, e.Version, true
	}
	return t, 0, 0, false
}

// Listed records the version of chunk i as found in a listing of the store.
func (t Table) Listed(now time.Time, i int, version uint64) Table {
	e := t.entries[i]
	if e.place == placeDone || version <= e.Version {
		return t
	}
	e.place, e.Version, e.seen, e.checked = placeHeld, version, now, false
	return t.with(i, e)
}

// Report is the news of one chunk, from its record or from its holder.
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
	if e.place == placeDone || r.Version < e.Version {
		return t
	}
	if r.Version > e.Version || e.place == placeOpen {
		e.seen = now
	}
	e.Version, e.Holder, e.Counts, e.checked = r.Version, r.Holder, r.Counts, true
	switch {
	case r.Closed:
		e.place = placeDone
	case r.Holder == "":
		e.place = placeOpen
	default:
		e.place = placeHeld
	}
	return t.with(r.Chunk, e)
}

// Alive records that the holder of chunk i says that it holds version and could not renew. It
// prolongs the lease at the home; a holder that has lost the claim names an older version.
func (t Table) Alive(now time.Time, i int, version uint64) Table {
	if i < 0 || i >= len(t.entries) {
		return t
	}
	e := t.entries[i]
	if e.place != placeHeld || e.Version != version {
		return t
	}
	e.seen = now
	return t.with(i, e)
}

// Unchecked returns a chunk whose record the home has only seen in a listing.
func (t Table) Unchecked() (int, bool) {
	for i, e := range t.entries {
		if e.place != placeDone && e.Version != 0 && !e.checked {
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
		if e.Version != 0 && e.place != placeDone {
			list = append(list, i)
		}
	}
	return list
}

// Finished reports whether every chunk is closed.
func (t Table) Finished() bool {
	return !slices.ContainsFunc(t.entries, func(e Entry) bool { return e.place != placeDone })
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
func (e Entry) Closed() bool { return e.place == placeDone }

// HeldBy reports whether VM id holds a chunk as far as the home knows. Owners are named by VM and
// process, with a # between.
func (t Table) HeldBy(id string) bool {
	return slices.ContainsFunc(t.entries, func(e Entry) bool {
		return e.place == placeHeld && strings.HasPrefix(e.Holder, id+"#")
	})
}
