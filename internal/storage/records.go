package storage

import (
	"errors"
	"fmt"
	"strings"

	"pinebay/internal/protocol"
)

// Keys of the state service.
const (
	LeaderKey    = "leader"
	TermKey      = "term"
	TypesKey     = "types"
	LivePrefix   = "live/"
	EndedPrefix  = "ended/"
	PlacePrefix  = "place/"
	ImagesPrefix = "warm/"
)

// LiveKey is where an accepted job lives until it ends.
func LiveKey(id string) string { return LivePrefix + id }

// EndedKey is where the final state of a job stays.
func EndedKey(id string) string { return EndedPrefix + id }

// PageKey is where a page of a job's placements lives.
func PageKey(id string, page int) string { return fmt.Sprintf("%s%s/%04d", PlacePrefix, id, page) }

// LeaderRecord names the leader. It is attached to the leader's lease.
type LeaderRecord struct {
	Node string `msgpack:"node"`
	Term uint64 `msgpack:"term"`
}

// TermRecord counts terms. Its version fences every write of a leader.
type TermRecord struct {
	Term uint64 `msgpack:"term"`
	Node string `msgpack:"node"`
	// Claim tells one attempt to lead from another with the same outcome.
	Claim string `msgpack:"claim"`
}

// LiveRecord is an accepted job.
type LiveRecord struct {
	Job  protocol.Job `msgpack:"job"`
	AtMS int64        `msgpack:"at"`
}

// EndedRecord is a job that is over.
type EndedRecord struct {
	Standing protocol.Standing `msgpack:"end"`
	Done     int               `msgpack:"done"`
	// Write names the transaction, so that its author knows it again.
	Write string `msgpack:"w,omitempty"`
}

// PageRecord holds the placements and done tasks of a run of a job's tasks.
// It repeats what the tasks take, so that a job that is over still counts for
// its team until its tasks are gone.
type PageRecord struct {
	Write    string   `msgpack:"w"`
	Attempts uint64   `msgpack:"n"` // highest attempt ever written
	Done     [][2]int `msgpack:"d,omitempty"`
	Zones    []string `msgpack:"z,omitempty"`
	Places   []Place  `msgpack:"p,omitempty"`
	Team     string   `msgpack:"t"`
	CPUs     float64  `msgpack:"c"`
	GPUs     float64  `msgpack:"g"`
	MemoryGB float64  `msgpack:"m"`
}

// Place is one placement. It is stored as a list, for values are small.
type Place struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Task     int
	Machine  string
	Session  uint64
	Attempt  uint64
	Zone     int // index in Zones
}

// PlaceBytes bounds a stored placement, in the JSON form that limits count.
const PlaceBytes = 64

// PageTasks returns how many tasks one page covers, so that a full page with
// its head stays well inside a value.
func PageTasks(valueKB float64) int {
	return max(1, int(valueKB*1024*0.75/PlaceBytes))
}

// ZoneIndex returns the index of a zone in the record, adding it if need be.
func (r *PageRecord) ZoneIndex(zone string) int {
	for i, z := range r.Zones {
		if z == zone {
			return i
		}
	}
	r.Zones = append(r.Zones, zone)
	return len(r.Zones) - 1
}

// AddDone appends a task to the ranges; tasks must come in rising order.
func (r *PageRecord) AddDone(task int) {
	if n := len(r.Done); n > 0 && r.Done[n-1][1] == task-1 {
		r.Done[n-1][1] = task
		return
	}
	r.Done = append(r.Done, [2]int{task, task})
}

var errPage = errors.New("page record out of form")

// DecodePage reads and checks a page, and the job and number in its key.
func DecodePage(p protocol.Pair) (id string, page int, rec *PageRecord, err error) {
	id, num, ok := strings.Cut(strings.TrimPrefix(p.Key, PlacePrefix), "/")
	if !ok {
		return "", 0, nil, fmt.Errorf("%w: key %q", errPage, p.Key)
	}
	if _, err := fmt.Sscanf(num, "%d", &page); err != nil {
		return "", 0, nil, fmt.Errorf("%w: key %q", errPage, p.Key)
	}
	rec = &PageRecord{}
	if err := protocol.Decode(p.Value, rec); err != nil {
		return "", 0, nil, fmt.Errorf("key %q: %w", p.Key, err)
	}
	for _, pl := range rec.Places {
		if pl.Zone < 0 || pl.Zone >= len(rec.Zones) || pl.Task < 0 {
			return "", 0, nil, fmt.Errorf("%w: placement of task %d", errPage, pl.Task)
		}
	}
	for _, d := range rec.Done {
		if d[0] < 0 || d[1] < d[0] || d[1] >= protocol.MaxTasks {
			return "", 0, nil, fmt.Errorf("%w: done range %v", errPage, d)
		}
	}
	return id, page, rec, nil
}

// ImagesRecord tells which images machines have, so that a new leader does not
// send tasks to fetch what lies ready elsewhere. It is a hint, not a fact.
type ImagesRecord struct {
	Images   []string        `msgpack:"i"`
	SizesGB  []float64       `msgpack:"s"`
	Machines []MachineImages `msgpack:"m"`
	// Arrivals holds, by class, how many jobs the fading memory counts. Only
	// the first page has them.
	Arrivals []ClassArrivals `msgpack:"a,omitempty"`
}

// ClassArrivals is what a leader remembers of a class's arrivals.
type ClassArrivals struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Class    string
	Jobs     float64
	Tasks    float64 // of a job, in the mean
}

// MachineImages is a machine with its images, as indices.
type MachineImages struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Images   []int
}

// ImagesPerRecord is how many machines one such record covers; a machine takes
// little more room in it than a placement in a page.
func ImagesPerRecord(valueKB float64) int { return max(1, PageTasks(valueKB)/2) }

// ImagesKey is where a page of the images lies.
func ImagesKey(page int) string { return fmt.Sprintf("%s%04d", ImagesPrefix, page) }
