package demand

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const testBoot = 30 * time.Second

func testTypes() map[string]*protocol.MachineType {
	return map[string]*protocol.MachineType{
		"g8": {
			Name:             "g8",
			CPUs:             64,
			GPUs:             8,
			MemoryGB:         256,
			CacheGB:          100,
			FetchGBPerSecond: 1,
			BootSeconds:      testBoot.Seconds(),
			Zones:            []string{"b", "a"},
		},
	}
}

func testJob(tasks int) *protocol.Job {
	return &protocol.Job{ID: "j-1", Class: "serve", TaskCount: tasks, CPUs: 1, GPUs: 1, MemoryGB: 1, ImageGB: 1}
}

// steadyForecast returns a forecast in which a job of one class has arrived every ten seconds for ten minutes.
func steadyForecast(job *protocol.Job) (f *Forecast, now time.Duration) {
	f = NewForecast(0)
	for range 60 {
		now += 10 * time.Second
		f.RecordArrival(job, now)
	}
	return f, now
}

func TestExpectedArrivals(t *testing.T) {
	f, now := steadyForecast(testJob(2))
	perBoot := testBoot.Seconds() / 10
	if got := f.ExpectedArrivals(now, "serve", testBoot); got < perBoot || got > 1.5*perBoot {
		t.Errorf("%v expected arrivals, want between %v and 1.5 times that", got, perBoot)
	}
	if got := f.ExpectedArrivals(now, "other", testBoot); got != 0 {
		t.Errorf("%v expected arrivals of a class without arrivals, want 0", got)
	}
	if got := f.ExpectedArrivals(now+time.Hour, "serve", testBoot); got != 0 {
		t.Errorf("%v expected arrivals of a class whose last job arrived an hour ago, want 0", got)
	}
}

func TestBurstCountsLittle(t *testing.T) {
	f := NewForecast(0)
	for range 100 {
		f.RecordArrival(testJob(1), time.Second)
	}
	if got := f.ExpectedArrivals(time.Second, "serve", testBoot); got > 2*maxBurstArrivals {
		t.Errorf("%v expected arrivals after a burst of 100, want at most twice maxBurstArrivals", got)
	}
}

func TestInheritedRate(t *testing.T) {
	old, now := steadyForecast(testJob(2))
	want := old.ExpectedArrivals(now, "serve", testBoot)
	next := NewForecast(now)
	for _, rate := range old.Rates() {
		next.Inherit(rate)
	}
	next.RecordArrival(testJob(2), now) // the job has not ended, and the previous leader has counted it
	next.DropRecoveredArrivals()
	if got := next.ExpectedArrivals(now, "serve", testBoot); math.Abs(got-want) > want/10 {
		t.Errorf("%v expected arrivals after the handover, want about %v", got, want)
	}
}

func TestHeadroom(t *testing.T) {
	objectives := func(seconds float64) Objectives {
		return Objectives{
			StartLatencySeconds: map[string]float64{"serve": seconds},
			All: []config.Objective{
				{Kind: "wait", Class: "serve", WithinSeconds: seconds, Fraction: 0.9},
			},
		}
	}
	for _, test := range []struct {
		name       string
		objectives Objectives
		spread     bool
		zones      int // number of zones with headroom
		mustBeFree bool
	}{
		{name: "no objective"},
		{name: "objective longer than a boot", objectives: objectives(60)},
		{name: "objective shorter than a boot", objectives: objectives(20), zones: 1},
		{name: "objective shorter than a fetch", objectives: objectives(0.5), zones: 1, mustBeFree: true},
		{name: "spread over zones", objectives: objectives(20), spread: true, zones: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := testJob(2)
			job.Spread = test.spread
			f, now := steadyForecast(job)
			f.PlanHeadroom(now, testTypes(), test.objectives)
			demands := f.Headroom()
			if len(demands) != test.zones {
				t.Fatalf("%d demands, want one for each of %d zones", len(demands), test.zones)
			}
			for _, d := range demands {
				if d.Job != job || d.Count == 0 || !d.Headroom || d.MustBeFree != test.mustBeFree ||
					(d.Zone != "") != test.spread {
					t.Errorf("demand %+v does not match the job and the row", d)
				}
			}
		})
	}
}

func TestSpreadOverZones(t *testing.T) {
	for _, test := range []struct {
		name       string
		placed     map[string]int
		maxPerZone int
		tasks      int
		want       string
	}{
		{"evenly", nil, 10, 4, "a:2 b:2"},
		{"the first gets the odd one", nil, 10, 3, "a:2 b:1"},
		{"placed tasks count", map[string]int{"a": 2}, 10, 2, "b:2"},
		{"up to the maximum", map[string]int{"a": 1}, 2, 9, "a:1 b:2"},
		{"none", nil, 10, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			zones := AllowedZones(testTypes(), testJob(1))
			got := ""
			for i, d := range SpreadOverZones(testJob(1), zones, test.placed, test.maxPerZone, test.tasks) {
				if i > 0 {
					got += " "
				}
				got += fmt.Sprintf("%s:%d", d.Zone, d.Count)
			}
			if got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
		})
	}
}
