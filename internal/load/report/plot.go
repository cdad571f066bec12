package report

import (
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth     = 10 * vg.Inch
	rowHeight     = 3.5 * vg.Inch
	barWidth      = 12 * vg.Length(1) // 12 points, the unit of vg.Length
	plotsPerRow   = 2
	yAxisHeadroom = 1.15
)

// quantileColors are the colors of p50, p95 and p99.
var quantileColors = []color.Color{
	color.RGBA{R: 0x9e, G: 0xca, B: 0xe1, A: 0xff},
	color.RGBA{R: 0x42, G: 0x92, B: 0xc6, A: 0xff},
	color.RGBA{R: 0x08, G: 0x45, B: 0x94, A: 0xff},
}

// Plot writes an SVG file to path. It has one row for each scenario, with a chart of
// the times to the first token and one of the hit rates. It writes nothing if there
// are no entries.
func (f *Results) Plot(path string) error {
	names := f.scenarioNames()
	rows := make([][]*plot.Plot, 0, len(names))
	for _, name := range names {
		row, err := f.scenarioPlots(name)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		return nil
	}
	canvas := vgsvg.New(plotWidth, rowHeight*vg.Length(len(rows)))
	tiles := draw.Tiles{Rows: len(rows), Cols: plotsPerRow, PadX: vg.Inch / 4, PadY: vg.Inch / 4}
	for i, canvases := range plot.Align(rows, tiles, draw.New(canvas)) {
		for j, tile := range canvases {
			rows[i][j].Draw(tile)
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// scenarioPlots returns the charts of one scenario: times to the first token and
// hit rates by policy.
func (f *Results) scenarioPlots(name string) ([]*plot.Plot, error) {
	var policies []string
	var p50, p95, p99, hitRates plotter.Values
	for _, summary := range f.Entries {
		if summary.Scenario != name {
			continue
		}
		policies = append(policies, summary.Policy)
		p50 = append(p50, summary.TTFT50)
		p95 = append(p95, summary.TTFT95)
		p99 = append(p99, summary.TTFT99)
		hitRates = append(hitRates, summary.PrefixHitRate)
	}
	times, err := barChart(name+": time to first token (p50, p95, p99)", "ms", policies, p50, p95, p99)
	if err != nil {
		return nil, err
	}
	rates, err := barChart(name+": prefix hit rate", "share", policies, hitRates)
	if err != nil {
		return nil, err
	}
	return []*plot.Plot{times, rates}, nil
}

// barChart returns a chart with one group of bars for each label. Each element of
// series holds one bar of every group.
func barChart(title, unit string, labels []string, series ...plotter.Values) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	for i, values := range series {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = quantileColors[i%len(quantileColors)]
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * (vg.Length(i) - vg.Length(len(series)-1)/2)
		p.Add(bars)
	}
	p.NominalX(labels...)
	p.Y.Max *= yAxisHeadroom
	return p, nil
}
