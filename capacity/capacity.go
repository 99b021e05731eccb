// Package capacity computes the cost of each role at the fleet size planned for two years ahead, from measured
// costs per unit of work (slopes).
//
// docs/capacity.json holds the slopes, each with the command that measures it. Page renders the tables of
// docs/CAPACITY.md; a test compares both, so that the page can't differ from the figures.
//
// Usage:
//
//	slopes, err := capacity.Parse(data)
//	fmt.Print(capacity.Page(slopes, capacity.TwoYears()))
//	fmt.Print(capacity.SweepPage(slopes))
package capacity

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Slope is one measured cost per unit of work, with the command that measures it.
type Slope struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Command string  `json:"command"`
}

// Slopes are the measured costs by name, and the sweep over sizes of the users' platform.
type Slopes struct {
	list  []Slope
	sweep Sweep
}

// slopesFile is the format of docs/capacity.json.
type slopesFile struct {
	Slopes []Slope `json:"slopes"`
	Sweep  Sweep   `json:"sweep"`
}

// Parse reads docs/capacity.json.
func Parse(data []byte) (Slopes, error) {
	var f slopesFile
	if err := json.Unmarshal(data, &f); err != nil {
		return Slopes{}, merry.Errorf("parse slopes: %w", err)
	}
	return Slopes{list: f.Slopes, sweep: f.Sweep}, nil
}

// value returns the value of a slope. It panics for an unknown name, which is a bug in this package.
func (s Slopes) value(name string) float64 {
	for _, l := range s.list {
		if l.Name == name {
			return l.Value
		}
	}
	panic("capacity: no slope is called " + name)
}

// Size is the size for which the system is designed: fleet, load and limits.
type Size struct {
	VMs, Engines            float64
	RequestsPerSecond       float64
	TokensPerSecond         float64
	ItemsPerDay, JobsPerDay float64
	ChangesPerDay           float64
	Shards, ItemsPerChunk   float64
	// JobHours is how long a job stays open, in hours.
	JobHours float64
	// CoreLimit, BytesLimit and MemoryLimit are the limits of one VM: a share of a core, bytes sent per second,
	// and bytes.
	CoreLimit, BytesLimit, MemoryLimit float64
	// StoreWrites and StoreReads are the limits of the object service's rates per second.
	StoreWrites, StoreReads float64
	// LoadReportsPerSecond and FillDecisionsPerSecond are the rates for one engine.
	LoadReportsPerSecond, FillDecisionsPerSecond float64
	DigestBytesPerSecond                         float64
	AnnouncementsPerSecond                       float64
	// LimitedRequestShare is the share of requests, from 0 to 1, that need a grant of their own.
	LimitedRequestShare          float64
	AllowanceBytes, AccountsSeen float64
	// SubscribedUpstreams is the number of upstreams that one VM routes to, MemberChangesPerDay the number of
	// joins, leaves and deaths of members.
	SubscribedUpstreams, MemberChangesPerDay float64
}

// TwoYears returns the size that the users require in two years, with assumptions where they gave no figure.
func TwoYears() Size {
	return Size{
		VMs: 340, Engines: 3100, RequestsPerSecond: 27000, TokensPerSecond: 7.3e6,
		ItemsPerDay: 590e6, JobsPerDay: 67000, ChangesPerDay: 3600, Shards: 64,
		ItemsPerChunk: 256, JobHours: 2,
		CoreLimit: 0.038, BytesLimit: 27e3, MemoryLimit: 64e6, StoreWrites: 400, StoreReads: 2000,
		LoadReportsPerSecond: 2, FillDecisionsPerSecond: 100, DigestBytesPerSecond: 6144,
		AnnouncementsPerSecond: 1, LimitedRequestShare: 1, AllowanceBytes: 200, AccountsSeen: 26000,
		SubscribedUpstreams: 150, MemberChangesPerDay: 3 * 308,
	}
}

// Row holds the cost of one role on one VM, and its calls of the object service in the whole fleet.
type Row struct {
	Role      string
	Mechanism string
	// Bytes is sent per second, Core is a share of a core, Memory is in bytes.
	Bytes, Core, Memory float64
	// Writes and Reads are the fleet's calls of the object service per second.
	Writes, Reads float64
}

const (
	nanosPerSecond = 1e9
	secondsPerDay  = 86400
	// subscribedBytes is the size of an upstream's ID in a subscription.
	subscribedBytes = 13
)

// Rows returns the cost of each role.
func Rows(s Slopes, z Size) []Row {
	homedEngines := z.Engines / z.VMs
	requests := z.RequestsPerSecond / z.VMs
	items := z.ItemsPerDay / secondsPerDay
	chunks := items / z.ItemsPerChunk
	jobs := z.JobsPerDay / secondsPerDay
	digests := z.DigestBytesPerSecond / (s.value("digestBytes") + 7)
	changes := z.ChangesPerDay / secondsPerDay
	notices := 2 * requests
	frame := s.value("frameOverhead")
	frameNanos := s.value("frameNanos")
	openJobs := jobs * z.JobHours * 3600 / z.VMs
	heldChunks := 2 * homedEngines
	return []Row{
		{"membership", "bounded random probes with spread suspicions", s.value("membershipBytes"), s.value("membershipCore"), s.value("peerMemory"), 0, 0},
		{"entry: counts to homes", "start at once, end with the next frame; absolute counts", notices * (s.value("countFrameBytes") + frame), notices * frameNanos / nanosPerSecond, 2e6, 0, 0},
		{"home: counts of other VMs", "counts by VM, dropped with their VM", 0, (notices*frameNanos + requests*s.value("countPairNanos")) / nanosPerSecond, 1e6, 0, 0},
		{"home: digests", "a bound on bytes sets the interval", z.DigestBytesPerSecond, digests * (s.value("digestNanos") + frameNanos) / nanosPerSecond, 0.5e6, 0, 0},
		{"placing roles, subscriptions", "rendezvous at each change of members; each VM names its upstreams each 5 s", z.SubscribedUpstreams * (subscribedBytes + frame/2) / 5, z.MemberChangesPerDay / secondsPerDay * s.value("placeNanos") / nanosPerSecond, 1e6, 0, 0},
		{"home: load reports", "one home polls an engine", homedEngines * z.LoadReportsPerSecond * 150, homedEngines * z.LoadReportsPerSecond * s.value("loadNanos") / nanosPerSecond, 1e6, 0, 0},
		{"home: filling", "decision each 10 ms and at each start", 0, homedEngines * z.FillDecisionsPerSecond * s.value("decideNanos") / nanosPerSecond, 0.5e6, 0, 0},
		{"accounts", "tokens lent by the account's home", requests * z.LimitedRequestShare * (s.value("borrowBytes")/2 + frame), requests * z.LimitedRequestShare * (2*frameNanos + s.value("borrowNanos")) / nanosPerSecond, z.AccountsSeen * z.AllowanceBytes, 0, 0},
		{"configuration", "root watched by three VMs, changes spread by peers", changes*s.value("configChangeBytes") + z.AnnouncementsPerSecond*60, changes * s.value("configChangeNanos") / nanosPerSecond, s.value("configMemory"), changes * s.value("configWrites"), 1.5},
		{"ledger shards", "group commit, two writes a second and shard", 0, 0, z.Shards / z.VMs * s.value("ledgerShardMemory") * 6, s.value("ledgerWrites"), 5},
		{"jobs: homes and holders", "chunks claimed by conditional update", 300, items / z.VMs * s.value("itemNanos") / nanosPerSecond, openJobs*s.value("openJobMemory") + heldChunks*s.value("heldChunkMemory"), chunks*s.value("chunkWrites") + jobs*s.value("jobWrites") + chunks, chunks * s.value("chunkReads")},
		{"orders", "leases only while an engine changes", 0, homedEngines / 2 * s.value("loadNanos") / nanosPerSecond, 0.2e6, 0.1, 0.1},
	}
}

// SweepPage returns the tables of docs/CAPACITY.md for the users' platform.
func SweepPage(s Slopes) string { return s.sweep.page() }

// Page returns the tables of docs/CAPACITY.md for the project's own world.
func Page(s Slopes, z Size) string {
	var b strings.Builder
	b.WriteString("| Role on one VM | Mechanism | Sent bytes/s | Core | Memory MB | Writes/s (fleet) | Reads/s (fleet) |\n|---|---|---|---|---|---|---|\n")
	var sum Row
	for _, r := range Rows(s, z) {
		fmt.Fprintf(&b, "| %s | %s | %.0f | %.2f%% | %.1f | %.1f | %.1f |\n", r.Role, r.Mechanism, r.Bytes, 100*r.Core, r.Memory/1e6, r.Writes, r.Reads)
		sum.Bytes += r.Bytes
		sum.Core += r.Core
		sum.Memory += r.Memory
		sum.Writes += r.Writes
		sum.Reads += r.Reads
	}
	fmt.Fprintf(&b, "| **sum** | | **%.0f** | **%.2f%%** | **%.1f** | **%.1f** | **%.1f** |\n", sum.Bytes, 100*sum.Core, sum.Memory/1e6, sum.Writes, sum.Reads)
	fmt.Fprintf(&b, "| limit | | %.0f | %.2f%% | %.1f | %.0f | %.0f |\n", z.BytesLimit, 100*z.CoreLimit, z.MemoryLimit/1e6, z.StoreWrites, z.StoreReads)
	fmt.Fprintf(&b, "| used | | %.0f%% | %.0f%% | %.0f%% | %.0f%% | %.0f%% |\n", 100*sum.Bytes/z.BytesLimit, 100*sum.Core/z.CoreLimit, 100*sum.Memory/z.MemoryLimit, 100*sum.Writes/z.StoreWrites, 100*sum.Reads/z.StoreReads)
	b.WriteString("\nBesides control, one VM relays:\n\n| Work | A second | Cores |\n|---|---|---|\n")
	tokens := z.TokensPerSecond / z.VMs
	requests := z.RequestsPerSecond / z.VMs
	fmt.Fprintf(&b, "| tokens | %.0f | %.2f |\n| requests | %.0f | %.2f |\n", tokens, tokens*s.value("tokenNanos")/nanosPerSecond, requests, requests*s.value("requestNanos")/nanosPerSecond)
	b.WriteString("\nSlopes:\n\n| Slope | Value | Measured by |\n|---|---|---|\n")
	for _, l := range s.list {
		fmt.Fprintf(&b, "| %s | %g %s | `%s` |\n", l.Name, l.Value, l.Unit, l.Command)
	}
	return b.String()
}
