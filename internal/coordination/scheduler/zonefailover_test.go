package scheduler

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// maxRandomLoans is more than what a loss and a return of ten machines at most can need.
const maxRandomLoans = 30

// TestZoneFailoverRandom: whatever runs when a zone is lost, and however much of it comes back, work recovers in the
// order, no task lends that must not or twice, and every loan ends.
func TestZoneFailoverRandom(t *testing.T) {
	made, fenced, lost := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		order := zonefailover.DefaultRecoveryOrder()
		if rapid.Bool().Draw(t, "stated") {
			var err error
			order, err = zonefailover.ParseRecoveryOrder(
				"d > team blue",
				&config.Deployment{Teams: []config.Team{{Name: "blue"}}, Objectives: []config.Objective{{Class: "d"}}},
			)
			if err != nil {
				t.Fatal(err)
			}
		}
		b := newZoneHarness(
			order,
			config.Team{Name: "red"},
			config.Team{Name: "blue", GuaranteedGPUs: float64(rapid.SampledFrom([]int{0, 8, 16}).Draw(t, "guarantee"))},
		)
		perZone := rapid.SampledFrom([]int{2, 3, 4, 5}).Draw(t, "machines")
		b.addMachines(2 * perZone)
		b.runSeconds(2)
		b.submitRandomJobs(t, 2*perZone*rapid.SampledFrom([]int{5, 7, 8, 9, 12}).Draw(t, "load"))
		b.runSeconds(15)
		b.loseZone()
		b.runSeconds(rapid.SampledFrom([]int{5, 22, 36, 45, 60}).Draw(t, "away"))
		half := rapid.Bool().Draw(t, "half")
		b.restoreZone(func(i int) bool { return !half || i%2 == 0 })
		b.runSeconds(60)
		if rapid.Bool().Draw(t, "again") {
			b.loseZone()
			b.runSeconds(40)
			b.restoreZone(func(int) bool { return true })
		}
		b.runSeconds(20*12 + 100) // until what is never repaid is written off
		made += b.loanOracle.LoanCount
		if b.loanOracle.LoanCount > maxRandomLoans {
			t.Fatalf(
				"%d loans: capacity is lent to and fro\n%s",
				b.loanOracle.LoanCount,
				strings.Join(b.describeDecisions(), "\n"),
			)
		}
		fenced += countDecisions[zonefailover.MachineFenced](b.decisions)
		lost += countDecisions[zonefailover.RecoveryOrderInEffect](b.decisions) - 1
		b.loanOracle.CheckAllClosed()
		if broken := append(b.orderOracle.Violations, b.loanOracle.Violations...); len(broken) > 0 {
			t.Fatalf("%s\n%s", broken[0], strings.Join(b.describeDecisions(), "\n"))
		}
		if n := len(b.storedLoans()); n > 0 {
			t.Fatalf("%d loans are still recorded", n)
		}
	})
	if made == 0 {
		t.Error("no loan was made: the test shows nothing")
	}
	t.Logf("zones lost %d times, %d machines fenced, %d loans", lost, fenced, made)
}

// TestUnusableFailoverRecords: a record that cannot be read, or is of a newer format, is reported and never written,
// and other records are as usual.
func TestUnusableFailoverRecords(t *testing.T) {
	newer, err := protocol.Encode(
		storage.ZoneFailoverRecord{
			Format: storage.ZoneFailoverFormat + 1,
			Zones:  []storage.ZoneRow{{Name: "a", State: int(zonefailover.Lost)}},
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	wrong, err := protocol.Encode(
		storage.ZoneFailoverRecord{
			Format: storage.ZoneFailoverFormat,
			Loans:  []storage.LoanRow{{Lender: "x", Borrower: "j-1"}},
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string][]byte{
		"newer":        newer,
		"not a record": {0xc1},
		"a number":     {7},
		"malformed":    wrong,
	} {
		b := newZoneHarness(zonefailover.DefaultRecoveryOrder(), config.Team{Name: "red"})
		key := storage.ZoneFailoverKey(0)
		b.records[key] = protocol.KeyValue{Key: key, Value: value, Revision: 9}
		b.takeOver(6)
		b.runSeconds(3)
		if countDecisions[zonefailover.RecordIgnored](b.decisions) != 1 ||
			b.scheduler.zoneFailover.Monitor().State("a") != zonefailover.Available {
			t.Errorf("%s: %v", name, b.describeDecisions())
		}
		if got := b.records[key]; got.Revision != 9 || string(got.Value) != string(value) {
			t.Errorf("%s was written over", name)
		}
		b.scheduler.zoneFailover.MarkZoneStatesChanged()
		b.runSeconds(3)
		if got := b.records[key]; got.Revision != 9 || b.records[storage.ZoneFailoverKey(1)].Revision == 0 {
			t.Errorf("%s: records %v", name, b.records)
		}
	}
}

// TestSingleZone: with a single zone there is nothing to do, and the log says so.
func TestSingleZone(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	c := New(0, Options{
		Config:        b.scheduler.cfg,
		Log:           b.scheduler.log,
		Term:          Term{Number: 6, Revision: 2},
		Records:       RecoveredRecords{MachineTypes: []protocol.MachineType{*b.scheduler.machines.MachineType("g8")}},
		RecoveryOrder: zonefailover.DefaultRecoveryOrder(),
	})
	for _, e := range c.Step(0, Tick{}) {
		if d, ok := e.(ZoneDecision); ok {
			if o, ok := d.Decision.(zonefailover.RecoveryOrderInEffect); !ok ||
				!strings.Contains(o.Describe(), "nothing to do") {
				t.Errorf("%s", d.Decision.Describe())
			}
		}
	}
	if c.zoneFailover.WatchesZones() || c.zoneFailover.InFailover() {
		t.Error("a single zone is watched")
	}
}

// TestZoneFailoverOffCostsNothing: without the flag no decision is made and nothing is written,
// whatever happens to a zone.
func TestZoneFailoverOffCostsNothing(t *testing.T) {
	b := newLendingHarness(t, 2)
	b.scheduler.zoneFailover = nil
	b.decisions = nil
	b.runSeconds(60)
	if len(b.decisions) > 0 || len(b.records) > 0 {
		t.Errorf("%v %v", b.describeDecisions(), b.records)
	}
}
