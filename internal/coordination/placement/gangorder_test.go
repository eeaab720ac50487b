package placement

import (
	"slices"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
)

// TestOrderGangsByObjective checks that gangs of a group are reordered by the objective that they can still meet, and
// that other jobs keep their positions.
func TestOrderGangsByObjective(t *testing.T) {
	const now = time.Hour
	objectives := []config.Objective{
		{Kind: config.ObjectiveStartLatency, Class: "big", WithinSeconds: 20},
		{Kind: config.ObjectiveCompletion, Class: "big", WithinSeconds: 60},
	}
	gang := func(id, class string, waited time.Duration) *jobstate.Job {
		j := newTestJob(id, "red", "urgent", 1)
		j.Spec.Shape, j.Spec.Class, j.Spec.EstimateSeconds = protocol.Gang, class, 20
		j.WaitingSince = now - waited
		return j
	}
	array := newTestJob("array", "red", "urgent", 1)
	restarted := gang("restarted", "big", 10*time.Second)
	restarted.StartCounted = true
	waiting := []*jobstate.Job{
		gang("late", "big", 50*time.Second),
		gang("other-class", "batch", time.Hour),
		gang("can-finish", "big", 30*time.Second),
		array,
		restarted,
		gang("can-start", "big", 10*time.Second),
		gang("starving", "big", 121*time.Second),
	}
	OrderGangsByObjective(now, waiting, objectives)
	var order []string
	for _, j := range waiting {
		order = append(order, j.Spec.ID)
	}
	want := []string{"can-start", "other-class", "starving", "array", "can-finish", "restarted", "late"}
	if !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}
