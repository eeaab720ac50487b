package loadtest

import (
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// minSizes is from how many sizes a slope is fitted.
const minSizes = 4

// Slope says how a figure grows with the size.
type Slope struct {
	Figure    string  `json:"figure"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// StandardError is the standard error of the slope, R2 how much of the figure's differences the line
	// explains, and Worst how far a size is from it at the most, as a part of the figure.
	StandardError float64 `json:"standard_error"`
	R2            float64 `json:"r2"`
	WorstResidual float64 `json:"worst_residual"`
}

// fitSlopes fits a line to each figure that was measured at enough sizes.
func fitSlopes(sizes []SizeResult) (out []Slope) {
	points := map[string][][2]float64{}
	for _, s := range sizes {
		for name, f := range s.Figures {
			points[name] = append(points[name], [2]float64{float64(s.Size), f.Mean})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(points)) {
		if ps := points[name]; len(ps) >= minSizes {
			out = append(out, fitLine(name, ps))
		}
	}
	return out
}

// fitLine fits a line by least squares.
func fitLine(name string, points [][2]float64) Slope {
	var xs, ys []float64
	for _, p := range points {
		xs, ys = append(xs, p[0]), append(ys, p[1])
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	s := Slope{Figure: name, Intercept: intercept, Slope: slope, R2: stat.RSquared(xs, ys, nil, intercept, slope)}
	if math.IsNaN(s.R2) || math.IsInf(s.R2, 0) {
		s.R2 = 1 // a figure that is the same at all sizes
	}
	residuals := 0.0
	for i := range xs {
		off := ys[i] - (intercept + slope*xs[i])
		residuals += off * off
		if ys[i] != 0 {
			s.WorstResidual = max(s.WorstResidual, math.Abs(off/ys[i]))
		}
	}
	// Two parameters are fitted.
	s.StandardError = math.Sqrt(residuals/float64(len(xs)-2)) / (stat.StdDev(xs, nil) * math.Sqrt(float64(len(xs)-1)))
	return s
}
