package loadtest

import (
	"testing"

	"pgregory.net/rapid"
)

// TestSlopes: the line is found that points lie on, however many there are and wherever they are, and
// its standard error from points beside it.
func TestSlopes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope, at := rapid.Float64Range(-5, 5).Draw(t, "slope"), rapid.Float64Range(1, 100).Draw(t, "at none")
		off := rapid.Float64Range(0, 10).Draw(t, "off")
		var sizes []SizeResult
		for i := range rapid.IntRange(minSizes, 9).Draw(t, "sizes") {
			size := (i + 1) * 100
			y := at + slope*float64(size) + off*float64(1-2*(i%2))
			sizes = append(sizes, SizeResult{Size: size, Figures: map[string]Figure{"f": {Mean: y}}})
		}
		got := fitSlopes(sizes)
		if len(got) != 1 {
			t.Fatalf("%d slopes", len(got))
		}
		const near = 1e-6
		if off < near && (got[0].Slope-slope > near || slope-got[0].Slope > near || got[0].StandardError > near) {
			t.Errorf("slope %g, want %g; error %g", got[0].Slope, slope, got[0].StandardError)
		}
		// Five standard errors, and what rounding leaves.
		if d := got[0].Slope - slope; off > near &&
			(d > 5*got[0].StandardError+near || -d > 5*got[0].StandardError+near) {
			t.Errorf("slope %g is %g standard errors from %g", got[0].Slope, d/got[0].StandardError, slope)
		}
	})
	if few := fitSlopes(make([]SizeResult, minSizes-1)); few != nil {
		t.Errorf("slopes from too few sizes: %v", few)
	}
}
