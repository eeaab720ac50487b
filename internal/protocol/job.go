package protocol

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Shape says how a job's tasks belong together.
type Shape string

// Shapes of jobs.
const (
	Array   Shape = "array"
	Gang    Shape = "group"
	Service Shape = "daemon"
)

// Priority orders jobs.
type Priority string

// Rank returns 0 for the highest priority, and -1 for an unknown word.
func (p Priority) Rank() int {
	switch p {
	case "critical":
		return 0
	case "urgent":
		return 1
	case "normal":
		return 2
	case "best_effort":
		return 3
	}
	return -1
}

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

// Job is what a user submits.
type Job struct {
	ID                        string   `msgpack:"name_id"`
	Class                     string   `msgpack:"docket"`
	Team                      string   `msgpack:"crew"`
	Shape                     Shape    `msgpack:"shape"`
	Priority                  Priority `msgpack:"urgency"`
	TaskCount                 int      `msgpack:"pieces"`
	CPUs                      float64  `msgpack:"vcpus"`
	GPUs                      float64  `msgpack:"accelerators"`
	MemoryGB                  float64  `msgpack:"memory_gb"`
	Image                     string   `msgpack:"kit"`
	ImageGB                   float64  `msgpack:"size_gb"`
	MachineTypes              []string `msgpack:"breeds,omitempty"`
	Zone                      string   `msgpack:"parish,omitempty"`
	SameZone                  bool     `msgpack:"same_place"`
	Spread                    bool     `msgpack:"spread"`
	SpotAllowed               bool     `msgpack:"lendable"`
	EstimateSeconds           float64  `msgpack:"reckon_s"`
	CheckpointIntervalSeconds float64  `msgpack:"bookmark_s"`
	SaveSeconds               float64  `msgpack:"stow_s"`
	DeadlineSeconds           float64  `msgpack:"due_s,omitempty"`
	// Dependencies are the jobs that have to be done before any task of this one starts.
	Dependencies []string `msgpack:"awaits,omitempty"`
}

// submission has a pointer wherever "missing" must be told from "zero".
type submission struct {
	ID                        *string   `msgpack:"name_id"`
	Class                     *string   `msgpack:"docket"`
	Team                      *string   `msgpack:"crew"`
	Shape                     *string   `msgpack:"shape"`
	Priority                  *string   `msgpack:"urgency"`
	TaskCount                 *int64    `msgpack:"pieces"`
	CPUs                      *float64  `msgpack:"vcpus"`
	GPUs                      *float64  `msgpack:"accelerators"`
	MemoryGB                  *float64  `msgpack:"memory_gb"`
	Image                     *string   `msgpack:"kit"`
	ImageGB                   *float64  `msgpack:"size_gb"`
	MachineTypes              *[]string `msgpack:"breeds"`
	Zone                      *string   `msgpack:"parish"`
	SameZone                  *bool     `msgpack:"same_place"`
	Spread                    *bool     `msgpack:"spread"`
	SpotAllowed               *bool     `msgpack:"lendable"`
	EstimateSeconds           *float64  `msgpack:"reckon_s"`
	CheckpointIntervalSeconds *float64  `msgpack:"bookmark_s"`
	SaveSeconds               *float64  `msgpack:"stow_s"`
	DeadlineSeconds           *float64  `msgpack:"due_s"`
	// Dependencies is decoded by itself, so that a complaint names it.
	Dependencies msgpack.RawMessage `msgpack:"awaits"`
}

// jobIDPrefix begins every job id, and maxJobIDSuffix is the most letters and digits after it.
const (
	jobIDPrefix    = "j-"
	maxJobIDSuffix = 64
)

// ValidJobID says whether id has the form that all job ids have. It is asked for every task of
// every report.
func ValidJobID(id string) bool {
	rest, ok := strings.CutPrefix(id, jobIDPrefix)
	if !ok || rest == "" || len(rest) > maxJobIDSuffix {
		return false
	}
	for i := range len(rest) {
		c := rest[i]
		if !(c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z') {
			return false
		}
	}
	return true
}

// maxNameBytes bounds names that come from users, well inside a stored value.
const maxNameBytes = 200

// DecodeJob reads and checks a submission.
func DecodeJob(raw []byte) (*Job, error) {
	var s submission
	if err := Decode(raw, &s); err != nil {
		return nil, err
	}
	bad := func(field, why string) error { return fmt.Errorf("%w: field %s: %s", ErrMalformed, field, why) }
	words := []struct {
		field string
		v     *string
	}{{"name_id", s.ID}, {"docket", s.Class}, {"crew", s.Team}, {"shape", s.Shape}, {"urgency", s.Priority}, {"kit", s.Image}}
	for _, w := range words {
		if w.v == nil || *w.v == "" {
			return nil, bad(w.field, "missing")
		}
		if len(*w.v) > maxNameBytes {
			return nil, bad(w.field, "too long")
		}
	}
	if !ValidJobID(*s.ID) {
		return nil, bad("name_id", "not a job id")
	}
	switch Shape(*s.Shape) {
	case Array, Gang, Service:
	default:
		return nil, bad("shape", "unknown")
	}
	if Priority(*s.Priority).Rank() < 0 {
		return nil, bad("urgency", "unknown")
	}
	if s.TaskCount == nil || *s.TaskCount < 1 || *s.TaskCount > MaxTasks {
		return nil, bad("pieces", "missing or out of range")
	}
	amounts := []struct {
		field string
		v     *float64
	}{
		{"vcpus", s.CPUs},
		{"accelerators", s.GPUs},
		{"memory_gb", s.MemoryGB},
		{"size_gb", s.ImageGB},
		{"reckon_s", s.EstimateSeconds},
		{"bookmark_s", s.CheckpointIntervalSeconds},
		{"stow_s", s.SaveSeconds},
	}
	for _, a := range amounts {
		if a.v == nil || !(*a.v >= 0) || math.IsInf(*a.v, 0) {
			return nil, bad(a.field, "missing or not an amount")
		}
	}
	if s.DeadlineSeconds != nil && (!(*s.DeadlineSeconds >= 0) || math.IsInf(*s.DeadlineSeconds, 0)) {
		return nil, bad("due_s", "not an amount")
	}
	flags := []struct {
		field string
		v     *bool
	}{{"same_place", s.SameZone}, {"spread", s.Spread}, {"lendable", s.SpotAllowed}}
	for _, f := range flags {
		if f.v == nil {
			return nil, bad(f.field, "missing")
		}
	}
	j := &Job{
		ID:       *s.ID,
		Class:    *s.Class,
		Team:     *s.Team,
		Shape:    Shape(*s.Shape),
		Priority: Priority(*s.Priority),
		TaskCount: int(
			*s.TaskCount,
		),
		CPUs:                      *s.CPUs,
		GPUs:                      *s.GPUs,
		MemoryGB:                  *s.MemoryGB,
		Image:                     *s.Image,
		ImageGB:                   *s.ImageGB,
		SameZone:                  *s.SameZone,
		Spread:                    *s.Spread,
		SpotAllowed:               *s.SpotAllowed,
		EstimateSeconds:           *s.EstimateSeconds,
		CheckpointIntervalSeconds: *s.CheckpointIntervalSeconds,
		SaveSeconds:               *s.SaveSeconds,
	}
	if s.MachineTypes != nil {
		if len(*s.MachineTypes) == 0 {
			return nil, bad("breeds", "empty")
		}
		j.MachineTypes = *s.MachineTypes
	}
	if s.Zone != nil {
		if *s.Zone == "" || len(*s.Zone) > maxNameBytes {
			return nil, bad("parish", "not a zone")
		}
		j.Zone = *s.Zone
	}
	if s.DeadlineSeconds != nil {
		j.DeadlineSeconds = *s.DeadlineSeconds
	}
	awaits, err := decodeDependencies(s.Dependencies)
	if err != nil {
		return nil, bad("awaits", err.Error())
	}
	j.Dependencies = awaits
	return j, nil
}

// errNotJobIDs says what the field with the awaited jobs must be.
var errNotJobIDs = errors.New("not a list of job ids")

// decodeDependencies reads the ids of awaited jobs, each once and in order.
func decodeDependencies(raw []byte) ([]string, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var ids []string
	if err := DecodeAny(raw, &ids); err != nil {
		return nil, errNotJobIDs
	}
	for _, id := range ids {
		if !ValidJobID(id) {
			return nil, errNotJobIDs
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids), nil
}

// JobState is a job's state as its user sees it.
type JobState string

// Standings of jobs.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// Final says whether a job in this standing is over.
func (s JobState) Final() bool { return s == JobDone || s == JobCancelled }

// JobStatus answers a user.
type JobStatus struct {
	ID           string   `msgpack:"name_id"  cbor:"1,keyasint"`
	State        JobState `msgpack:"standing" cbor:"2,keyasint"`
	DoneTasks    int      `msgpack:"done"     cbor:"3,keyasint"`
	RunningTasks int      `msgpack:"running"  cbor:"4,keyasint"`
	// Unblocked says, between controllers, that all jobs that it awaits are durably done.
	Unblocked bool `msgpack:"-" cbor:"5,keyasint,omitempty"`
}

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Error string `msgpack:"error"`
}
