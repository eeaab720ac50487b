package loadtest

import (
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// minSizes is the minimum number of sizes for fitting a line.
const minSizes = 4

// Slope is a line that is fitted to a metric as a function of the size.
type Slope struct {
	Metric        string  `json:"figure"`
	Intercept     float64 `json:"intercept"`
	Slope         float64 `json:"slope"`
	StandardError float64 `json:"standard_error"` // of Slope
	// R2 is the coefficient of determination: the share of the metric's variance that the line explains.
	R2 float64 `json:"r2"`
	// MaxRelativeResidual is the largest absolute difference between the metric and the line at any size, relative to
	// the metric.
	MaxRelativeResidual float64 `json:"worst_residual"`
}

// point is the mean of a metric at a size.
type point struct{ size, mean float64 }

// fitSlopes fits a line to each metric that was measured at minSizes sizes or more.
func fitSlopes(sizes []SizeResult) (out []Slope) {
	points := map[string][]point{}
	for _, s := range sizes {
		for name, f := range s.Metrics {
			points[name] = append(points[name], point{size: float64(s.Size), mean: f.Mean})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(points)) {
		if ps := points[name]; len(ps) >= minSizes {
			out = append(out, fitLine(name, ps))
		}
	}
	return out
}

// fitLine fits a line to the points of a metric by least squares.
func fitLine(name string, points []point) Slope {
	var xs, ys []float64
	for _, p := range points {
		xs, ys = append(xs, p.size), append(ys, p.mean)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	s := Slope{
		Metric:    name,
		Intercept: intercept,
		Slope:     slope,
		R2:        stat.RSquared(xs, ys, nil, intercept, slope),
	}
	if math.IsNaN(s.R2) || math.IsInf(s.R2, 0) {
		s.R2 = 1 // the metric is the same at all sizes, so that its variance is zero
	}
	squares := 0.0
	for i := range xs {
		residual := ys[i] - (intercept + slope*xs[i])
		squares += residual * residual
		if ys[i] != 0 {
			s.MaxRelativeResidual = max(s.MaxRelativeResidual, math.Abs(residual/ys[i]))
		}
	}
	n := float64(len(xs))
	const fittedParameters = 2
	s.StandardError = math.Sqrt(squares/(n-fittedParameters)) / (stat.StdDev(xs, nil) * math.Sqrt(n-1))
	return s
}
