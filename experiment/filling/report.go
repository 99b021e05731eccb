package filling

import (
	"fmt"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds all figures of an experiment.
type Report struct {
	Seed            uint64       `json:"seed"`
	Seconds         float64      `json:"seconds"`
	Engines         int          `json:"engines"`
	ReportLagMillis int64        `json:"reportLagMillis"`
	Deployments     []Deployment `json:"deployments"`
}

// Deployment holds the figures of one user's service. Rates are in items per second; the package comment
// explains the baseline and the bound.
type Deployment struct {
	Name         string  `json:"name"`
	IdleBaseline float64 `json:"idleBaseline"`
	SlotBound    float64 `json:"slotBound"`
	FullRate     float64 `json:"fullRate"`
	IdleShare    float64 `json:"idleShare"`
	WithoutBatch Row     `json:"withoutBatch"`
	Rows         []Row   `json:"rows"`
	// Faults holds the product's runs with faults; Row.Policy is the name of the fault.
	Faults []Row `json:"faults"`

	seconds float64
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Row holds the figures of one policy.
type Row struct {
	Policy string `json:"policy"`
	// Weight is the product's weight, or -1 for other policies.
	Weight            float64   `json:"weight"`
	ItemsPerSecond    float64   `json:"itemsPerSecond"`
	IdleBaselineShare float64   `json:"idleBaselineShare"`
	SlotBoundShare    float64   `json:"slotBoundShare"`
	OnlineAnswers     int       `json:"onlineAnswers"`
	FirstToken        Quantiles `json:"firstTokenMillis"`
	InterToken        Quantiles `json:"interTokenMillis"`
	// FirstTokenHarm and InterTokenHarm are the growth over the run without batch, as shares.
	FirstTokenHarm Quantiles `json:"firstTokenHarm"`
	InterTokenHarm Quantiles `json:"interTokenHarm"`
	// ThrownAwayTokens is the number of tokens computed again, ThrownAwayShare its share of all batch tokens
	// and prompt tokens computed again.
	ThrownAwayTokens int       `json:"thrownAwayTokens"`
	ThrownAwayShare  float64   `json:"thrownAwayShare"`
	Pauses           int       `json:"pauses"`
	Yield            Quantiles `json:"yieldMillis"`
	Ramp             Quantiles `json:"rampMillis"`
}

func newDeployment(opts Options, dep deployment, base, full result) Deployment {
	seconds := opts.Duration.Seconds()
	total := seconds * float64(opts.Engines)
	d := Deployment{Name: dep.name, seconds: seconds}
	d.FullRate = float64(full.itemsDone) / seconds
	d.IdleShare = base.idle.Seconds() / total
	d.IdleBaseline = d.FullRate * d.IdleShare
	d.SlotBound = d.FullRate * (1 - base.slots.Seconds()/total/float64(opts.Engine.MaxRunning))
	d.WithoutBatch = d.row(withoutBatch(), base)
	return d
}

func (d Deployment) row(p policy, r result) Row {
	row := Row{
		Policy:           p.name,
		Weight:           p.weight,
		ItemsPerSecond:   float64(r.itemsDone) / d.seconds,
		OnlineAnswers:    r.onlineDone,
		FirstToken:       quantiles(r.firstToken),
		InterToken:       quantiles(r.interToken),
		Yield:            quantiles(r.yield),
		Ramp:             quantiles(r.ramp),
		ThrownAwayTokens: r.recomputed + r.discarded,
		Pauses:           r.paused,
	}
	row.IdleBaselineShare = row.ItemsPerSecond / d.IdleBaseline
	row.SlotBoundShare = row.ItemsPerSecond / d.SlotBound
	row.FirstTokenHarm = row.FirstToken.growthOver(d.WithoutBatch.FirstToken)
	row.InterTokenHarm = row.InterToken.growthOver(d.WithoutBatch.InterToken)
	if r.batchTokens > 0 {
		row.ThrownAwayShare = float64(row.ThrownAwayTokens) / float64(r.batchTokens+r.recomputed)
	}
	return row
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// growthOver returns the relative growth of each quantile over base.
func (q Quantiles) growthOver(base Quantiles) Quantiles {
	growth := func(value, from float64) float64 {
		if from == 0 {
			return 0
		}
		return value/from - 1
	}
	return Quantiles{P50: growth(q.P50, base.P50), P95: growth(q.P95, base.P95), P99: growth(q.P99, base.P99)}
}

// Markdown returns the figures as one table per deployment.
func (r Report) Markdown() string {
	b := strings.Builder{}
	for _, d := range r.Deployments {
		fmt.Fprintf(&b, "\n%s: engines full of batch %.1f items/s, idle %.0f%% of the time, idle baseline %.1f items/s, slot bound %.1f items/s\n\n",
			d.Name, d.FullRate, 100*d.IdleShare, d.IdleBaseline, d.SlotBound)
		writeTable(&b, "policy", append([]Row{d.WithoutBatch}, d.Rows...))
		if len(d.Faults) > 0 {
			b.WriteString("\n")
			writeTable(&b, "fault", d.Faults)
		}
	}
	return b.String()
}

func writeTable(b *strings.Builder, first string, rows []Row) {
	b.WriteString("| " + first + " | items/s | of idle baseline | of slot bound | first token p50/p95/p99 ms | growth p50/p95/p99 | inter-token p50/p95/p99 ms | growth p50/p95/p99 | thrown away | yield p99 ms | ramp p50/p95 ms |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		writeRow(b, row)
	}
}

func writeRow(b *strings.Builder, r Row) {
	fmt.Fprintf(b, "| %s | %.1f | %.0f%% | %.0f%% | %s | %s | %s | %s | %.1f%% | %.1f | %.0f / %.0f |\n",
		r.Policy, r.ItemsPerSecond, 100*r.IdleBaselineShare, 100*r.SlotBoundShare,
		r.FirstToken.text("%.1f", 1), r.FirstTokenHarm.text("%+.1f%%", 100),
		r.InterToken.text("%.1f", 1), r.InterTokenHarm.text("%+.1f%%", 100),
		100*r.ThrownAwayShare, r.Yield.P99, r.Ramp.P50, r.Ramp.P95)
}

func (q Quantiles) text(format string, factor float64) string {
	one := func(v float64) string { return fmt.Sprintf(format, v*factor) }
	return one(q.P50) + " / " + one(q.P95) + " / " + one(q.P99)
}
