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

// maxRandomLoans exceeds the number of loans that the loss and return of at most ten machines can require.
const maxRandomLoans = 30

// TestZoneFailoverRandom checks random workloads that lose a zone of which a random part returns: work recovers in the
// recovery order, a task lends only if it may and never twice, and every loan ends.
func TestZoneFailoverRandom(t *testing.T) {
	opened, fenced, lost := 0, 0, 0
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
		h := newZoneHarness(
			order,
			config.Team{Name: "red"},
			config.Team{Name: "blue", GuaranteedGPUs: float64(rapid.SampledFrom([]int{0, 8, 16}).Draw(t, "guarantee"))},
		)
		perZone := rapid.SampledFrom([]int{2, 3, 4, 5}).Draw(t, "machines")
		h.addMachines(2 * perZone)
		h.runSeconds(2)
		h.submitRandomJobs(t, 2*perZone*rapid.SampledFrom([]int{5, 7, 8, 9, 12}).Draw(t, "load"))
		h.runSeconds(15)
		h.loseZone()
		h.runSeconds(rapid.SampledFrom([]int{5, 22, 36, 45, 60}).Draw(t, "away"))
		half := rapid.Bool().Draw(t, "half")
		h.restoreZone(func(i int) bool { return !half || i%2 == 0 })
		h.runSeconds(60)
		if rapid.Bool().Draw(t, "again") {
			h.loseZone()
			h.runSeconds(40)
			h.restoreZone(func(int) bool { return true })
		}
		h.runSeconds(20*12 + 100) // until loans that are never repaid are written off
		opened += h.loanOracle.LoanCount
		if h.loanOracle.LoanCount > maxRandomLoans {
			t.Fatalf(
				"%d loans: capacity is lent back and forth\n%s",
				h.loanOracle.LoanCount,
				strings.Join(h.describeDecisions(), "\n"),
			)
		}
		fenced += countDecisions[zonefailover.MachineFenced](h.decisions)
		lost += countDecisions[zonefailover.RecoveryOrderInEffect](h.decisions) - 1
		h.loanOracle.CheckAllClosed()
		if broken := append(h.orderOracle.Violations, h.loanOracle.Violations...); len(broken) > 0 {
			t.Fatalf("%s\n%s", broken[0], strings.Join(h.describeDecisions(), "\n"))
		}
		if n := len(h.storedLoans()); n > 0 {
			t.Fatalf("%d loans are still recorded, want none", n)
		}
	})
	if opened == 0 {
		t.Error("no loan was opened, so the test checked none")
	}
	t.Logf("zones lost %d times, %d machines fenced, %d loans", lost, fenced, opened)
}

// TestUnusableFailoverRecords checks that a record that cannot be decoded or has a newer format is reported and never
// overwritten, while other records are processed as usual.
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
		h := newZoneHarness(zonefailover.DefaultRecoveryOrder(), config.Team{Name: "red"})
		key := storage.ZoneFailoverKey(0)
		h.records[key] = protocol.KeyValue{Key: key, Value: value, Revision: 9}
		h.startTerm(6)
		h.runSeconds(3)
		if countDecisions[zonefailover.RecordIgnored](h.decisions) != 1 ||
			h.scheduler.zoneFailover.Monitor().State("a") != zonefailover.Available {
			t.Errorf("%s: decisions %v, want the record ignored and zone a available", name, h.describeDecisions())
		}
		if got := h.records[key]; got.Revision != 9 || string(got.Value) != string(value) {
			t.Errorf("%s: the record was overwritten", name)
		}
		h.scheduler.zoneFailover.MarkZoneStatesChanged()
		h.runSeconds(3)
		if got := h.records[key]; got.Revision != 9 || h.records[storage.ZoneFailoverKey(1)].Revision == 0 {
			t.Errorf("%s: records %v, want the unusable one unchanged and the zone states in the next", name, h.records)
		}
	}
}

// TestSingleZone checks that zone failover does nothing in a deployment with a single zone, and that the log says so.
func TestSingleZone(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	s := New(0, Options{
		Config:        h.scheduler.cfg,
		Log:           h.scheduler.log,
		Term:          Term{Number: 6, Revision: 2},
		Records:       RecoveredRecords{MachineTypes: []protocol.MachineType{*h.scheduler.machines.MachineType("g8")}},
		RecoveryOrder: zonefailover.DefaultRecoveryOrder(),
	})
	for _, e := range s.Step(0, Tick{}) {
		if d, ok := e.(ZoneDecision); ok {
			if order, ok := d.Decision.(zonefailover.RecoveryOrderInEffect); !ok ||
				!strings.Contains(order.Describe(), "nothing to do") {
				t.Errorf("%s", d.Decision.Describe())
			}
		}
	}
	if s.zoneFailover.HasMultipleZones() || s.zoneFailover.InFailover() {
		t.Error("a single zone is monitored")
	}
}

// TestZoneFailoverOffCostsNothing checks that, without the flag, no decision is made and no record is written even if a
// zone is lost.
func TestZoneFailoverOffCostsNothing(t *testing.T) {
	h := newLendingHarness(t, 2)
	h.scheduler.zoneFailover = nil
	h.decisions = nil
	h.runSeconds(60)
	if len(h.decisions) > 0 || len(h.records) > 0 {
		t.Errorf("decisions %v and records %v, want none", h.describeDecisions(), h.records)
	}
}
