package storage_test

import (
	"bytes"
	"reflect"
	"testing"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
)

// TestProductionRecords checks that every record of the production version is decoded correctly and, at feature level
// 0, encoded to the same bytes, because both versions process the same records.
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
		CheckpointSaveSeconds:     4,
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
		raw := testutil.ProductionFixture(t, name)
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := protocol.Decode(raw, got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is decoded as %+v: %v", name, got, err)
		}
		if written, err := protocol.Encode(want); err != nil || !bytes.Equal(written, raw) {
			t.Errorf("%s is encoded as %x, want %x: %v", name, written, raw, err)
		}
	}
}

// TestProductionPage checks the same as TestProductionRecords for a placement page.
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
	layout := storage.PageLayout{TasksPerPage: storage.OriginalTasksPerPage(8)}
	raw := testutil.ProductionFixture(t, "page")
	got, err := storage.DecodePage(protocol.KeyValue{Value: raw}, layout)
	if err != nil || !reflect.DeepEqual(*got, want) {
		t.Errorf("decoded as %+v: %v", got, err)
	}
	if written, err := storage.EncodePage(&want, layout); err != nil || !bytes.Equal(written, raw) {
		t.Errorf("encoded as %x, want %x: %v", written, raw, err)
	}
	if key := (storage.PageID{Job: "j-000412", Layout: layout, Number: 3}).Key(); key != "place/j-000412/0003" ||
		layout.TasksPerPage != 96 {
		t.Errorf("key %q, %d tasks per page; want place/j-000412/0003 and 96", key, layout.TasksPerPage)
	}
}

// TestProductionTerm checks the same as TestProductionRecords for the term record at feature level 0. At higher levels
// the production version, which expects the term to be a number, must fail to decode the record, so that it can't claim
// a term.
func TestProductionTerm(t *testing.T) {
	raw, withoutLevel := testutil.ProductionFixture(
		t,
		"term",
	), storage.TermRecord{
		Term:       7,
		Controller: "bothy-1",
		ClaimID:    "912",
	}
	if got, err := storage.DecodeTerm(raw); err != nil || got != withoutLevel {
		t.Errorf("decoded as %+v: %v", got, err)
	}
	if written, err := storage.EncodeTerm(withoutLevel); err != nil || !bytes.Equal(written, raw) {
		t.Errorf("encoded as %x, want %x: %v", written, raw, err)
	}
	withLevel := storage.TermRecord{Term: 8, Controller: "bothy-2", ClaimID: "913", FeatureLevel: 1, WriteName: "8.2"}
	written, err := storage.EncodeTerm(withLevel)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := storage.DecodeTerm(written); err != nil || got != withLevel {
		t.Errorf("record with a feature level is decoded as %+v: %v", got, err)
	}
	var production struct {
		Term  uint64 `msgpack:"term"`
		Node  string `msgpack:"node"`
		Claim string `msgpack:"claim"`
	}
	if err := protocol.Decode(written, &production); err == nil {
		t.Error("the production version decodes a term record of a feature level that it does not support")
	}
}
