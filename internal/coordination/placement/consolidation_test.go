package placement

import (
	"fmt"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/fairshare"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// replicaFleet is a set of 8-GPU machines that run service replicas of one image.
type replicaFleet struct {
	rules      *Rules
	heartbeats map[string]*protocol.WorkerHeartbeat
}

func newReplicaFleet(t *testing.T) *replicaFleet {
	t.Helper()
	machines := machineregistry.New(1, config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10})
	machines.SetMachineTypes([]protocol.MachineType{{
		Name:             "g8",
		CPUs:             64,
		GPUs:             8,
		MemoryGB:         256,
		CacheGB:          100,
		FetchGBPerSecond: 1,
		BootSeconds:      30,
		Zones:            []string{"a", "b"},
	}})
	return &replicaFleet{
		rules: &Rules{
			Machines:   machines,
			Candidates: candidates.NewIndex(machines),
			Quotas:     fairshare.NewQuotas(nil, machines),
			Zones:      noFailover{},
			Jobs:       map[string]*jobstate.Job{},
		},
		heartbeats: map[string]*protocol.WorkerHeartbeat{},
	}
}

// addMachine adds a machine on which one replica has been running since time 0.
func (f *replicaFleet) addMachine(t *testing.T, name, zone string, gpus float64) *jobstate.Job {
	t.Helper()
	f.heartbeats[name] = &protocol.WorkerHeartbeat{
		Machine:     name,
		Addr:        "x",
		Type:        "g8",
		Zone:        zone,
		Incarnation: 1,
	}
	f.heartbeat(0, name)
	j := newTestJob("j-"+name, "red", "normal", gpus)
	j.Spec.Shape, j.Spec.Image, j.Spec.ImageGB = protocol.Service, "image", 1
	pl := &machineregistry.Placement{
		Task:      protocol.TaskID{JobID: j.Spec.ID},
		Attempt:   1,
		Machine:   name,
		Resources: j.TaskResources,
		Team:      j.Spec.Team,
		Job:       &j.Spec,
	}
	if !f.rules.Machines.Reserve(0, []*machineregistry.Placement{pl}) {
		t.Fatalf("no capacity on %s", name)
	}
	pl.Recorded = true
	f.rules.Machines.AllowStart(pl)
	f.rules.Machines.TakeDueCommands(0, f.rules.Machines.Machine(name))
	f.heartbeats[name].Tasks = []protocol.TaskStatus{{
		TaskName: pl.Task.String(),
		Attempt:  1,
		State:    protocol.TaskRunning,
	}}
	f.heartbeat(0, name)
	f.rules.Jobs[j.Spec.ID] = j
	return j
}

// heartbeat sends a heartbeat of a machine at the given time.
func (f *replicaFleet) heartbeat(now time.Duration, name string) {
	f.heartbeats[name].Sequence++
	heartbeat := *f.heartbeats[name]
	f.rules.Machines.HandleHeartbeat(now, &heartbeat)
}

// refresh sends a heartbeat of every machine at the given time.
func (f *replicaFleet) refresh(now time.Duration) {
	for name := range f.heartbeats {
		f.heartbeat(now, name)
	}
	f.rules.Candidates.Refresh(now)
}

func TestConsolidator(t *testing.T) {
	for _, test := range []struct {
		name        string
		gpus        [2]float64 // of the replicas on m0 and m1
		otherZone   bool
		nominated   bool
		writing     bool
		now         time.Duration
		wantDrained string
	}{
		{name: "moves to the fuller machine", gpus: [2]float64{1, 4}, now: time.Minute, wantDrained: "m0"},
		{name: "not before starts count", gpus: [2]float64{1, 4}, now: MinCountedRunTime - time.Second},
		{name: "no capacity elsewhere", gpus: [2]float64{3, 6}, now: time.Minute},
		{name: "both are well used", gpus: [2]float64{5, 5}, now: time.Minute},
		{name: "other zone", gpus: [2]float64{1, 4}, otherZone: true, now: time.Minute},
		{name: "nominated for another job", gpus: [2]float64{1, 5}, nominated: true, now: time.Minute},
		{name: "a write is in flight", gpus: [2]float64{1, 5}, writing: true, now: time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newReplicaFleet(t)
			for i, gpus := range test.gpus {
				zone := "a"
				if i == 1 && test.otherZone {
					zone = "b"
				}
				j := f.addMachine(t, fmt.Sprintf("m%d", i), zone, gpus)
				j.WriteInFlight = test.writing
			}
			if test.nominated {
				waiting := newTestJob("j-waiting", "red", "urgent", 8)
				f.rules.Jobs["j-waiting"], f.rules.Cycle = waiting, 1
				f.rules.Nominate(f.rules.Machines.Machine("m0"), waiting, time.Hour)
			}
			f.refresh(test.now)
			c := NewConsolidator(f.rules, time.Second)
			got := ""
			if m := c.Next(test.now); m != nil {
				got = m.Name
			}
			if got != test.wantDrained {
				t.Errorf("drains %q, want %q", got, test.wantDrained)
			}
			if m := c.Next(test.now + time.Second/2); m != nil && test.wantDrained != "" {
				t.Errorf("drains %s within the interval", m.Name)
			}
		})
	}
}
