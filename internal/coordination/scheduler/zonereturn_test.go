package scheduler

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/zones"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// mostLoans is more than what a loss and a return of ten machines at most can need.
const mostLoans = 30

// TestZoneReturnDrawn: whatever runs when a zone is lost, and however much of it comes back,
// work returns in the order, nobody lends who must not or twice, and every loan ends.
func TestZoneReturnDrawn(t *testing.T) {
	made, fenced, lost := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		order := zones.DefaultOrder()
		if rapid.Bool().Draw(t, "stated") {
			var err error
			order, err = zones.ParseOrder("d > team blue", &config.Deployment{Teams: []config.Team{{Name: "blue"}}, Objectives: []config.Objective{{Class: "d"}}})
			if err != nil {
				t.Fatal(err)
			}
		}
		b := newZoneBench(order, config.Team{Name: "red"}, config.Team{Name: "blue", GuaranteedGPUs: float64(rapid.SampledFrom([]int{0, 8, 16}).Draw(t, "guarantee"))})
		perZone := rapid.SampledFrom([]int{2, 3, 4, 5}).Draw(t, "machines")
		for i := range 2 * perZone {
			name := fmt.Sprintf("m%02d", i)
			b.tasks[name], b.zone[name] = map[protocol.TaskID]protocol.TaskStatus{}, []string{"a", "b"}[i%2]
		}
		b.seconds(2)
		b.drawJobs(t, 2*perZone*rapid.SampledFrom([]int{5, 7, 8, 9, 12}).Draw(t, "load"))
		b.seconds(15)
		b.lose()
		b.seconds(rapid.SampledFrom([]int{5, 22, 36, 45, 60}).Draw(t, "away"))
		half := rapid.Bool().Draw(t, "half")
		b.giveBack(func(i int) bool { return !half || i%2 == 0 })
		b.seconds(60)
		if rapid.Bool().Draw(t, "again") {
			b.lose()
			b.seconds(40)
			b.giveBack(func(int) bool { return true })
		}
		b.seconds(20*12 + 100) // until what is never repaid is written off
		made += b.loans.LoanCount
		if b.loans.LoanCount > mostLoans {
			t.Fatalf("%d loans: room goes to and fro\n%s", b.loans.LoanCount, strings.Join(b.describe(), "\n"))
		}
		fenced += countOf[zones.MachineFenced](b.decisions)
		lost += countOf[zones.OrderInForce](b.decisions) - 1
		b.loans.CheckAllClosed()
		if broken := append(b.orders.Violations, b.loans.Violations...); len(broken) > 0 {
			t.Fatalf("%s\n%s", broken[0], strings.Join(b.describe(), "\n"))
		}
		if n := len(b.recordedLoans()); n > 0 {
			t.Fatalf("%d loans are still recorded", n)
		}
	})
	if made == 0 {
		t.Error("no loan was made: the test shows nothing")
	}
	t.Logf("zones lost %d times, %d machines fenced, %d loans", lost, fenced, made)
}

// TestUnusableZoneRecords: a record that cannot be read, or is of a newer format, is reported and
// left alone, and nothing else suffers.
func TestUnusableZoneRecords(t *testing.T) {
	newer, err := protocol.Encode(storage.ZoneFailoverRecord{Format: storage.ZoneFailoverFormat + 1, Zones: []storage.ZoneRow{{Name: "a", State: int(zones.Lost)}}})
	if err != nil {
		t.Fatal(err)
	}
	wrong, err := protocol.Encode(storage.ZoneFailoverRecord{Format: storage.ZoneFailoverFormat, Loans: []storage.LoanRow{{Lender: "x", Borrower: "j-1"}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string][]byte{"newer": newer, "not a record": {0xc1}, "a number": {7}, "out of form": wrong} {
		b := newZoneBench(zones.DefaultOrder(), config.Team{Name: "red"})
		key := storage.ZoneFailoverKey(0)
		b.records[key] = protocol.KeyValue{Key: key, Value: value, Revision: 9}
		b.takeOver(6)
		b.seconds(3)
		if countOf[zones.RecordLeftAlone](b.decisions) != 1 || b.c.returning.monitor.State("a") != zones.Available {
			t.Errorf("%s: %v", name, b.describe())
		}
		if got := b.records[key]; got.Revision != 9 || string(got.Value) != string(value) {
			t.Errorf("%s was written over", name)
		}
		b.c.returning.records.dirty[b.c.returning.records.first()] = true
		b.seconds(3)
		if got := b.records[key]; got.Revision != 9 || b.records[storage.ZoneFailoverKey(1)].Revision == 0 {
			t.Errorf("%s: records %v", name, b.records)
		}
	}
}

// TestSingleZone: with a single zone there is nothing to do, and the log says so.
func TestSingleZone(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	c := New(0, b.c.cfg, b.c.log, Term{Number: 6, Stamp: 2}, Records{Types: []protocol.MachineType{*b.c.machines.MachineType("g8")}}, 0, zones.DefaultOrder())
	for _, e := range c.Step(0, Tick{}) {
		if d, ok := e.(Decided); ok {
			if o, ok := d.Decision.(zones.OrderInForce); !ok || !strings.Contains(o.Describe(), "nothing to do") {
				t.Errorf("%s", d.Decision.Describe())
			}
		}
	}
	if c.returning.several || c.recovering() {
		t.Error("a single zone is watched")
	}
}

// TestZoneReturnOffCostsNothing: without the flag no decision is made and nothing is written,
// whatever happens to a zone.
func TestZoneReturnOffCostsNothing(t *testing.T) {
	b := lendingBench(t, 2)
	b.c.returning = nil
	b.decisions = nil
	b.seconds(60)
	if len(b.decisions) > 0 || len(b.records) > 0 {
		t.Errorf("%v %v", b.describe(), b.records)
	}
}
