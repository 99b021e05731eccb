package load

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Named is a result with the name under which the report shows it.
type Named struct {
	Name   string `json:"name"`
	Result Result `json:"result"`
}

// Plot sizes in the report.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>mothcart load</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}th:first-child,td:first-child{text-align:left}</style>
</head><body><h1>mothcart load</h1>
<table><tr><th>run</th><th>sent</th><th>whole</th><th>refused</th><th>failed</th><th>dropped</th><th>first token p50 / p95 / p99 ms</th><th>inter-token</th><th>total</th></tr>
{{range .Results}}<tr><td>{{.Name}}</td><td>{{.Result.Sent}}</td><td>{{.Result.Whole}}</td><td>{{.Result.Refused}}</td><td>{{.Result.Failed}}</td><td>{{.Result.Dropped}}</td><td>{{.Result.FirstToken}}</td><td>{{.Result.InterToken}}</td><td>{{.Result.Total}}</td></tr>
{{end}}</table>
<h2>Time of whole answers by quantile</h2>{{.Curve}}
<h2>Whole answers a second</h2>{{.Rate}}
</body></html>
`))

type pageData struct {
	Results     []Named
	Curve, Rate template.HTML
}

// WriteReport writes an HTML page with a table and plots.
func WriteReport(w io.Writer, results []Named) error {
	curve, err := curvePlot(results)
	if err != nil {
		return err
	}
	rate, err := ratePlot(results)
	if err != nil {
		return err
	}
	if err := page.Execute(w, pageData{Results: results, Curve: curve, Rate: rate}); err != nil {
		return merry.Errorf("write report: %w", err)
	}
	return nil
}

func curvePlot(results []Named) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "quantile"
	p.Y.Label.Text = "milliseconds"
	return lines(p, results, func(r Result) plotter.XYs {
		var xys plotter.XYs
		for _, c := range r.Curve {
			xys = append(xys, plotter.XY{X: c.Quantile, Y: c.Millis})
		}
		return xys
	})
}

func ratePlot(results []Named) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "second"
	p.Y.Label.Text = "whole answers"
	return lines(p, results, func(r Result) plotter.XYs {
		var xys plotter.XYs
		for i, n := range r.PerSecond {
			xys = append(xys, plotter.XY{X: float64(i), Y: float64(n)})
		}
		return xys
	})
}

// lines draws one line per result and returns the plot as SVG.
func lines(p *plot.Plot, results []Named, points func(Result) plotter.XYs) (template.HTML, error) {
	for i, n := range results {
		xys := points(n.Result)
		if len(xys) == 0 {
			continue
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return "", merry.Errorf("plot %s: %w", n.Name, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(n.Name, line)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	svg, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", merry.Errorf("plot: %w", err)
	}
	var b bytes.Buffer
	if _, err := svg.WriteTo(&b); err != nil {
		return "", merry.Errorf("plot: %w", err)
	}
	// The XML declaration is not allowed inside HTML.
	_, drawing, found := bytes.Cut(b.Bytes(), []byte("?>"))
	if !found {
		drawing = b.Bytes()
	}
	return template.HTML(drawing), nil
}

// WriteTable writes the results as text for a terminal.
func WriteTable(w io.Writer, results []Named) error {
	for _, n := range results {
		r := n.Result
		_, err := fmt.Fprintf(w, "%-14s sent %d whole %d refused %d failed %d dropped %d, %.0f whole/s, %.0f tokens/s\n"+
			"%-14s ms p50/p95/p99: first token %s, inter-token %s, total %s\n",
			n.Name, r.Sent, r.Whole, r.Refused, r.Failed, r.Dropped, float64(r.Whole)/r.Seconds, float64(r.Tokens)/r.Seconds,
			"", r.FirstToken, r.InterToken, r.Total)
		if err != nil {
			return merry.Errorf("write table: %w", err)
		}
	}
	return nil
}
