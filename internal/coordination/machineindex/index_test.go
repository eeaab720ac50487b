package machineindex

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// machine is an indexed machine whose score depends on its pool, its free capacity and a penalty.
type machine struct {
	entry      *Entry[*machine]
	pool       Pool
	free       machineregistry.Resources
	penalty    float64 // added to the score
	infeasible bool
}

var capacity = machineregistry.Resources{CPUs: 64, GPUs: 8, MemoryGB: 256}

// drawResources draws amounts of each resource up to the capacity of a machine.
func drawResources(t *rapid.T, label string) machineregistry.Resources {
	return machineregistry.Resources{
		CPUs: rapid.Float64Range(0, 64).
			Draw(t, label+" cpus"),
		GPUs:     float64(rapid.IntRange(0, 8).Draw(t, label+" gpus")),
		MemoryGB: float64(rapid.IntRange(0, 8).Draw(t, label+" memory")) * 32,
	}
}

// score returns the score of a machine for a need. With WorstFit, more free capacity gives a lower score.
func (m *machine) score(order Order, need machineregistry.Resources) float64 {
	if order == WorstFit {
		return testPoolScore(m.pool) - m.free.DominantShare(capacity) + m.penalty
	}
	return testPoolScore(m.pool) + m.free.Minus(need).DominantShare(capacity) + m.penalty
}

// testPoolScore is the PoolScore of the tests: no machine of the zone "closed" is feasible.
func testPoolScore(p Pool) float64 {
	if p.Zone == "closed" {
		return math.Inf(1)
	}
	if p.Spot {
		return 0.5
	}
	return 0
}

// newQuery returns a query whose bounds match testPoolScore and machine.score.
func newQuery(order Order, need machineregistry.Resources, maxExamined int) Query {
	q := Query{Need: need, Order: order, MaxExamined: maxExamined, MaxTies: maxExamined, PoolScore: testPoolScore}
	q.ScoreBound = func(capacity, free machineregistry.Resources) float64 {
		return free.Minus(need).DominantShare(capacity)
	}
	if order == WorstFit {
		q.ScoreBound = func(capacity, free machineregistry.Resources) float64 { return -free.DominantShare(capacity) }
	}
	return q
}

// TestSearchFindsTheBest checks that after random additions, changes and removals of machines, a search with a
// sufficient limit finds the same machine as a scan of all machines, in both orders.
func TestSearchFindsTheBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New[*machine]()
		var all []*machine
		for i := range rapid.IntRange(1, 60).Draw(t, "machines") {
			m := &machine{
				penalty:    float64(rapid.IntRange(0, 2).Draw(t, "worse")) / 4,
				infeasible: rapid.IntRange(0, 5).Draw(t, "shut") == 0,
			}
			m.entry = NewEntry(fmt.Sprintf("m%03d", i), m)
			all = append(all, m)
		}
		for range rapid.IntRange(1, 150).Draw(t, "changes") {
			m := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
			if rapid.IntRange(0, 6).Draw(t, "gone") == 0 {
				x.Remove(m.entry)
				continue
			}
			m.pool = Pool{
				Type: "g8",
				Zone: rapid.SampledFrom([]string{"a", "b", "closed"}).Draw(t, "zone"),
				Spot: rapid.Bool().Draw(t, "spot"),
			}
			m.free = drawResources(t, "free")
			x.Put(m.entry, m.pool, capacity, m.free)
		}
		size := 0
		need := drawResources(t, "need")
		order := rapid.SampledFrom([]Order{BestFit, WorstFit}).Draw(t, "order")
		var want *machine
		fits := false
		for _, m := range all {
			if !x.Has(m.entry) {
				continue
			}
			size++
			fits = fits || need.Fits(m.free) && !math.IsInf(testPoolScore(m.pool), 1)
			if m.infeasible || !need.Fits(m.free) || math.IsInf(testPoolScore(m.pool), 1) {
				continue
			}
			if want == nil || m.score(order, need) < want.score(order, need) {
				want = m
			}
		}
		var best Best[*machine]
		complete := x.Search(
			newQuery(order, need, len(all)),
			&best,
			func(m *machine) (float64, bool) { return m.score(order, need), !m.infeasible },
		)
		if mayFit := x.MayFit(newQuery(order, need, 0)); mayFit != fits {
			t.Fatalf("MayFit returned %v, want %v", mayFit, fits)
		}
		if x.Len() != size || !complete {
			t.Fatalf("%d machines, want %d; search complete %v, want true", x.Len(), size, complete)
		}
		switch {
		case want == nil && best.Found:
			t.Fatalf("found %+v, want no machine", best.Entry.Value)
		case want != nil && (!best.Found || best.Entry.Value != want):
			t.Fatalf("found %+v, want %+v", best, want)
		}
	})
}

// TestExaminedMachinesDoNotGrow checks that the number of machines that a search examines does not grow with the size
// of the index, whether the machines are identical, all different, full or nearly full.
func TestExaminedMachinesDoNotGrow(t *testing.T) {
	const maxExamined = 40
	need := machineregistry.Resources{CPUs: 2, MemoryGB: 4}
	for name, free := range map[string]func(i int) machineregistry.Resources{
		"empty": func(int) machineregistry.Resources { return capacity },
		"full":  func(int) machineregistry.Resources { return machineregistry.Resources{} },
		"nearly full": func(i int) machineregistry.Resources {
			return machineregistry.Resources{CPUs: float64(i % 3), GPUs: 8, MemoryGB: 8}
		},
		"different": func(i int) machineregistry.Resources {
			return machineregistry.Resources{
				CPUs:     float64(i*7919%6400) / 100,
				GPUs:     float64(i % 9),
				MemoryGB: float64(i * 31 % 256),
			}
		},
	} {
		for _, n := range []int{100, 1000, 18_000} {
			x := New[*machine]()
			for i := range n {
				m := &machine{pool: Pool{Type: "g8", Zone: []string{"a", "b", "c"}[i%3]}, free: free(i)}
				m.entry = NewEntry(fmt.Sprintf("m%05d", i), m)
				x.Put(m.entry, m.pool, capacity, m.free)
			}
			examined := 0
			var best Best[*machine]
			q := newQuery(BestFit, need, 1000)
			q.MaxTies = 8
			x.Search(q, &best, func(m *machine) (float64, bool) {
				examined++
				return m.score(BestFit, need), true
			})
			if examined > maxExamined || best.Found != (name != "full") {
				t.Errorf(
					"%s, %d machines: %d examined, want 40 at most; found %v, want one unless all are full",
					name,
					n,
					examined,
					best.Found,
				)
			}
		}
	}
}

// TestSearchLimit checks that a search that reaches its limit reports so and returns the best of the machines that it
// examined.
func TestSearchLimit(t *testing.T) {
	x := New[*machine]()
	for i := range 20 {
		m := &machine{pool: Pool{Type: "g8", Zone: "a"}, free: capacity, penalty: float64(20 - i)}
		m.entry = NewEntry(fmt.Sprintf("m%02d", i), m)
		x.Put(m.entry, m.pool, capacity, m.free)
	}
	var best Best[*machine]
	if x.Search(
		newQuery(BestFit, machineregistry.Resources{}, 5),
		&best,
		func(m *machine) (float64, bool) { return m.score(BestFit, machineregistry.Resources{}), true },
	) {
		t.Error("search limited to 5 of 20 different machines is reported as complete")
	}
	if !best.Found || best.Entry.name != "m04" {
		t.Errorf("best of the first 5 machines is %+v, want m04", best)
	}
	n := 0
	x.Each(func(*machine) { n++ })
	if n != 20 {
		t.Errorf("%d machines, want 20", n)
	}
}

func BenchmarkSearch(b *testing.B) {
	for _, n := range []int{250, 1000, 4000, 18_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := New[*machine]()
			for i := range n {
				m := &machine{
					pool: Pool{Type: "g8", Zone: []string{"a", "b", "c"}[i%3]},
					free: machineregistry.Resources{CPUs: float64(2 * (i % 32)), GPUs: float64(i % 9), MemoryGB: 128},
				}
				m.entry = NewEntry(fmt.Sprintf("m%05d", i), m)
				x.Put(m.entry, m.pool, capacity, m.free)
			}
			need := machineregistry.Resources{CPUs: 2, MemoryGB: 4}
			for b.Loop() {
				var best Best[*machine]
				x.Search(
					newQuery(BestFit, need, 1000),
					&best,
					func(m *machine) (float64, bool) { return m.score(BestFit, need), true },
				)
			}
		})
	}
}
