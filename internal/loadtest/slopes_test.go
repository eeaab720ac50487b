package loadtest

import (
	"testing"

	"pgregory.net/rapid"
)

// TestFitSlopes checks that fitSlopes finds the line through points that lie exactly on it and, for points that
// alternate above and below a line, a slope within a few standard errors of that line's slope. It also checks that no
// line is fitted to too few sizes.
func TestFitSlopes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope, intercept := rapid.Float64Range(-5, 5).Draw(t, "slope"), rapid.Float64Range(1, 100).Draw(t, "at none")
		noise := rapid.Float64Range(0, 10).Draw(t, "off")
		var sizes []SizeResult
		for i := range rapid.IntRange(minSizes, 9).Draw(t, "sizes") {
			size := (i + 1) * 100
			y := intercept + slope*float64(size) + noise*float64(1-2*(i%2))
			sizes = append(sizes, SizeResult{Size: size, Metrics: map[string]Metric{"f": {Mean: y}}})
		}
		got := fitSlopes(sizes)
		if len(got) != 1 {
			t.Fatalf("%d slopes, want 1", len(got))
		}
		const tolerance = 1e-6
		if noise < tolerance &&
			(got[0].Slope-slope > tolerance || slope-got[0].Slope > tolerance || got[0].StandardError > tolerance) {
			t.Errorf("slope %g, want %g; standard error %g, want 0", got[0].Slope, slope, got[0].StandardError)
		}
		// Allow for five standard errors plus rounding errors.
		if d := got[0].Slope - slope; noise > tolerance &&
			(d > 5*got[0].StandardError+tolerance || -d > 5*got[0].StandardError+tolerance) {
			t.Errorf(
				"slope %g is %g standard errors from %g, want at most 5",
				got[0].Slope,
				d/got[0].StandardError,
				slope,
			)
		}
	})
	if few := fitSlopes(make([]SizeResult, minSizes-1)); few != nil {
		t.Errorf("slopes from too few sizes: %v, want none", few)
	}
}
