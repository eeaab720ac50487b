package storage_test

import (
	"bytes"
	"reflect"
	"testing"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
)

// Every record of the version in production is decoded, and below the first feature level encoded to the same bytes:
// both versions work on each other's records.
func TestProductionRecords(t *testing.T) {
	job := protocol.Job{
		ID:                        "j-000412",
		Class:                     "train",
		Team:                      "vision",
		Shape:                     protocol.Gang,
		Priority:                  "urgent",
		TaskCount:                 16,
		CPUs:                      8,
		GPUs:                      1,
		MemoryGB:                  64,
		Image:                     "img-07",
		ImageGB:                   6.2,
		MachineTypes:              []string{"g8"},
		Zone:                      "a",
		SameZone:                  true,
		SpotAllowed:               true,
		EstimateSeconds:           240,
		CheckpointIntervalSeconds: 30,
		SaveSeconds:               4,
		DeadlineSeconds:           900,
	}
	for name, want := range map[string]any{
		"live":            &storage.LiveJobRecord{Job: job, AcceptedAtMS: 1764682355123},
		"ended-done":      &storage.EndedJobRecord{State: protocol.JobDone, DoneTasks: 16, WriteName: "7.42"},
		"ended-cancelled": &storage.EndedJobRecord{State: protocol.JobCancelled},
		"leader":          &storage.LeaderRecord{Controller: "bothy-1", Term: 7},
		"images": &storage.ImageHintRecord{
			Images:   []string{"img-07", "img-09"},
			SizesGB:  []float64{6.2, 118},
			Machines: []storage.MachineImages{{Name: "host-000231", Images: []int{0, 1}}},
			Arrivals: []storage.ClassArrivals{{Class: "train", Jobs: 2.25, MeanTasks: 11.5}},
		},
		"types": &protocol.MachineTypes{Types: []protocol.MachineType{{
			Name:             "g8",
			CPUs:             96,
			GPUs:             8,
			MemoryGB:         768,
			CacheGB:          200,
			FetchGBPerSecond: 1,
			HourlyPrice:      12,
			HourlySpotPrice:  4.5,
			BootSeconds:      45,
			Zones:            []string{"a", "b"},
		}}},
		"zone-return": &storage.ZoneFailoverRecord{
			Format:    1,
			WriteName: "7.43",
			Zones:     []storage.ZoneRow{{Name: "a", State: 1, SinceMS: 1764682355123, Flaps: 2}},
			Loans: []storage.LoanRow{{
				Term:        7,
				Number:      3,
				Lender:      "j-1",
				Task:        4,
				Attempt:     2,
				Borrower:    "j-2",
				Machine:     "host-000231",
				Zone:        "b",
				LostSeconds: 12.5,
				CreatedMS:   5,
				ExpiresMS:   6,
			}},
		},
	} {
		raw := testutil.Production(t, name)
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := protocol.Decode(raw, got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v: %v", name, got, err)
		}
		if written, err := protocol.Encode(want); err != nil || !bytes.Equal(written, raw) {
			t.Errorf("%s is written otherwise: %x, want %x, %v", name, written, raw, err)
		}
	}
}

// The same holds for a page of placements.
func TestProductionPage(t *testing.T) {
	want := storage.PlacementPage{
		WriteName:      "7.41",
		HighestAttempt: 3,
		DoneRanges:     [][2]int{{0, 4}, {6, 6}},
		Zones:          []string{"a", "b"},
		Placements: []storage.Placement{
			{Task: 5, Machine: "host-000231", Incarnation: 2, Attempt: 3, Zone: 0},
			{Task: 7, Machine: "host-000232", Incarnation: 1, Attempt: 1, Zone: 1},
		},
		Team:     "vision",
		CPUs:     8,
		GPUs:     1,
		MemoryGB: 64,
	}
	layout := storage.PageLayout{TasksPerPage: storage.OriginalPageTasks(8)}
	raw := testutil.Production(t, "page")
	got, err := storage.DecodePage(protocol.KeyValue{Value: raw}, layout)
	if err != nil || !reflect.DeepEqual(*got, want) {
		t.Errorf("it is read as %+v: %v", got, err)
	}
	if written, err := storage.EncodePage(&want, layout); err != nil || !bytes.Equal(written, raw) {
		t.Errorf("it is written otherwise: %x, want %x, %v", written, raw, err)
	}
	if key := (storage.PageID{Job: "j-000412", Layout: layout, Number: 3}).Key(); key != "place/j-000412/0003" ||
		layout.TasksPerPage != 96 {
		t.Errorf("its key is %q, and it covers %d tasks", key, layout.TasksPerPage)
	}
}

// The same holds for the term's record below the first feature level. From then on the version in production, which
// expects a number, can't decode it: so it can't claim a term.
func TestProductionTerm(t *testing.T) {
	raw, plain := testutil.Production(t, "term"), storage.TermRecord{Term: 7, Controller: "bothy-1", ClaimID: "912"}
	if got, err := storage.DecodeTerm(raw); err != nil || got != plain {
		t.Errorf("it is read as %+v: %v", got, err)
	}
	if written, err := storage.EncodeTerm(plain); err != nil || !bytes.Equal(written, raw) {
		t.Errorf("it is written otherwise: %x, want %x, %v", written, raw, err)
	}
	leveled := storage.TermRecord{Term: 8, Controller: "bothy-2", ClaimID: "913", FeatureLevel: 1, WriteName: "8.2"}
	written, err := storage.EncodeTerm(leveled)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := storage.DecodeTerm(written); err != nil || got != leveled {
		t.Errorf("with a level it is read as %+v: %v", got, err)
	}
	var production struct {
		Term  uint64 `msgpack:"term"`
		Node  string `msgpack:"node"`
		Claim string `msgpack:"claim"`
	}
	if err := protocol.Decode(written, &production); err == nil {
		t.Error("production reads a term's record of a level that it does not speak")
	}
}
