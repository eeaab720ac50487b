package random

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSameSeedSameNumbers: numbers follow from seed, purpose and moment alone, and differ when one of
// them does. Scenarios that were drawn in the order in which goroutines ran differed from run to run.
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
			t.Errorf("draw %d: %d, and in another run %d", i, first[i], again[i])
		}
		if first[i] == other[i] {
			t.Errorf("draw %d is the same with another seed", i)
		}
	}
	if first[0] == first[1] || first[0] == first[2] || first[1] == first[2] {
		t.Errorf("%v: purposes or moments don't matter", first)
	}
	if draw(New(1).Named("n-0"))[0] == draw(New(1).Named("n-1"))[0] {
		t.Error("two named sources draw the same")
	}
}

// TestUpTo: durations lie in their range, and spread over it.
func TestUpTo(t *testing.T) {
	s, sum := New(7), time.Duration(0)
	const draws = 1000
	synctest.Test(t, func(t *testing.T) {
		for range draws {
			time.Sleep(time.Nanosecond)
			d := s.UpTo("test", time.Second)
			if d < 0 || d >= time.Second {
				t.Fatal(d)
			}
			sum += d
		}
	})
	if mean := sum / draws; mean < 450*time.Millisecond || mean > 550*time.Millisecond {
		t.Errorf("the mean is %v", mean)
	}
}
