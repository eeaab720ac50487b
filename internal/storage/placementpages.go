package storage

import (
	"fmt"
	"strconv"
	"strings"

	"pinebay/internal/protocol"
)

// PageLayout is the way in which the tasks of a job are divided into pages and the pages are encoded.
type PageLayout struct {
	// TasksPerPage is the number of tasks that a page covers.
	TasksPerPage int
	// Compact selects the compact layout, in which a page groups its placements by machine and its key contains the
	// number of tasks per page. Otherwise the page has the original layout, whose number of tasks per page follows from
	// the store's value limit.
	Compact bool
}

// PageID identifies a placement page of a job.
type PageID struct {
	Job    string
	Layout PageLayout
	Number int
}

// compactPagePrefix begins the last part of a compact page's key.
const compactPagePrefix = "w"

// Key returns the key of the page's record.
func (id PageID) Key() string {
	if id.Layout.Compact {
		return fmt.Sprintf(
			"%s%s/%s%d.%04d",
			PlacementPrefix,
			id.Job,
			compactPagePrefix,
			id.Layout.TasksPerPage,
			id.Number,
		)
	}
	return fmt.Sprintf("%s%s/%04d", PlacementPrefix, id.Job, id.Number)
}

// FirstTask returns the first task that the page covers.
func (id PageID) FirstTask() int { return id.Number * id.Layout.TasksPerPage }

// EndTask returns the index after the last task that the page covers.
func (id PageID) EndTask() int { return (id.Number + 1) * id.Layout.TasksPerPage }

// ParsePageKey parses the key of a page. originalTasks is the number of tasks on a page of the original layout, whose
// key does not contain it.
func ParsePageKey(key string, originalTasks int) (PageID, error) {
	job, last, ok := strings.Cut(strings.TrimPrefix(key, PlacementPrefix), "/")
	if !ok {
		return PageID{}, malformed(key, "key has no page number")
	}
	id := PageID{Job: job, Layout: PageLayout{TasksPerPage: originalTasks}}
	if rest, compact := strings.CutPrefix(last, compactPagePrefix); compact {
		width, number, ok := strings.Cut(rest, ".")
		tasks, err := strconv.Atoi(width)
		if !ok || err != nil || tasks < 1 || tasks > protocol.MaxTasks {
			return PageID{}, malformed(key, "invalid number of tasks per page %q", width)
		}
		id.Layout, last = PageLayout{TasksPerPage: tasks, Compact: true}, number
	}
	number, err := strconv.Atoi(last)
	if err != nil || number < 0 || number > protocol.MaxTasks {
		return PageID{}, malformed(key, "invalid page number %q", last)
	}
	id.Number = number
	return id, nil
}

// PlacementPage holds the placements and the done tasks of a range of a job's tasks. It includes the resources of a
// task, so that an ended job counts towards its team's usage until its tasks are gone.
type PlacementPage struct {
	WriteName      string      `msgpack:"w"`
	HighestAttempt uint64      `msgpack:"n"`           // highest attempt number ever given to a task of the page
	DoneRanges     [][2]int    `msgpack:"d,omitempty"` // first and last task of each range
	Zones          []string    `msgpack:"z,omitempty"`
	Placements     []Placement `msgpack:"p,omitempty"`
	Team           string      `msgpack:"t"`
	CPUs           float64     `msgpack:"c"`
	GPUs           float64     `msgpack:"g"`
	MemoryGB       float64     `msgpack:"m"`
}

// Placement is a placement of a task. It is encoded as an array, to save space.
type Placement struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack    struct{} `msgpack:",as_array"`
	Task        int
	Machine     string
	Incarnation uint64
	Attempt     uint64
	Zone        int // index in Zones
}

// Sizes of placements in JSON, the encoding in which the store measures values against its limits.
const (
	// MaxPlacementBytes is an upper bound of the size of a stored placement.
	MaxPlacementBytes = 64
	// compactPlacementBytes is the size of a placement in a compact page if it is the only one on its machine and names
	// have their usual length.
	compactPlacementBytes = 32
	// pageFillShare is the fraction of the value limit that the placements or loans of a page may take. The rest is for
	// the other fields.
	pageFillShare = 0.75
)

// OriginalTasksPerPage returns the number of tasks on a page of the original layout. A full page is well within the
// value limit.
func OriginalTasksPerPage(valueKB float64) int {
	return max(1, int(valueKB*BytesPerKiB*pageFillShare/MaxPlacementBytes))
}

// CompactTasksPerPage returns the initial number of tasks on a page of the compact layout: as many as fit if names have
// their usual length. A page that exceeds the limit nevertheless (see FitsValueLimit) is split.
func CompactTasksPerPage(valueKB float64) int {
	return max(1, int(valueKB*BytesPerKiB*pageFillShare/compactPlacementBytes))
}

// ZoneIndex returns the index of a zone in Zones, adding the zone if necessary.
func (r *PlacementPage) ZoneIndex(zone string) int {
	for i, z := range r.Zones {
		if z == zone {
			return i
		}
	}
	r.Zones = append(r.Zones, zone)
	return len(r.Zones) - 1
}

// AddDoneTask adds a task to DoneRanges. Tasks must be added in ascending order.
func (r *PlacementPage) AddDoneTask(task int) {
	if n := len(r.DoneRanges); n > 0 && r.DoneRanges[n-1][1] == task-1 {
		r.DoneRanges[n-1][1] = task
		return
	}
	r.DoneRanges = append(r.DoneRanges, [2]int{task, task})
}

// compactPage is the encoding of a page in the compact layout.
type compactPage struct {
	WriteName      string           `msgpack:"w"`
	HighestAttempt uint64           `msgpack:"n"`
	DoneRanges     [][2]int         `msgpack:"d,omitempty"`
	Zones          []string         `msgpack:"z,omitempty"`
	Machines       []compactMachine `msgpack:"h,omitempty"`
	Team           string           `msgpack:"t"`
	CPUs           float64          `msgpack:"c"`
	GPUs           float64          `msgpack:"g"`
	MemoryGB       float64          `msgpack:"m"`
}

// compactMachine lists the tasks that are placed on one incarnation of a machine.
type compactMachine struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack    struct{} `msgpack:",as_array"`
	Name        string
	Zone        int // index in Zones
	Incarnation uint64
	Tasks       []compactTask
}

// compactTask is the index of a task and its attempt number.
type compactTask [2]uint64

// EncodePage encodes a page in the given layout.
func EncodePage(r *PlacementPage, layout PageLayout) ([]byte, error) {
	if !layout.Compact {
		return protocol.Encode(r)
	}
	page := compactPage{
		WriteName:      r.WriteName,
		HighestAttempt: r.HighestAttempt,
		DoneRanges:     r.DoneRanges,
		Zones:          r.Zones,
		Team:           r.Team,
		CPUs:           r.CPUs,
		GPUs:           r.GPUs,
		MemoryGB:       r.MemoryGB,
	}
	type machineKey struct {
		name        string
		incarnation uint64
		zone        int
	}
	index := map[machineKey]int{}
	for _, pl := range r.Placements {
		key := machineKey{pl.Machine, pl.Incarnation, pl.Zone}
		i, ok := index[key]
		if !ok {
			i = len(page.Machines)
			index[key] = i
			page.Machines = append(
				page.Machines,
				compactMachine{Name: pl.Machine, Zone: pl.Zone, Incarnation: pl.Incarnation},
			)
		}
		page.Machines[i].Tasks = append(page.Machines[i].Tasks, compactTask{uint64(pl.Task), pl.Attempt})
	}
	return protocol.Encode(page)
}

// DecodePage decodes and validates a page of the given layout.
func DecodePage(stored protocol.KeyValue, layout PageLayout) (*PlacementPage, error) {
	page, err := decodePage(stored, layout)
	if err != nil {
		return nil, err
	}
	for _, pl := range page.Placements {
		if pl.Zone < 0 || pl.Zone >= len(page.Zones) || pl.Task < 0 || pl.Task >= protocol.MaxTasks {
			return nil, malformed(stored.Key, "invalid placement of task %d with zone index %d", pl.Task, pl.Zone)
		}
	}
	for _, done := range page.DoneRanges {
		if done[0] < 0 || done[1] < done[0] || done[1] >= protocol.MaxTasks {
			return nil, malformed(stored.Key, "invalid range of done tasks %v", done)
		}
	}
	return page, nil
}

func decodePage(stored protocol.KeyValue, layout PageLayout) (*PlacementPage, error) {
	if layout.Compact {
		return decodeCompactPage(stored)
	}
	page := &PlacementPage{}
	if err := protocol.Decode(stored.Value, page); err != nil {
		return nil, decodeError(stored.Key, err)
	}
	return page, nil
}

func decodeCompactPage(stored protocol.KeyValue) (*PlacementPage, error) {
	var compact compactPage
	if err := protocol.Decode(stored.Value, &compact); err != nil {
		return nil, decodeError(stored.Key, err)
	}
	page := &PlacementPage{
		WriteName:      compact.WriteName,
		HighestAttempt: compact.HighestAttempt,
		DoneRanges:     compact.DoneRanges,
		Zones:          compact.Zones,
		Team:           compact.Team,
		CPUs:           compact.CPUs,
		GPUs:           compact.GPUs,
		MemoryGB:       compact.MemoryGB,
	}
	for _, machine := range compact.Machines {
		for _, task := range machine.Tasks {
			if task[0] >= protocol.MaxTasks { // checked before the conversion to int
				return nil, malformed(stored.Key, "invalid placement of task %d", task[0])
			}
			page.Placements = append(page.Placements, Placement{
				Task:        int(task[0]),
				Machine:     machine.Name,
				Incarnation: machine.Incarnation,
				Attempt:     task[1],
				Zone:        machine.Zone,
			})
		}
	}
	return page, nil
}
