package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Sweep holds what one day showed on fleets of several sizes, with the command that played it.
type Sweep struct {
	Command string `json:"command"`
	// Journal is the ID of the command's journal entry.
	Journal string `json:"journal"`
	// VMs and Upstreams are the sizes, Worth and Served the day's result at each.
	VMs       []float64 `json:"vms"`
	Upstreams []float64 `json:"upstreams"`
	Worth     []float64 `json:"worth"`
	Served    []float64 `json:"served"`
	// Target is the number of VMs that the site is planned for.
	Target   float64        `json:"target"`
	Measures []SweepMeasure `json:"measures"`
}

// SweepMeasure is one measure of a role at each size.
type SweepMeasure struct {
	Role    string `json:"role"`
	Measure string `json:"measure"`
	// Mechanism is what costs it.
	Mechanism string `json:"mechanism"`
	// Middle and Busiest are those of the middle and the busiest VM.
	Middle  []float64 `json:"middle"`
	Busiest []float64 `json:"busiest"`
	// Limit is that of the smallest VM of the role; 0 means none.
	Limit float64 `json:"limit"`
}

// Power returns the power of the number of VMs to which the busiest VM's measure grows, between the last two sizes.
func (m SweepMeasure) Power(vms []float64) float64 {
	n := len(vms) - 1
	if m.Busiest[n-1] <= 0 || m.Busiest[n] <= 0 {
		return 0
	}
	return math.Log(m.Busiest[n]/m.Busiest[n-1]) / math.Log(vms[n]/vms[n-1])
}

// At returns the busiest VM's measure at a number of VMs, if it goes on to grow like that.
func (m SweepMeasure) At(vms []float64, size float64) float64 {
	n := len(vms) - 1
	return m.Busiest[n] * math.Pow(size/vms[n], max(m.Power(vms), 0))
}

// Breaks returns the number of VMs at which the busiest VM reaches its limit, and false if it never does.
func (m SweepMeasure) Breaks(vms []float64) (float64, bool) {
	n, power := len(vms)-1, m.Power(vms)
	if m.Limit == 0 || power <= 0 {
		return 0, false
	}
	return vms[n] * math.Pow(m.Limit/m.Busiest[n], 1/power), true
}

// maxBreak is the number of VMs above which a limit counts as out of reach.
const maxBreak = 100_000

// page renders the tables of the sweep.
func (s Sweep) page() string {
	var b strings.Builder
	fmt.Fprintf(&b, "`%s`, journal %s:\n\n| VMs | Upstreams | Worth | Served |\n|---|---|---|---|\n", s.Command, s.Journal)
	for i, vms := range s.VMs {
		fmt.Fprintf(&b, "| %.0f | %.0f | %.3f | %.3f |\n", vms, s.Upstreams[i], s.Worth[i], s.Served[i])
	}
	b.WriteString("\nThe middle and the busiest VM of each role, the power of the number of VMs to which the busiest one grows (between\n" +
		"the last two sizes), what that gives at the target, and the number of VMs at which it reaches the limit:\n\n")
	b.WriteString("| Role | Measure | Mechanism |")
	for _, vms := range s.VMs {
		fmt.Fprintf(&b, " %.0f |", vms)
	}
	fmt.Fprintf(&b, " Power | At %.0f | Limit | Reached at |\n|---|---|---|%s---|---|---|---|\n", s.Target, strings.Repeat("---|", len(s.VMs)))
	for _, m := range s.Measures {
		fmt.Fprintf(&b, "| %s | %s | %s |", m.Role, m.Measure, m.Mechanism)
		for i := range s.VMs {
			fmt.Fprintf(&b, " %g, %g |", m.Middle[i], m.Busiest[i])
		}
		limit, reached := "", ""
		if m.Limit > 0 {
			limit, reached = fmt.Sprintf("%g", m.Limit), "out of reach"
		}
		if at, ok := m.Breaks(s.VMs); ok && at < maxBreak {
			reached = fmt.Sprintf("%.0f", at)
		}
		fmt.Fprintf(&b, " %.2f | %.3g | %s | %s |\n", m.Power(s.VMs), m.At(s.VMs, s.Target), limit, reached)
	}
	return b.String()
}
