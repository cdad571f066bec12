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
	plotWidth  = 10 * vg.Inch
	rowHeight  = 3.5 * vg.Inch
	barWidth   = 12 * vg.Length(1)
	plotsInRow = 2
	headroom   = 1.15
)

// quantileColors are those of p50, p95 and p99.
var quantileColors = []color.Color{
	color.RGBA{R: 0x9e, G: 0xca, B: 0xe1, A: 0xff},
	color.RGBA{R: 0x42, G: 0x92, B: 0xc6, A: 0xff},
	color.RGBA{R: 0x08, G: 0x45, B: 0x94, A: 0xff},
}

// Plot writes an SVG with a row for each scenario: times to the first token and hit rates.
func (f *File) Plot(path string) error {
	names := f.scenarios()
	rows := make([][]*plot.Plot, 0, len(names))
	for _, name := range names {
		row, err := f.row(name)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		return nil
	}
	canvas := vgsvg.New(plotWidth, rowHeight*vg.Length(len(rows)))
	tiles := draw.Tiles{Rows: len(rows), Cols: plotsInRow, PadX: vg.Inch / 4, PadY: vg.Inch / 4}
	for i, line := range plot.Align(rows, tiles, draw.New(canvas)) {
		for j, part := range line {
			rows[i][j].Draw(part)
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

func (f *File) row(name string) ([]*plot.Plot, error) {
	var policies []string
	var p50, p95, p99, hits plotter.Values
	for _, s := range f.Entries {
		if s.Scenario != name {
			continue
		}
		policies = append(policies, s.Policy)
		p50 = append(p50, s.TTFT50)
		p95 = append(p95, s.TTFT95)
		p99 = append(p99, s.TTFT99)
		hits = append(hits, s.PrefixHitRate)
	}
	times, err := bars(name+": time to first token (p50, p95, p99)", "ms", policies, p50, p95, p99)
	if err != nil {
		return nil, err
	}
	rates, err := bars(name+": prefix hit rate", "share", policies, hits)
	if err != nil {
		return nil, err
	}
	return []*plot.Plot{times, rates}, nil
}

func bars(title, unit string, labels []string, groups ...plotter.Values) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	for i, values := range groups {
		chart, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		chart.Color = quantileColors[i%len(quantileColors)]
		chart.LineStyle.Width = 0
		chart.Offset = barWidth * (vg.Length(i) - vg.Length(len(groups)-1)/2)
		p.Add(chart)
	}
	p.NominalX(labels...)
	p.Y.Max *= headroom
	return p, nil
}
