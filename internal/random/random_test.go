package random

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSameSeedSameNumbers checks that numbers depend on the seed, the purpose and the time, and on nothing else, and
// that they differ if one of these differs. When numbers depended on the order of goroutines, simulations with the same
// seed differed between runs.
func TestSameSeedSameNumbers(t *testing.T) {
	draw := func(s *Source) (numbers []uint64) {
		synctest.Test(t, func(*testing.T) {
			for _, purpose := range []string{"a", "b", "a"} {
				numbers = append(numbers, s.For(purpose).Uint64())
				time.Sleep(time.Nanosecond)
			}
		})
		return numbers
	}
	first, again, other := draw(New(1)), draw(New(1)), draw(New(2))
	for i := range first {
		if first[i] != again[i] {
			t.Errorf("draw %d: %d in one run, %d in another", i, first[i], again[i])
		}
		if first[i] == other[i] {
			t.Errorf("draw %d is the same with another seed", i)
		}
	}
	if first[0] == first[1] || first[0] == first[2] || first[1] == first[2] {
		t.Errorf("numbers %v do not depend on purpose and time", first)
	}
	if draw(New(1).Derive("n-0"))[0] == draw(New(1).Derive("n-1"))[0] {
		t.Error("sources with different names draw the same number")
	}
}

// TestUpTo checks that the durations are within the range and that their mean is near its middle.
func TestUpTo(t *testing.T) {
	s, sum := New(7), time.Duration(0)
	const draws = 1000
	synctest.Test(t, func(t *testing.T) {
		for range draws {
			time.Sleep(time.Nanosecond)
			d := s.UpTo("test", time.Second)
			if d < 0 || d >= time.Second {
				t.Fatalf("%v is not in [0, 1s)", d)
			}
			sum += d
		}
	})
	if mean := sum / draws; mean < 450*time.Millisecond || mean > 550*time.Millisecond {
		t.Errorf("mean %v, want between 450ms and 550ms", mean)
	}
}
