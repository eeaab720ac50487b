package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"pinebay/internal/config"
	"pinebay/internal/coordination/fleet"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// manyMachines is a fleet larger than any deployment has run with.
const manyMachines = 4000

func machineName(i int) string { return fmt.Sprintf("m%05d", i) }

// recorded is what an earlier leader left of one job a machine, each with a task there.
func recorded(t *testing.T, machines int) (r Records) {
	for i := range machines {
		id := fmt.Sprintf("j-%06d", i)
		live, err := protocol.Encode(storage.LiveRecord{Job: spec(id, protocol.Array, "normal", 1, 4)})
		if err != nil {
			t.Fatal(err)
		}
		page, err := protocol.Encode(storage.PageRecord{Write: "4.1", Attempts: 1, Zones: []string{"a"}, Team: "red", CPUs: 1, GPUs: 4, MemoryGB: 1,
			Places: []storage.Place{{Machine: machineName(i), Session: 1, Attempt: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		r.Live = append(r.Live, protocol.Pair{Key: storage.LiveKey(id), Value: live, Version: uint64(i + 10)})
		r.Pages = append(r.Pages, protocol.Pair{Key: storage.PageKey(id, 0), Value: page, Version: uint64(i + 10)})
	}
	return r
}

// TestTakeOverOfManyMachines: a new leader knows of thousands of placements at once, reads the list
// of their machines, and asks those that don't report by themselves, each once and no more in a
// second than its share of a core allows. What runs goes on: nothing is started again, nothing is
// returned, and every task is known as running once its machine was heard.
func TestTakeOverOfManyMachines(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	cfg := *b.c.cfg
	cfg.Quota.CoreShare, cfg.Cloud.RPS = 0.336, 4
	records := recorded(t, manyMachines)
	records.Types = []protocol.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 1, Price: 4, BootS: 30, Zones: []string{"a"}}}
	b.c = New(0, &cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), Term{5, 1}, records, 0, nil)
	var list []protocol.ListedMachine
	for i := range manyMachines {
		list = append(list, protocol.ListedMachine{Name: machineName(i), Addr: "x", Type: "g8", Zone: "a", State: protocol.MachineRunning})
		b.zone[machineName(i)], b.tasks[machineName(i)] = "a", map[protocol.TaskID]protocol.TaskReport{}
	}
	asked, second := map[string]int{}, 0
	b.onEffect = func(e Effect) {
		switch e := e.(type) {
		case Inspect:
			asked[e.Machine]++
			second++
		case Write:
			if e.For == Starts {
				t.Errorf("placements are written: %s", e.Verify)
			}
		case Fleet:
			if _, ok := e.Effect.(fleet.Release); ok {
				t.Errorf("machines are returned: %v", e.Effect)
			}
		}
	}
	running := func(i int) protocol.TaskReport {
		return protocol.TaskReport{Name: fmt.Sprintf("j-%06d/0", i), Attempt: 1, State: protocol.TaskRunning}
	}
	perSecond := int(inspectsPerCore * cfg.Quota.CoreShare)
	b.do(Listed{Asked: b.now, Machines: list})
	for i := 0; i < manyMachines; i += 2 {
		b.machine(machineName(i), "a", false, running(i)) // these report by themselves
	}
	early := len(asked)
	for range manyMachines/perSecond + 1 {
		if second > perSecond {
			t.Fatalf("%d inspections in a second, want %d at most", second, perSecond)
		}
		second = 0
		b.cycle()
	}
	for i := range manyMachines {
		switch n := asked[machineName(i)]; {
		case n > 1, i%2 == 1 && n != 1:
			t.Fatalf("%s was asked %d times", machineName(i), n)
		case i%2 == 0 && n == 1:
			early--
		}
	}
	if early < 0 {
		t.Errorf("%d machines were asked after they had reported", -early)
	}
	for i := 1; i < manyMachines; i += 2 {
		b.tasks[machineName(i)][protocol.TaskID{Job: fmt.Sprintf("j-%06d", i)}] = running(i)
		b.do(Inspected{Report: b.report(machineName(i))})
	}
	for i := range manyMachines {
		if st, ok := b.c.Status(fmt.Sprintf("j-%06d", i)); !ok || st.Running != 1 {
			t.Fatalf("job %d: %+v %v", i, st, ok)
		}
	}
	if len(b.runs) > 0 {
		t.Errorf("%d tasks were started again", len(b.runs))
	}
}

// TestInTurnFrom: whatever was written last, the next turn begins after it and leaves nobody out.
func TestInTurnFrom(t *testing.T) {
	keys := []string{"a", "b", "c"}
	for last, want := range map[string]string{"": "abc", "a": "bca", "bb": "cab", "c": "abc", "z": "abc"} {
		got := ""
		for _, k := range inTurnFrom(last, keys) {
			got += k
		}
		if got != want {
			t.Errorf("after %q: %s, want %s", last, got, want)
		}
	}
}
