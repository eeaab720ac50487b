package loadtest

import (
	"fmt"
	"image/color"
	"io"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Layout of the plots in the image.
const (
	plotColumns = 2
	plotWidth   = 12 * vg.Centimeter
	plotHeight  = 8 * vg.Centimeter
)

var (
	pointColor = color.RGBA{B: 160, A: 255}
	lineColor  = color.RGBA{R: 200, A: 255}
)

// PlottedMetrics returns the names of the metrics that the load test plots.
func PlottedMetrics() []string {
	return []string{
		metricLeaderCPU,
		metricFollowerCPU,
		metricLeaderMemory,
		metricLeaderSockets,
		metricStateWrites,
		metricWorkerBytes,
	}
}

// WritePlots writes a PNG file with a plot of each of the named metrics against the size, with the fitted line if there
// is one.
func (r *Result) WritePlots(path string, metrics []string) error {
	rows := (len(metrics) + plotColumns - 1) / plotColumns
	canvas := vgimg.New(plotColumns*plotWidth, vg.Length(rows)*plotHeight)
	area := draw.New(canvas)
	tiles := draw.Tiles{Rows: rows, Cols: plotColumns, PadX: vg.Millimeter, PadY: vg.Millimeter}
	for i, name := range metrics {
		p, err := r.plotMetric(name)
		if err != nil {
			return err
		}
		p.Draw(tiles.At(area, i%plotColumns, i/plotColumns))
	}
	if err := writeFile(path, vgimg.PngCanvas{Canvas: canvas}); err != nil {
		return fmt.Errorf("write plots: %w", err)
	}
	return nil
}

func writeFile(path string, content io.WriterTo) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := content.WriteTo(f); err != nil {
		_ = f.Close() // the write error is the one to report
		return err
	}
	return f.Close()
}

func (r *Result) plotMetric(name string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = string(r.Vary)
	p.X.Min, p.Y.Min = 0, 0
	var points plotter.XYs
	for _, s := range r.Sizes {
		if f, ok := s.Metrics[name]; ok {
			points = append(points, plotter.XY{X: float64(s.Size), Y: f.Mean})
		}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, fmt.Errorf("plot %s: %w", name, err)
	}
	scatter.Color = pointColor
	p.Add(plotter.NewGrid(), scatter)
	for _, s := range r.Slopes {
		if s.Metric == name {
			line := plotter.NewFunction(func(x float64) float64 { return s.Intercept + s.Slope*x })
			line.Color = lineColor
			p.Add(line)
		}
	}
	return p, nil
}
