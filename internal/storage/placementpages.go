package storage

import (
	"fmt"
	"strconv"
	"strings"

	"pinebay/internal/protocol"
)

// PageLayout says how the tasks of a job are divided into pages, and how pages are encoded.
type PageLayout struct {
	// TasksPerPage is how many tasks a page covers.
	TasksPerPage int
	// Compact pages list their placements by machine, and have their width in their key. Others have the original
	// layout, whose width follows from the limits of the store.
	Compact bool
}

// PageID identifies a page of a job's placements.
type PageID struct {
	Job    string
	Layout PageLayout
	Number int
}

// compactPageMark begins the last part of a compact page's key.
const compactPageMark = "w"

// Key returns the key of the page's record.
func (id PageID) Key() string {
	if id.Layout.Compact {
		return fmt.Sprintf(
			"%s%s/%s%d.%04d",
			PlacementPrefix,
			id.Job,
			compactPageMark,
			id.Layout.TasksPerPage,
			id.Number,
		)
	}
	return fmt.Sprintf("%s%s/%04d", PlacementPrefix, id.Job, id.Number)
}

// FirstTask returns the first task that the page covers.
func (id PageID) FirstTask() int { return id.Number * id.Layout.TasksPerPage }

// EndTask returns the task after the last one that the page covers.
func (id PageID) EndTask() int { return (id.Number + 1) * id.Layout.TasksPerPage }

// ParsePageKey returns the page whose key is given. Pages of the original layout cover the given number of tasks.
func ParsePageKey(key string, originalTasks int) (PageID, error) {
	job, last, ok := strings.Cut(strings.TrimPrefix(key, PlacementPrefix), "/")
	if !ok {
		return PageID{}, malformed(key, "no page in the key")
	}
	id := PageID{Job: job, Layout: PageLayout{TasksPerPage: originalTasks}}
	if rest, compact := strings.CutPrefix(last, compactPageMark); compact {
		width, number, ok := strings.Cut(rest, ".")
		tasks, err := strconv.Atoi(width)
		if !ok || err != nil || tasks < 1 || tasks > protocol.MaxTasks {
			return PageID{}, malformed(key, "page of %q tasks", width)
		}
		id.Layout, last = PageLayout{TasksPerPage: tasks, Compact: true}, number
	}
	number, err := strconv.Atoi(last)
	if err != nil || number < 0 || number > protocol.MaxTasks {
		return PageID{}, malformed(key, "page number %q", last)
	}
	id.Number = number
	return id, nil
}

// PlacementPage holds the placements and the done tasks of a run of a job's tasks. It repeats the resources of a task,
// so that an ended job still counts for its team until its tasks are gone.
type PlacementPage struct {
	WriteName      string      `msgpack:"w"`
	HighestAttempt uint64      `msgpack:"n"`           // ever given to a task of the page
	DoneRanges     [][2]int    `msgpack:"d,omitempty"` // first and last task of each
	Zones          []string    `msgpack:"z,omitempty"`
	Placements     []Placement `msgpack:"p,omitempty"`
	Team           string      `msgpack:"t"`
	CPUs           float64     `msgpack:"c"`
	GPUs           float64     `msgpack:"g"`
	MemoryGB       float64     `msgpack:"m"`
}

// Placement is a placement of a task. It is stored as a list, to save space.
type Placement struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack    struct{} `msgpack:",as_array"`
	Task        int
	Machine     string
	Incarnation uint64
	Attempt     uint64
	Zone        int // index in Zones
}

// Sizes of placements, in the JSON form that the limits count.
const (
	// PlacementBytes is an upper bound of a stored placement.
	PlacementBytes = 64
	// compactPlacementBytes is the size of a placement in a compact page if it is the only one on its machine and names
	// have their usual length.
	compactPlacementBytes = 32
	// pageFillShare is the part of a value that the placements of a page, or the loans of one, may take. The rest is
	// for the other fields.
	pageFillShare = 0.75
)

// OriginalPageTasks returns how many tasks a page of the original layout covers. A full page is well within the limit.
func OriginalPageTasks(valueKB float64) int {
	return max(1, int(valueKB*BytesPerKB*pageFillShare/PlacementBytes))
}

// CompactPageTasks returns how many tasks a page of the compact layout covers at first: as many as fit with names of
// usual length. A page that turns out too large is divided (see FitsValueLimit).
func CompactPageTasks(valueKB float64) int {
	return max(1, int(valueKB*BytesPerKB*pageFillShare/compactPlacementBytes))
}

// ZoneIndex returns the index of a zone in the record, adding it if need be.
func (r *PlacementPage) ZoneIndex(zone string) int {
	for i, z := range r.Zones {
		if z == zone {
			return i
		}
	}
	r.Zones = append(r.Zones, zone)
	return len(r.Zones) - 1
}

// AddDoneTask adds a task to the ranges. Tasks must be added in rising order.
func (r *PlacementPage) AddDoneTask(task int) {
	if n := len(r.DoneRanges); n > 0 && r.DoneRanges[n-1][1] == task-1 {
		r.DoneRanges[n-1][1] = task
		return
	}
	r.DoneRanges = append(r.DoneRanges, [2]int{task, task})
}

// compactPage is a page as the compact layout stores it.
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

// compactMachine is an incarnation of a machine with the tasks that were placed there.
type compactMachine struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack    struct{} `msgpack:",as_array"`
	Name        string
	Zone        int // index in Zones
	Incarnation uint64
	Tasks       []compactTask
}

// compactTask is a task and its attempt.
type compactTask [2]uint64

// EncodePage returns a page as its layout stores it.
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
			return nil, malformed(stored.Key, "placement of task %d in zone %d", pl.Task, pl.Zone)
		}
	}
	for _, done := range page.DoneRanges {
		if done[0] < 0 || done[1] < done[0] || done[1] >= protocol.MaxTasks {
			return nil, malformed(stored.Key, "done tasks %v", done)
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
		return nil, undecodable(stored.Key, err)
	}
	return page, nil
}

func decodeCompactPage(stored protocol.KeyValue) (*PlacementPage, error) {
	var compact compactPage
	if err := protocol.Decode(stored.Value, &compact); err != nil {
		return nil, undecodable(stored.Key, err)
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
			if task[0] >= protocol.MaxTasks { // before it is narrowed to an int
				return nil, malformed(stored.Key, "placement of task %d", task[0])
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
