package loadtest

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// spreadErrors is how many standard errors of a slope the given spread is to each side.
const spreadErrors = 2

// WriteCapacity writes what each figure comes to at a size by its slope, with its spread, and
// whether so large a size was measured.
func (r *Result) WriteCapacity(out io.Writer, at int) error {
	if len(r.Slopes) == 0 {
		return fmt.Errorf("%w: no slopes: at least %d sizes are needed", ErrInvalidConfig, minSizes)
	}
	largest := 0
	for _, s := range r.Sizes {
		largest = max(largest, s.Size)
	}
	basis := "within the sizes measured"
	if at > largest {
		basis = fmt.Sprintf("extrapolated, %.1f times the largest size", float64(at)/float64(largest))
	}
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintf(
		w,
		"\n| figure\t| measured with %d\t| at none\t| for each of %s\t| with %d\t| spread\t| R2\t| basis\t|\n",
		largest,
		r.Vary,
		at,
	)
	const columns = 8
	writeRule(w, columns)
	for _, s := range r.Slopes {
		measured := r.Sizes[len(r.Sizes)-1].Figures[s.Figure].Mean
		fmt.Fprintf(
			w,
			"| %s\t| %.4g\t| %.4g\t| %.4g\t| %.4g\t| %.2g\t| %.3f\t| %s\t|\n",
			s.Figure,
			measured,
			s.Intercept,
			s.Slope,
			s.Intercept+s.Slope*float64(at),
			spreadErrors*s.StandardError*float64(at),
			s.R2,
			basis,
		)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}
