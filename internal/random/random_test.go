package random

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSameSeedSameNumbers checks that numbers depend on seed, purpose and time alone, and differ if
// one of these does. Numbers that depended on the order of goroutines made runs differ.
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
		t.Errorf("%v: purpose or time makes no difference", first)
	}
	if draw(New(1).Named("n-0"))[0] == draw(New(1).Named("n-1"))[0] {
		t.Error("two named sources draw the same")
	}
}

// TestUpTo checks that durations lie in their range and are spread over it.
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
		t.Errorf("the mean is %v", mean)
	}
}
