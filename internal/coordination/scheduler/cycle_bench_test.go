package scheduler

import (
	"fmt"
	"testing"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// largeHarness returns a harness with n machines that are nearly full, and jobs that wait.
func largeHarness(n int) *harness {
	b := newHarness([]config.Team{{Name: "red"}}, "a", "b")
	b.setObjectives([]config.Objective{
		{Kind: "wait", Class: "serve", WithinSeconds: 0.5, Fraction: 0.9},
		{Kind: "wait", Class: "big", WithinSeconds: 20, Fraction: 0.9},
		{Kind: "finished", Class: "sweep", WithinSeconds: 100, Fraction: 0.9},
	})
	zones := []string{"a", "b"}
	for i := range n {
		b.heartbeat(fmt.Sprintf("m%04d", i), zones[i%2], i%5 == 0)
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
			j.CheckpointIntervalSeconds, j.SaveSeconds = 10, 2
		}
		b.addJob(j)
	}
	for i := range n * 2 / 5 {
		job(i, "serve", protocol.Service, "critical", 2+i%3, 2)
		if i%3 == 0 {
			job(i, "big", protocol.Gang, "urgent", 2, 8)
		}
		job(i, "sweep", protocol.Array, "normal", 20, 1)
		if i%20 == 0 {
			b.runCycle()
			b.runFetchingTasks()
		}
	}
	for range 60 {
		b.runCycle()
		b.runFetchingTasks()
	}
	return b
}

// runFetchingTasks has all tasks run that are fetching their image.
func (b *harness) runFetchingTasks() {
	for name, ts := range b.tasks {
		for id, t := range ts {
			if t.State == protocol.TaskFetching {
				t.State = protocol.TaskRunning
				ts[id] = t
			}
		}
		b.apply(HeartbeatReceived{ReplyTo: name, Heartbeat: b.nextHeartbeat(name)})
	}
}

func BenchmarkCycle(b *testing.B) {
	for _, n := range []int{100, 400, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := largeHarness(n)
			waiting := 0
			for _, j := range l.scheduler.jobs {
				waiting += j.PendingTasks()
			}
			b.ResetTimer()
			b.ReportMetric(float64(waiting), "waiting")
			for range b.N {
				l.now += MinCycleInterval
				l.scheduler.cycle.due = true
				l.scheduler.Step(l.now, Tick{})
			}
		})
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := largeHarness(n)
			b.ResetTimer()
			for i := range b.N {
				name := fmt.Sprintf("m%04d", i%n)
				l.scheduler.Step(l.now, HeartbeatReceived{ReplyTo: name, Heartbeat: l.nextHeartbeat(name)})
			}
		})
	}
}
