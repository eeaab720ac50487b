package storage

import (
	"fmt"

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

// LeaderRecord names the leader. It is attached to the leader's lease.
type LeaderRecord struct {
	Node string `msgpack:"node"`
	Term uint64 `msgpack:"term"`
}

// LiveRecord is an accepted job.
type LiveRecord struct {
	Job  protocol.Job `msgpack:"job"`
	AtMS int64        `msgpack:"at"`
}

// EndedRecord is a job that is over.
type EndedRecord struct {
	Standing protocol.JobState `msgpack:"end"`
	Done     int               `msgpack:"done"`
	// Write names the transaction, so that its author knows it again.
	Write string `msgpack:"w,omitempty"`
	// Need is the cancelled job because of which this one, which awaited it, is cancelled. Such a
	// job has never had a task.
	Need string `msgpack:"need,omitempty"`
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
func ImagesPerRecord(valueKB float64) int { return max(1, ProductionPageTasks(valueKB)/2) }

// ImagesKey is where a page of the images lies.
func ImagesKey(page int) string { return fmt.Sprintf("%s%04d", ImagesPrefix, page) }
