package storage

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"pinebay/internal/protocol"
)

// PageLayout says how the pages of a job's placements are cut and written.
type PageLayout struct {
	// TasksPerPage is how many tasks a page covers.
	TasksPerPage int
	// Compact pages list their placements by machine, and have their width in their key. Others are of the
	// first layout, whose width follows from the state service's limits.
	Compact bool
}

// PageID tells one page of a job's placements from others.
type PageID struct {
	Job    string
	Layout PageLayout
	Number int
}

// Key is where the page lies.
func (n PageID) Key() string {
	if n.Layout.Compact {
		return fmt.Sprintf("%s%s/%s%d.%04d", PlacementPrefix, n.Job, compactPageMark, n.Layout.TasksPerPage, n.Number)
	}
	return fmt.Sprintf("%s%s/%04d", PlacementPrefix, n.Job, n.Number)
}

// compactPageMark begins the last part of a compact page's key.
const compactPageMark = "w"

// FirstTask returns the first task that the page covers, and End the one after its last.
func (n PageID) FirstTask() int { return n.Number * n.Layout.TasksPerPage }

// EndTask returns the task after the last one that the page covers.
func (n PageID) EndTask() int { return (n.Number + 1) * n.Layout.TasksPerPage }

// ParsePageKey reads the name in a key; pages of the first layout have the given width.
func ParsePageKey(key string, productionWidth int) (PageID, error) {
	id, last, ok := strings.Cut(strings.TrimPrefix(key, PlacementPrefix), "/")
	if !ok {
		return PageID{}, fmt.Errorf("%w: key %q", errMalformedPage, key)
	}
	name := PageID{Job: id, Layout: PageLayout{TasksPerPage: productionWidth}}
	if rest, compact := strings.CutPrefix(last, compactPageMark); compact {
		width, number, ok := strings.Cut(rest, ".")
		w, err := strconv.Atoi(width)
		if !ok || err != nil || w < 1 || w > protocol.MaxTasks {
			return PageID{}, fmt.Errorf("%w: key %q", errMalformedPage, key)
		}
		name.Layout, last = PageLayout{TasksPerPage: w, Compact: true}, number
	}
	number, err := strconv.Atoi(last)
	if err != nil || number < 0 || number > protocol.MaxTasks {
		return PageID{}, fmt.Errorf("%w: key %q", errMalformedPage, key)
	}
	name.Number = number
	return name, nil
}

// PlacementPage holds the placements and done tasks of a run of a job's tasks.
// It repeats what the tasks take, so that a job that is over still counts for
// its team until its tasks are gone.
type PlacementPage struct {
	WriteName      string      `msgpack:"w"`
	HighestAttempt uint64      `msgpack:"n"` // highest attempt ever written
	DoneRanges     [][2]int    `msgpack:"d,omitempty"`
	Zones          []string    `msgpack:"z,omitempty"`
	Placements     []Placement `msgpack:"p,omitempty"`
	Team           string      `msgpack:"t"`
	CPUs           float64     `msgpack:"c"`
	GPUs           float64     `msgpack:"g"`
	MemoryGB       float64     `msgpack:"m"`
}

// Placement is one placement. It is stored as a list, for values are small.
type Placement struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack    struct{} `msgpack:",as_array"`
	Task        int
	Machine     string
	Incarnation uint64
	Attempt     uint64
	Zone        int // index in Zones
}

// PlacementBytes bounds a stored placement, in the JSON form that limits count.
const PlacementBytes = 64

// OriginalPageTasks returns how many tasks a page of the first layout covers, so that a full page with
// its head stays well inside a value.
func OriginalPageTasks(valueKB float64) int {
	return max(1, int(valueKB*1024*placementShareOfValue/PlacementBytes))
}

// CompactPageTasks returns how many tasks a page of the compact layout covers at first: as many as
// fit with names of usual length. A page that turns out too large is split (see Fits).
func CompactPageTasks(valueKB float64) int {
	return max(1, int(valueKB*1024*placementShareOfValue/compactPlacementBytes))
}

// placementShareOfValue is the part of a value that a page's placements may take; the rest is for its head.
const placementShareOfValue = 0.75

// compactPlacementBytes is what a placement takes in a compact page, in the JSON form that limits count,
// if it is alone on its machine and names are of usual length.
const compactPlacementBytes = 32

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

// AddDoneTask appends a task to the ranges; tasks must come in rising order.
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

// compactMachine is a session of a machine with the tasks that were placed there, each with its attempt.
type compactMachine struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack    struct{} `msgpack:",as_array"`
	Name        string
	Zone        int // index in Zones
	Incarnation uint64
	Tasks       []compactTask
}

// compactTask is a task with its attempt.
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
	type session struct {
		machine string
		number  uint64
		zone    int
	}
	index := map[session]int{}
	for _, pl := range r.Placements {
		key := session{pl.Machine, pl.Incarnation, pl.Zone}
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

var errMalformedPage = errors.New("page record out of form")

// DecodePage reads and checks a page of the given layout.
func DecodePage(raw []byte, layout PageLayout) (*PlacementPage, error) {
	rec := &PlacementPage{}
	var err error
	if layout.Compact {
		err = decodeCompactPage(raw, rec)
	} else {
		err = protocol.Decode(raw, rec)
	}
	if err != nil {
		return nil, err
	}
	for _, pl := range rec.Placements {
		if pl.Zone < 0 || pl.Zone >= len(rec.Zones) || pl.Task < 0 || pl.Task >= protocol.MaxTasks {
			return nil, fmt.Errorf("%w: placement of task %d", errMalformedPage, pl.Task)
		}
	}
	for _, d := range rec.DoneRanges {
		if d[0] < 0 || d[1] < d[0] || d[1] >= protocol.MaxTasks {
			return nil, fmt.Errorf("%w: done range %v", errMalformedPage, d)
		}
	}
	return rec, nil
}

// decodeCompactPage reads a compact page.
func decodeCompactPage(raw []byte, rec *PlacementPage) error {
	var page compactPage
	if err := protocol.Decode(raw, &page); err != nil {
		return err
	}
	*rec = PlacementPage{
		WriteName:      page.WriteName,
		HighestAttempt: page.HighestAttempt,
		DoneRanges:     page.DoneRanges,
		Zones:          page.Zones,
		Team:           page.Team,
		CPUs:           page.CPUs,
		GPUs:           page.GPUs,
		MemoryGB:       page.MemoryGB,
	}
	for _, m := range page.Machines {
		for _, task := range m.Tasks {
			if task[0] >= protocol.MaxTasks {
				return fmt.Errorf("%w: placement of task %d", errMalformedPage, task[0])
			}
			rec.Placements = append(
				rec.Placements,
				Placement{
					Task:        int(task[0]),
					Machine:     m.Name,
					Incarnation: m.Incarnation,
					Attempt:     task[1],
					Zone:        m.Zone,
				},
			)
		}
	}
	return nil
}
