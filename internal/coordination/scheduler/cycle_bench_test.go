package scheduler

import (
	"fmt"
	"testing"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// largeHarness returns a harness with n nearly full machines and with waiting jobs.
func largeHarness(n int) *harness {
	h := newHarness([]config.Team{{Name: "red"}}, "a", "b")
	h.setObjectives([]config.Objective{
		{Kind: "wait", Class: "serve", WithinSeconds: 0.5, Fraction: 0.9},
		{Kind: "wait", Class: "big", WithinSeconds: 20, Fraction: 0.9},
		{Kind: "finished", Class: "sweep", WithinSeconds: 100, Fraction: 0.9},
	})
	zones := []string{"a", "b"}
	for i := range n {
		h.heartbeat(fmt.Sprintf("m%04d", i), zones[i%2], i%5 == 0)
	}
	job := func(i int, class string, shape protocol.Shape, prio protocol.Priority, tasks int, gpus float64) {
		j := jobSpec(fmt.Sprintf("j-%s%d", class, i), shape, prio, tasks, gpus)
		j.Class, j.Image, j.ImageGB, j.Spread = class, fmt.Sprintf(
			"%s-%d",
			class,
			i%6,
		), 10, shape == protocol.Service &&
			tasks > 1
		j.SpotAllowed = shape == protocol.Array
		if shape != protocol.Service {
			j.CheckpointIntervalSeconds, j.CheckpointSaveSeconds = 10, 2
		}
		h.addJob(j)
	}
	for i := range n * 2 / 5 {
		job(i, "serve", protocol.Service, "critical", 2+i%3, 2)
		if i%3 == 0 {
			job(i, "big", protocol.Gang, "urgent", 2, 8)
		}
		job(i, "sweep", protocol.Array, "normal", 20, 1)
		if i%20 == 0 {
			h.runCycle()
			h.runFetchingTasks()
		}
	}
	for range 60 {
		h.runCycle()
		h.runFetchingTasks()
	}
	return h
}

// runFetchingTasks starts all tasks that were fetching their image.
func (h *harness) runFetchingTasks() {
	for name, ts := range h.tasks {
		for id, t := range ts {
			if t.State == protocol.TaskFetching {
				t.State = protocol.TaskRunning
				ts[id] = t
			}
		}
		h.apply(HeartbeatReceived{ReplyTo: name, Heartbeat: h.nextHeartbeat(name)})
	}
}

func BenchmarkCycle(b *testing.B) {
	for _, n := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := largeHarness(n)
			waiting := 0
			for _, j := range h.scheduler.jobs {
				waiting += j.PendingTasks()
			}
			b.ResetTimer()
			b.ReportMetric(float64(waiting), "waiting")
			for range b.N {
				h.now += MinCycleInterval
				h.scheduler.cycle.due = true
				h.scheduler.Step(h.now, Tick{})
			}
		})
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := largeHarness(n)
			b.ResetTimer()
			for i := range b.N {
				name := fmt.Sprintf("m%04d", i%n)
				h.scheduler.Step(h.now, HeartbeatReceived{ReplyTo: name, Heartbeat: h.nextHeartbeat(name)})
			}
		})
	}
}
