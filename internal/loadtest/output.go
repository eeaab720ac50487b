package loadtest

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteJSON writes the whole result.
func (r *Result) WriteJSON(path string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// ReadResult reads what WriteJSON wrote.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("report %s: %w", path, err)
	}
	return &r, nil
}

// WriteTables writes the result as tables in Markdown.
func (r *Result) WriteTables(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	r.writeFigures(w)
	r.writeTimes(w)
	r.writeFaults(w)
	r.writeSlopes(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}

func (r *Result) writeHeader(w io.Writer, first string, last ...string) {
	fmt.Fprintf(w, "\n| %s\t", first)
	cells := 1
	for _, s := range r.Sizes {
		fmt.Fprintf(w, "| %s %d\t", r.Vary, s.Size)
		cells++
	}
	for _, l := range last {
		fmt.Fprintf(w, "| %s\t", l)
		cells++
	}
	fmt.Fprint(w, "|\n")
	writeRule(w, cells)
}

// writeRule writes the line below a table's head.
func writeRule(w io.Writer, cells int) {
	for range cells {
		fmt.Fprint(w, "| ---\t")
	}
	fmt.Fprint(w, "|\n")
}

func (r *Result) writeFigures(w io.Writer) {
	names := map[string]bool{}
	for _, s := range r.Sizes {
		for name := range s.Figures {
			names[name] = true
		}
	}
	r.writeHeader(w, "figure (mean, least to most of the slices)")
	for _, name := range slices.Sorted(maps.Keys(names)) {
		fmt.Fprintf(w, "| %s\t", name)
		for _, s := range r.Sizes {
			f := s.Figures[name]
			fmt.Fprintf(w, "| %.4g (%.3g to %.3g)\t", f.Mean, f.Min, f.Max)
		}
		fmt.Fprint(w, "|\n")
	}
}

func (r *Result) writeTimes(w io.Writer) {
	kinds, steps := map[string]bool{}, map[string]bool{}
	for _, s := range r.Sizes {
		for kind := range s.Times {
			kinds[kind] = true
		}
		for kind := range s.Steps {
			steps[kind] = true
		}
	}
	r.writeHeader(w, "time in ms (half, 99 of 100, longest)")
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(w, "| %s\t", kind)
		for _, s := range r.Sizes {
			t := s.Times[kind]
			fmt.Fprintf(w, "| %.4g, %.4g, %.4g (%d)\t", t.P50, t.P99, t.Max, t.Count)
		}
		fmt.Fprint(w, "|\n")
	}
	for _, kind := range slices.Sorted(maps.Keys(steps)) {
		fmt.Fprintf(w, "| step %s (mean)\t", kind)
		for _, s := range r.Sizes {
			t := s.Steps[kind]
			fmt.Fprintf(w, "| %.4g, %.4g, %.4g (%d)\t", t.MeanMS, t.P99MS, t.MaxMS, t.Count)
		}
		fmt.Fprint(w, "|\n")
	}
}

func (r *Result) writeFaults(w io.Writer) {
	any := false
	for _, s := range r.Sizes {
		for _, t := range s.Faults {
			if !any {
				any = true
				fmt.Fprint(
					w,
					"\n| size\t| trouble\t| first answer, s\t| most answered, s\t| records read, s\t| report p99, longest, ms\t| question p99, longest, ms\t"+
						"| urgent start p99, longest, ms\t| heartbeat p99, longest, ms\t| cycle longest, ms\t|\n",
				)
				const columns = 10
				writeRule(w, columns)
			}
			report, question, urgent := t.Times[HeartbeatReply.String()], t.Times[QueryReply.String()], t.Times[UrgentStart.String()]
			beat, cycle := t.Steps["heartbeat"], t.Steps["cycle"]
			fmt.Fprintf(
				w,
				"| %d\t| %s\t| %.3g\t| %.3g\t| %.3g\t| %.4g, %.4g\t| %.4g, %.4g\t| %.4g, %.4g\t| %.4g, %.4g\t| %.4g\t|\n",
				s.Size,
				t.Fault,
				t.FirstReplyS,
				t.MostRepliedS,
				t.RecoveryS,
				report.P99,
				report.Max,
				question.P99,
				question.Max,
				urgent.P99,
				urgent.Max,
				beat.P99MS,
				beat.MaxMS,
				cycle.MaxMS,
			)
		}
	}
}

func (r *Result) writeSlopes(w io.Writer) {
	if len(r.Slopes) == 0 {
		return
	}
	fmt.Fprintf(
		w,
		"\n| figure\t| at none\t| for each of %s\t| standard error\t| R2\t| farthest off the line\t|\n",
		r.Vary,
	)
	const columns = 6
	writeRule(w, columns)
	for _, s := range r.Slopes {
		const percent = 100
		fmt.Fprintf(
			w,
			"| %s\t| %.4g\t| %.4g\t| %.2g\t| %.3f\t| %.0f%%\t|\n",
			s.Figure,
			s.Intercept,
			s.Slope,
			s.StandardError,
			s.R2,
			percent*s.WorstResidual,
		)
	}
}

// WritePlots draws a figure at all sizes, with its line.
func (r *Result) WritePlots(path string, names []string) error {
	const columns, width, height = 2, 12 * vg.Centimeter, 8 * vg.Centimeter
	rows := (len(names) + columns - 1) / columns
	return drawTiles(path, rows, columns, width, height, func(i int) (*plot.Plot, error) {
		if i >= len(names) {
			return nil, nil
		}
		return r.plotFigure(names[i])
	})
}

func (r *Result) plotFigure(name string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Min = name, string(r.Vary), 0
	p.X.Min = 0
	var points plotter.XYs
	for _, s := range r.Sizes {
		if f, ok := s.Figures[name]; ok {
			points = append(points, plotter.XY{X: float64(s.Size), Y: f.Mean})
		}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return nil, fmt.Errorf("picture of %s: %w", name, err)
	}
	dots.Color = color.RGBA{B: 160, A: 255}
	p.Add(plotter.NewGrid(), dots)
	for _, s := range r.Slopes {
		if s.Figure == name {
			line := plotter.NewFunction(func(x float64) float64 { return s.Intercept + s.Slope*x })
			line.Color = color.RGBA{R: 200, A: 255}
			p.Add(line)
		}
	}
	return p, nil
}
