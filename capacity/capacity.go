// Package capacity works out what each role costs at the two-year size, from measured slopes.
//
// The slopes stand in docs/capacity.json, each with the command that measures it. Page renders the
// table of docs/CAPACITY.md; a test compares both, so that page and figures can't drift apart.
//
// Usage:
//
//	slopes, err := capacity.Parse(data)
//	fmt.Print(capacity.Page(slopes, capacity.TwoYears()))
package capacity

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Slope is one measured cost.
type Slope struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Command string  `json:"command"`
}

// Slopes are the measured costs by name.
type Slopes struct{ list []Slope }

// Parse reads docs/capacity.json.
func Parse(data []byte) (Slopes, error) {
	var s Slopes
	if err := json.Unmarshal(data, &s.list); err != nil {
		return s, merry.Errorf("parse slopes: %w", err)
	}
	return s, nil
}

// of returns a slope's value; an unknown name is a fault of this package.
func (s Slopes) of(name string) float64 {
	for _, l := range s.list {
		if l.Name == name {
			return l.Value
		}
	}
	panic("capacity: no slope is called " + name)
}

// Size is the size that decides the design.
type Size struct {
	VMs, Engines            float64
	RequestsPerSecond       float64
	TokensPerSecond         float64
	ItemsPerDay, JobsPerDay float64
	ChangesPerDay           float64
	Shards, ItemsPerChunk   float64
	// JobHours is how long a job is open.
	JobHours float64
	// CoreLimit is a share of a core, BytesLimit is sent a second, MemoryLimit is in bytes.
	CoreLimit, BytesLimit, MemoryLimit float64
	// StoreWrites and StoreReads are the object service's rates a second.
	StoreWrites, StoreReads float64
	// LoadReportsPerSecond and FillDecisionsPerSecond are those of one engine.
	LoadReportsPerSecond, FillDecisionsPerSecond float64
	DigestBytesPerSecond                         float64
	AnnouncementsPerSecond                       float64
	// LimitedRequestShare is the share of requests, from 0 to 1, that need a grant of their own.
	LimitedRequestShare          float64
	AllowanceBytes, AccountsSeen float64
	// SubscribedUpstreams is the number that one VM routes to, MemberChangesPerDay that of joins,
	// leaves and deaths.
	SubscribedUpstreams, MemberChangesPerDay float64
}

// TwoYears returns the size of the users' letter, with the assumptions that it leaves open.
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

// Row is one role on one VM, and its calls of the object service in the whole fleet.
type Row struct {
	Role      string
	Mechanism string
	// Bytes are sent a second, Core is a share of a core, Memory is in bytes.
	Bytes, Core, Memory float64
	// Writes and Reads are calls of the object service a second in the fleet.
	Writes, Reads float64
}

const (
	nanosPerSecond = 1e9
	secondsPerDay  = 86400
	// subscribedBytes is an upstream's ID in a subscription.
	subscribedBytes = 13
)

// Rows works the roles out.
func Rows(s Slopes, z Size) []Row {
	homed := z.Engines / z.VMs
	requests := z.RequestsPerSecond / z.VMs
	items := z.ItemsPerDay / secondsPerDay
	chunks := items / z.ItemsPerChunk
	jobs := z.JobsPerDay / secondsPerDay
	digests := z.DigestBytesPerSecond / (s.of("digestBytes") + 7)
	changes := z.ChangesPerDay / secondsPerDay
	notices := 2 * requests
	frame := s.of("frameOverhead")
	perFrame := s.of("frameNanos")
	openJobs := jobs * z.JobHours * 3600 / z.VMs
	held := 2 * homed
	return []Row{
		{"membership", "bounded random probes with spread suspicions", s.of("membershipBytes"), s.of("membershipCore"), s.of("peerMemory"), 0, 0},
		{"entry: counts to homes", "start at once, end with the next frame; absolute counts", notices * (s.of("countFrameBytes") + frame), notices * perFrame / nanosPerSecond, 2e6, 0, 0},
		{"home: counts of other VMs", "counts by VM, dropped with their VM", 0, (notices*perFrame + requests*s.of("countPairNanos")) / nanosPerSecond, 1e6, 0, 0},
		{"home: digests", "a bound on bytes sets the interval", z.DigestBytesPerSecond, digests * (s.of("digestNanos") + perFrame) / nanosPerSecond, 0.5e6, 0, 0},
		{"placing roles, subscriptions", "rendezvous at each change of members; each VM names its upstreams each 5 s", z.SubscribedUpstreams * (subscribedBytes + frame/2) / 5, z.MemberChangesPerDay / secondsPerDay * s.of("placeNanos") / nanosPerSecond, 1e6, 0, 0},
		{"home: load reports", "one home polls an engine", homed * z.LoadReportsPerSecond * 150, homed * z.LoadReportsPerSecond * s.of("loadNanos") / nanosPerSecond, 1e6, 0, 0},
		{"home: filling", "decision each 10 ms and at each start", 0, homed * z.FillDecisionsPerSecond * s.of("decideNanos") / nanosPerSecond, 0.5e6, 0, 0},
		{"accounts", "tokens lent by the account's home", requests * z.LimitedRequestShare * (s.of("borrowBytes")/2 + frame), requests * z.LimitedRequestShare * (2*perFrame + s.of("borrowNanos")) / nanosPerSecond, z.AccountsSeen * z.AllowanceBytes, 0, 0},
		{"configuration", "root watched by three VMs, changes spread by peers", changes*s.of("configChangeBytes") + z.AnnouncementsPerSecond*60, changes * s.of("configChangeNanos") / nanosPerSecond, s.of("configMemory"), changes * s.of("configWrites"), 1.5},
		{"ledger shards", "group commit, two writes a second and shard", 0, 0, z.Shards / z.VMs * s.of("ledgerShardMemory") * 6, s.of("ledgerWrites"), 5},
		{"jobs: homes and holders", "chunks claimed by conditional update", 300, items / z.VMs * s.of("itemNanos") / nanosPerSecond, openJobs*s.of("openJobMemory") + held*s.of("heldChunkMemory"), chunks*s.of("chunkWrites") + jobs*s.of("jobWrites") + chunks, chunks * s.of("chunkReads")},
		{"orders", "leases only while an engine changes", 0, homed / 2 * s.of("loadNanos") / nanosPerSecond, 0.2e6, 0.1, 0.1},
	}
}

// Page renders the tables.
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
	fmt.Fprintf(&b, "| tokens | %.0f | %.2f |\n| requests | %.0f | %.2f |\n", tokens, tokens*s.of("tokenNanos")/nanosPerSecond, requests, requests*s.of("requestNanos")/nanosPerSecond)
	b.WriteString("\nSlopes:\n\n| Slope | Value | Measured by |\n|---|---|---|\n")
	for _, l := range s.list {
		fmt.Fprintf(&b, "| %s | %g %s | `%s` |\n", l.Name, l.Value, l.Unit, l.Command)
	}
	return b.String()
}
