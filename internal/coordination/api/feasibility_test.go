package api

import (
	"testing"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// TestInfeasibleJobs checks the error for each reason for which a job can never run. The text is part of the response.
func TestInfeasibleJobs(t *testing.T) {
	cfg := &config.Deployment{Teams: []config.Team{{Name: "red", MaxCPUs: 32, MaxGPUs: 16}}}
	const (
		noMachineType = "a task fits no allowed machine type"
		overLimit     = "needs more than the team's limit"
		cannotSpread  = "its tasks must be spread over zones and may not be"
	)
	for name, x := range map[string]struct {
		change func(*protocol.Job)
		want   string
	}{
		"feasible":              {func(*protocol.Job) {}, ""},
		"unknown team":          {func(j *protocol.Job) { j.Team = `b"e` }, `unknown team "b\"e"`},
		"too many GPUs for any": {func(j *protocol.Job) { j.GPUs = 9 }, noMachineType},
		"unknown type":          {func(j *protocol.Job) { j.MachineTypes = []string{"g9"} }, noMachineType},
		"unknown zone":          {func(j *protocol.Job) { j.Zone = "c" }, noMachineType},
		"a gang over the limit": {
			func(j *protocol.Job) { j.Shape, j.TaskCount, j.GPUs = protocol.Gang, 3, 8 },
			overLimit,
		},
		"an array over the limit": {func(j *protocol.Job) { j.TaskCount, j.GPUs = 3, 8 }, ""},
		"CPUs over the limit":     {func(j *protocol.Job) { j.CPUs = 33 }, overLimit},
		"spread in one zone":      {func(j *protocol.Job) { j.Spread, j.Zone = true, "a" }, cannotSpread},
		"spread and together":     {func(j *protocol.Job) { j.Spread, j.SameZone = true, true }, cannotSpread},
		"one task to spread":      {func(j *protocol.Job) { j.Spread, j.Zone, j.TaskCount = true, "a", 1 }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			job := arrayJob("j-1")
			x.change(&job)
			err := checkFeasible(cfg, testMachineTypes, &job)
			got := ""
			if err != nil {
				got = err.Error()
			}
			if got != x.want {
				t.Errorf("error %q, want %q", got, x.want)
			}
			if err != nil && statusOf(err) != 422 {
				t.Errorf("status %d, want 422", statusOf(err))
			}
		})
	}
}
