package storage

import (
	"fmt"

	"pinebay/internal/protocol"
)

// Keys of the state service.
const (
	LeaderKey       = "leader"
	TermKey         = "term"
	MachineTypesKey = "types"
	LiveJobPrefix   = "live/"
	EndedJobPrefix  = "ended/"
	PlacementPrefix = "place/"
	ImageHintPrefix = "warm/"
)

// LiveJobKey is where an accepted job lives until it ends.
func LiveJobKey(id string) string { return LiveJobPrefix + id }

// EndedJobKey is where the final state of a job stays.
func EndedJobKey(id string) string { return EndedJobPrefix + id }

// LeaderRecord names the leader. It is attached to the leader's lease.
type LeaderRecord struct {
	Controller string `msgpack:"node"`
	Term       uint64 `msgpack:"term"`
}

// LiveJobRecord is an accepted job.
type LiveJobRecord struct {
	Job          protocol.Job `msgpack:"job"`
	AcceptedAtMS int64        `msgpack:"at"`
}

// EndedJobRecord is a job that is over.
type EndedJobRecord struct {
	State     protocol.JobState `msgpack:"end"`
	DoneTasks int               `msgpack:"done"`
	// WriteName names the transaction, so that its author knows it again.
	WriteName string `msgpack:"w,omitempty"`
	// CancelledDependency is the cancelled job because of which this one, which awaited it, is cancelled. Such a
	// job has never had a task.
	CancelledDependency string `msgpack:"need,omitempty"`
}

// ImageHintRecord tells which images machines have, so that a new leader does not
// send tasks to fetch what lies ready elsewhere. It is a hint, not a fact.
type ImageHintRecord struct {
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
	_msgpack  struct{} `msgpack:",as_array"`
	Class     string
	Jobs      float64
	MeanTasks float64 // of a job, in the mean
}

// MachineImages is a machine with its images, as indices.
type MachineImages struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Images   []int
}

// MachinesPerImageHint is how many machines one such record covers; a machine takes
// little more room in it than a placement in a page.
func MachinesPerImageHint(valueKB float64) int { return max(1, OriginalPageTasks(valueKB)/2) }

// ImageHintKey is where a page of the images lies.
func ImageHintKey(page int) string { return fmt.Sprintf("%s%04d", ImageHintPrefix, page) }
