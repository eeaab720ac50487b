package storage

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"pinebay/internal/protocol"
)

// Layout says how the pages of a job's placements are cut and written.
type Layout struct {
	// Width is how many tasks a page covers.
	Width int
	// Compact pages list their placements by machine, and have their width in their key. Others are of the
	// first layout, whose width follows from the state service's limits.
	Compact bool
}

// PageName tells one page of a job's placements from others.
type PageName struct {
	Job    string
	Layout Layout
	Number int
}

// Key is where the page lies.
func (n PageName) Key() string {
	if n.Layout.Compact {
		return fmt.Sprintf("%s%s/%s%d.%04d", PlacePrefix, n.Job, compactMark, n.Layout.Width, n.Number)
	}
	return fmt.Sprintf("%s%s/%04d", PlacePrefix, n.Job, n.Number)
}

// compactMark begins the last part of a compact page's key.
const compactMark = "w"

// First returns the first task that the page covers, and End the one after its last.
func (n PageName) First() int { return n.Number * n.Layout.Width }

// End returns the task after the last one that the page covers.
func (n PageName) End() int { return (n.Number + 1) * n.Layout.Width }

// ParsePageName reads the name in a key; pages of the first layout have the given width.
func ParsePageName(key string, productionWidth int) (PageName, error) {
	id, last, ok := strings.Cut(strings.TrimPrefix(key, PlacePrefix), "/")
	if !ok {
		return PageName{}, fmt.Errorf("%w: key %q", errPage, key)
	}
	name := PageName{Job: id, Layout: Layout{Width: productionWidth}}
	if rest, compact := strings.CutPrefix(last, compactMark); compact {
		width, number, ok := strings.Cut(rest, ".")
		w, err := strconv.Atoi(width)
		if !ok || err != nil || w < 1 || w > protocol.MaxTasks {
			return PageName{}, fmt.Errorf("%w: key %q", errPage, key)
		}
		name.Layout, last = Layout{Width: w, Compact: true}, number
	}
	number, err := strconv.Atoi(last)
	if err != nil || number < 0 || number > protocol.MaxTasks {
		return PageName{}, fmt.Errorf("%w: key %q", errPage, key)
	}
	name.Number = number
	return name, nil
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

// ProductionPageTasks returns how many tasks a page of the first layout covers, so that a full page with
// its head stays well inside a value.
func ProductionPageTasks(valueKB float64) int {
	return max(1, int(valueKB*1024*pageShare/PlaceBytes))
}

// CompactPageTasks returns how many tasks a page of the compact layout covers at first: as many as
// fit with names of usual length. A page that turns out too large is split (see Fits).
func CompactPageTasks(valueKB float64) int {
	return max(1, int(valueKB*1024*pageShare/compactPlaceBytes))
}

// pageShare is the part of a value that a page's placements may take; the rest is for its head.
const pageShare = 0.75

// compactPlaceBytes is what a placement takes in a compact page, in the JSON form that limits count,
// if it is alone on its machine and names are of usual length.
const compactPlaceBytes = 32

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

// compactPage is a page as the compact layout stores it.
type compactPage struct {
	Write    string           `msgpack:"w"`
	Attempts uint64           `msgpack:"n"`
	Done     [][2]int         `msgpack:"d,omitempty"`
	Zones    []string         `msgpack:"z,omitempty"`
	Machines []compactMachine `msgpack:"h,omitempty"`
	Team     string           `msgpack:"t"`
	CPUs     float64          `msgpack:"c"`
	GPUs     float64          `msgpack:"g"`
	MemoryGB float64          `msgpack:"m"`
}

// compactMachine is a session of a machine with the tasks that were placed there, each with its attempt.
type compactMachine struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Zone     int // index in Zones
	Session  uint64
	Tasks    []compactTask
}

// compactTask is a task with its attempt.
type compactTask [2]uint64

// EncodePage returns a page as its layout stores it.
func EncodePage(r *PageRecord, layout Layout) ([]byte, error) {
	if !layout.Compact {
		return protocol.Encode(r)
	}
	page := compactPage{Write: r.Write, Attempts: r.Attempts, Done: r.Done, Zones: r.Zones, Team: r.Team, CPUs: r.CPUs, GPUs: r.GPUs, MemoryGB: r.MemoryGB}
	type session struct {
		machine string
		number  uint64
		zone    int
	}
	index := map[session]int{}
	for _, pl := range r.Places {
		key := session{pl.Machine, pl.Session, pl.Zone}
		i, ok := index[key]
		if !ok {
			i = len(page.Machines)
			index[key] = i
			page.Machines = append(page.Machines, compactMachine{Name: pl.Machine, Zone: pl.Zone, Session: pl.Session})
		}
		page.Machines[i].Tasks = append(page.Machines[i].Tasks, compactTask{uint64(pl.Task), pl.Attempt})
	}
	return protocol.Encode(page)
}

var errPage = errors.New("page record out of form")

// DecodePage reads and checks a page of the given layout.
func DecodePage(raw []byte, layout Layout) (*PageRecord, error) {
	rec := &PageRecord{}
	var err error
	if layout.Compact {
		err = decodeCompact(raw, rec)
	} else {
		err = protocol.Decode(raw, rec)
	}
	if err != nil {
		return nil, err
	}
	for _, pl := range rec.Places {
		if pl.Zone < 0 || pl.Zone >= len(rec.Zones) || pl.Task < 0 || pl.Task >= protocol.MaxTasks {
			return nil, fmt.Errorf("%w: placement of task %d", errPage, pl.Task)
		}
	}
	for _, d := range rec.Done {
		if d[0] < 0 || d[1] < d[0] || d[1] >= protocol.MaxTasks {
			return nil, fmt.Errorf("%w: done range %v", errPage, d)
		}
	}
	return rec, nil
}

// decodeCompact reads a compact page.
func decodeCompact(raw []byte, rec *PageRecord) error {
	var page compactPage
	if err := protocol.Decode(raw, &page); err != nil {
		return err
	}
	*rec = PageRecord{Write: page.Write, Attempts: page.Attempts, Done: page.Done, Zones: page.Zones, Team: page.Team, CPUs: page.CPUs, GPUs: page.GPUs, MemoryGB: page.MemoryGB}
	for _, m := range page.Machines {
		for _, task := range m.Tasks {
			if task[0] >= protocol.MaxTasks {
				return fmt.Errorf("%w: placement of task %d", errPage, task[0])
			}
			rec.Places = append(rec.Places, Place{Task: int(task[0]), Machine: m.Name, Session: m.Session, Attempt: task[1], Zone: m.Zone})
		}
	}
	return nil
}
