package protocol

import (
	"fmt"
	"testing"
)

// testPeerHeartbeat returns a heartbeat between controllers as it is sent while nothing fails.
func testPeerHeartbeat() *PeerMessage {
	return &PeerMessage{
		Kind:             PeerHeartbeat,
		ID:               7,
		From:             "controller-0",
		Term:             3,
		Leader:           "controller-0",
		StoreReachable:   true,
		Incarnation:      1 << 60,
		Recovered:        true,
		AckedIncarnation: 1 << 59,
	}
}

// testWorkerHeartbeat returns a worker heartbeat that reports the given number of running tasks.
func testWorkerHeartbeat(tasks int) *WorkerHeartbeat {
	r := &WorkerHeartbeat{
		Machine:      "host-000001",
		Addr:         "10.1.0.1:9000",
		Type:         "g8",
		Zone:         "a",
		Incarnation:  1,
		Sequence:     9,
		FencingToken: FencingToken(3, 1),
	}
	for i := range tasks {
		r.Tasks = append(r.Tasks, TaskStatus{TaskName: fmt.Sprintf("j-000001/%d", i), Attempt: 1, State: TaskRunning})
	}
	return r
}

// TestPeerHeartbeatCost checks that a heartbeat between controllers stays small, and that encoding and decoding it
// together need few allocations.
func TestPeerHeartbeatCost(t *testing.T) {
	const maxBytes, maxAllocations = 75, 8
	raw, err := EncodePeerMessage(testPeerHeartbeat())
	if err != nil {
		t.Fatal(err)
	}
	allocations := testing.AllocsPerRun(200, func() {
		out, err := EncodePeerMessage(testPeerHeartbeat())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodePeerMessage(out); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%d bytes, %.0f allocations", len(raw), allocations)
	if len(raw) > maxBytes || allocations > maxAllocations {
		t.Errorf("%d bytes and %.0f allocations, want %d and %d at most",
			len(raw), allocations, maxBytes, maxAllocations)
	}
}

// TestWorkerHeartbeatCost checks that decoding a worker heartbeat needs at most a fixed number of allocations plus a
// few for each reported task.
func TestWorkerHeartbeatCost(t *testing.T) {
	const fixed, perTask = 8, 4
	for _, tasks := range []int{0, 8, 64} {
		raw, err := Encode(testWorkerHeartbeat(tasks))
		if err != nil {
			t.Fatal(err)
		}
		allocations := testing.AllocsPerRun(200, func() {
			if _, err := DecodeWorkerHeartbeat(raw); err != nil {
				t.Fatal(err)
			}
		})
		t.Logf("%d tasks: %d bytes, %.0f allocations", tasks, len(raw), allocations)
		if limit := float64(fixed + perTask*tasks); allocations > limit {
			t.Errorf("%.0f allocations for %d tasks, want %.0f at most", allocations, tasks, limit)
		}
	}
}

// BenchmarkMessages measures the encoding and decoding of messages that are exchanged while nothing fails.
func BenchmarkMessages(b *testing.B) {
	job := &Job{
		ID:        "j-000001",
		Class:     "c",
		Team:      "t",
		Shape:     Array,
		Priority:  "normal",
		TaskCount: 20,
		CPUs:      8,
		GPUs:      1,
		MemoryGB:  40,
		Image:     "img-01",
		ImageGB:   40,
	}
	rows := []struct {
		name   string
		encode func() ([]byte, error)
		decode func([]byte) error
	}{
		{
			"peer heartbeat",
			func() ([]byte, error) { return EncodePeerMessage(testPeerHeartbeat()) },
			func(raw []byte) error { _, err := DecodePeerMessage(raw); return err },
		},
		{
			"worker heartbeat",
			func() ([]byte, error) { return Encode(testWorkerHeartbeat(8)) },
			func(raw []byte) error { _, err := DecodeWorkerHeartbeat(raw); return err },
		},
		{
			"worker heartbeat reply",
			func() ([]byte, error) { return Encode(WorkerHeartbeatReply{FencingToken: 1}) },
			func(raw []byte) error { return Decode(raw, &WorkerHeartbeatReply{}) },
		},
		{
			"submission",
			func() ([]byte, error) { return Encode(job) },
			func(raw []byte) error { _, err := DecodeJob(raw); return err },
		},
		{
			"status",
			func() ([]byte, error) { return Encode(JobStatus{ID: "j-000001", State: JobRunning}) },
			func(raw []byte) error { return Decode(raw, &JobStatus{}) },
		},
	}
	for _, row := range rows {
		raw, err := row.encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(row.name+"/encode", func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(raw)), "bytes")
			for b.Loop() {
				if _, err := row.encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(row.name+"/decode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := row.decode(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
