package protocol

import (
	"fmt"
	"testing"
)

// heartbeat is one of a quiet deployment.
func heartbeat() *MeshMessage {
	return &MeshMessage{Kind: MeshBeat, ID: 7, From: "controller-0", Term: 3, Leader: "controller-0", StateOK: true, Life: 1 << 60, Whole: true, HeldLife: 1 << 59}
}

// quietReport is a worker's with the given number of running tasks.
func quietReport(tasks int) *Report {
	r := &Report{Machine: "host-000001", Addr: "10.1.0.1:9000", Type: "g8", Zone: "a", Session: 1, Seq: 9, Token: Token(3, 1)}
	for i := range tasks {
		r.Tasks = append(r.Tasks, TaskReport{Name: fmt.Sprintf("j-000001/%d", i), Attempt: 1, State: TaskRunning})
	}
	return r
}

// TestCostOfAHeartbeat: a heartbeat is small and costs few allocations on both sides.
func TestCostOfAHeartbeat(t *testing.T) {
	const mostBytes, mostAllocations = 75, 8
	raw, err := EncodeMesh(heartbeat())
	if err != nil {
		t.Fatal(err)
	}
	allocations := testing.AllocsPerRun(200, func() {
		out, err := EncodeMesh(heartbeat())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeMesh(out); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%d bytes, %.0f allocations", len(raw), allocations)
	if len(raw) > mostBytes || allocations > mostAllocations {
		t.Errorf("%d bytes and %.0f allocations, want %d and %d at most", len(raw), allocations, mostBytes, mostAllocations)
	}
}

// TestCostOfAReport: decoding a report costs a fixed number of allocations and a few for
// each task.
func TestCostOfAReport(t *testing.T) {
	const fixed, perTask = 8, 4
	for _, tasks := range []int{0, 8, 64} {
		raw, err := Encode(quietReport(tasks))
		if err != nil {
			t.Fatal(err)
		}
		allocations := testing.AllocsPerRun(200, func() {
			if _, err := DecodeReport(raw); err != nil {
				t.Fatal(err)
			}
		})
		t.Logf("%d tasks: %d bytes, %.0f allocations", tasks, len(raw), allocations)
		if most := float64(fixed + perTask*tasks); allocations > most {
			t.Errorf("%.0f allocations for %d tasks, want %.0f at most", allocations, tasks, most)
		}
	}
}

// BenchmarkMessages shows what the messages of a quiet deployment cost to write and read.
func BenchmarkMessages(b *testing.B) {
	job := &Job{ID: "j-000001", Class: "c", Team: "t", Shape: Array, Priority: "normal", Tasks: 20, CPUs: 8, GPUs: 1, MemoryGB: 40, Image: "img-01", ImageGB: 40}
	rows := []struct {
		name   string
		encode func() ([]byte, error)
		decode func([]byte) error
	}{
		{"heartbeat", func() ([]byte, error) { return EncodeMesh(heartbeat()) }, func(raw []byte) error { _, err := DecodeMesh(raw); return err }},
		{"report-8", func() ([]byte, error) { return Encode(quietReport(8)) }, func(raw []byte) error { _, err := DecodeReport(raw); return err }},
		{"answer", func() ([]byte, error) { return Encode(ReportAnswer{Token: 1}) }, func(raw []byte) error { return Decode(raw, &ReportAnswer{}) }},
		{"submission", func() ([]byte, error) { return Encode(job) }, func(raw []byte) error { _, err := DecodeJob(raw); return err }},
		{"status", func() ([]byte, error) { return Encode(JobStatus{ID: "j-000001", Standing: Running}) }, func(raw []byte) error { return Decode(raw, &JobStatus{}) }},
	}
	for _, row := range rows {
		raw, err := row.encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(row.name+"/write", func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(raw)), "bytes")
			for b.Loop() {
				if _, err := row.encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(row.name+"/read", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := row.decode(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
