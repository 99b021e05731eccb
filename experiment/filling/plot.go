package filling

import (
	"bytes"
	"image/color"
	"math"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	// targetShare and targetHarm are the users' targets in percent: batch throughput as a share of the idle
	// baseline, and growth of the online latency.
	targetShare = 90
	targetHarm  = 5
	// leastHarm and mostHarm bound the logarithmic axis of harm, in percent.
	leastHarm = 0.3
	mostHarm  = 6000
	panelSize = 12 * vg.Centimeter
)

var (
	productColor  = color.RGBA{R: 20, G: 90, B: 170, A: 255}
	baselineColor = color.RGBA{R: 190, G: 80, B: 20, A: 255}
	targetColor   = color.RGBA{R: 40, G: 140, B: 60, A: 255}
)

// SVG returns a plot with a panel for each deployment and latency: batch throughput as a share of the idle
// baseline against the growth of the online p99. A line joins the points of the product's weights.
func (r Report) SVG() ([]byte, error) {
	var panels [][]*plot.Plot
	for _, d := range r.Deployments {
		first, err := d.panel("first token p99", func(row Row) float64 { return row.FirstTokenHarm.P99 })
		if err != nil {
			return nil, merry.Errorf("plot first token: %w", err)
		}
		inter, err := d.panel("inter-token p99", func(row Row) float64 { return row.InterTokenHarm.P99 })
		if err != nil {
			return nil, merry.Errorf("plot inter-token: %w", err)
		}
		panels = append(panels, []*plot.Plot{first, inter})
	}
	canvas := vgsvg.New(2*panelSize, vg.Length(len(panels))*panelSize)
	tiles := draw.Tiles{Rows: len(panels), Cols: 2, PadX: vg.Millimeter * 4, PadY: vg.Millimeter * 4}
	canvases := plot.Align(panels, tiles, draw.New(canvas))
	for i, row := range panels {
		for j, p := range row {
			p.Draw(canvases[i][j])
		}
	}
	b := bytes.Buffer{}
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, merry.Errorf("write svg: %w", err)
	}
	return b.Bytes(), nil
}

// panel plots the rows of a deployment for one latency.
func (d Deployment) panel(title string, harm func(Row) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = d.Name + ": " + title
	p.X.Label.Text = "batch items/s, % of the idle baseline"
	p.Y.Label.Text = "growth over the run without batch, %"
	p.X.Min, p.X.Max = 0, 320
	p.Y.Min, p.Y.Max = leastHarm, mostHarm
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	var product, others plotter.XYs
	var productLabels, otherLabels []string
	for _, row := range d.Rows {
		at := plotter.XY{X: 100 * row.IdleBaselineShare, Y: min(mostHarm, max(leastHarm, 100*harm(row)))}
		if row.Weight >= 0 {
			product = append(product, at)
			productLabels = append(productLabels, row.Policy)
			continue
		}
		others = append(others, at)
		otherLabels = append(otherLabels, row.Policy)
	}
	if err := addTargets(p); err != nil {
		return nil, err
	}
	if err := addPoints(p, product, productLabels, productColor, true); err != nil {
		return nil, err
	}
	return p, addPoints(p, others, otherLabels, baselineColor, false)
}

// addTargets draws the users' targets: the product should stay right of the vertical and below the horizontal
// line.
func addTargets(p *plot.Plot) error {
	lines := []plotter.XYs{
		{{X: targetShare, Y: leastHarm}, {X: targetShare, Y: mostHarm}},
		{{X: 0, Y: targetHarm}, {X: 320, Y: targetHarm}},
	}
	for _, points := range lines {
		line, err := plotter.NewLine(points)
		if err != nil {
			return merry.Errorf("draw target: %w", err)
		}
		line.Color = targetColor
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(line)
	}
	return nil
}

// addPoints draws labelled points, joined by a line if joined is set.
func addPoints(p *plot.Plot, points plotter.XYs, labels []string, c color.Color, joined bool) error {
	if len(points) == 0 {
		return nil
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return merry.Errorf("draw points: %w", err)
	}
	scatter.Color = c
	scatter.Shape = draw.CircleGlyph{}
	p.Add(scatter)
	if joined {
		line, err := plotter.NewLine(points)
		if err != nil {
			return merry.Errorf("draw line: %w", err)
		}
		line.Color = c
		p.Add(line)
	}
	text, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: labels})
	if err != nil {
		return merry.Errorf("draw labels: %w", err)
	}
	for i := range text.TextStyle {
		text.TextStyle[i].Color = c
		text.TextStyle[i].Rotation = math.Pi / 9
	}
	text.Offset = vg.Point{X: vg.Points(4), Y: vg.Points(3)}
	p.Add(text)
	return nil
}
