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

// Level returns 0 for the highest priority, and -1 for an unknown word.
func (p Priority) Level() int {
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
	ID          string   `msgpack:"name_id"`
	Class       string   `msgpack:"docket"`
	Team        string   `msgpack:"crew"`
	Shape       Shape    `msgpack:"shape"`
	Priority    Priority `msgpack:"urgency"`
	Tasks       int      `msgpack:"pieces"`
	CPUs        float64  `msgpack:"vcpus"`
	GPUs        float64  `msgpack:"accelerators"`
	MemoryGB    float64  `msgpack:"memory_gb"`
	Image       string   `msgpack:"kit"`
	ImageGB     float64  `msgpack:"size_gb"`
	Types       []string `msgpack:"breeds,omitempty"`
	Zone        string   `msgpack:"parish,omitempty"`
	SameZone    bool     `msgpack:"same_place"`
	Spread      bool     `msgpack:"spread"`
	Spot        bool     `msgpack:"lendable"`
	EstimateS   float64  `msgpack:"reckon_s"`
	CheckpointS float64  `msgpack:"bookmark_s"`
	SaveS       float64  `msgpack:"stow_s"`
	DeadlineS   float64  `msgpack:"due_s,omitempty"`
	// Awaits are the jobs that have to be done before any task of this one starts.
	Awaits []string `msgpack:"awaits,omitempty"`
}

// submission has a pointer wherever "missing" must be told from "zero".
type submission struct {
	ID          *string   `msgpack:"name_id"`
	Class       *string   `msgpack:"docket"`
	Team        *string   `msgpack:"crew"`
	Shape       *string   `msgpack:"shape"`
	Priority    *string   `msgpack:"urgency"`
	Tasks       *int64    `msgpack:"pieces"`
	CPUs        *float64  `msgpack:"vcpus"`
	GPUs        *float64  `msgpack:"accelerators"`
	MemoryGB    *float64  `msgpack:"memory_gb"`
	Image       *string   `msgpack:"kit"`
	ImageGB     *float64  `msgpack:"size_gb"`
	Types       *[]string `msgpack:"breeds"`
	Zone        *string   `msgpack:"parish"`
	SameZone    *bool     `msgpack:"same_place"`
	Spread      *bool     `msgpack:"spread"`
	Spot        *bool     `msgpack:"lendable"`
	EstimateS   *float64  `msgpack:"reckon_s"`
	CheckpointS *float64  `msgpack:"bookmark_s"`
	SaveS       *float64  `msgpack:"stow_s"`
	DeadlineS   *float64  `msgpack:"due_s"`
	// Awaits is decoded by itself, so that a complaint names it.
	Awaits msgpack.RawMessage `msgpack:"awaits"`
}

// jobPrefix begins every job id, and maxJobID is the most letters and digits after it.
const (
	jobPrefix = "j-"
	maxJobID  = 64
)

// ValidJobID says whether id has the form that all job ids have. It is asked for every task of
// every report.
func ValidJobID(id string) bool {
	rest, ok := strings.CutPrefix(id, jobPrefix)
	if !ok || rest == "" || len(rest) > maxJobID {
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

// maxWord bounds names that come from users, well inside a stored value.
const maxWord = 200

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
		if len(*w.v) > maxWord {
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
	if Priority(*s.Priority).Level() < 0 {
		return nil, bad("urgency", "unknown")
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks {
		return nil, bad("pieces", "missing or out of range")
	}
	amounts := []struct {
		field string
		v     *float64
	}{{"vcpus", s.CPUs}, {"accelerators", s.GPUs}, {"memory_gb", s.MemoryGB}, {"size_gb", s.ImageGB},
		{"reckon_s", s.EstimateS}, {"bookmark_s", s.CheckpointS}, {"stow_s", s.SaveS}}
	for _, a := range amounts {
		if a.v == nil || !(*a.v >= 0) || math.IsInf(*a.v, 0) {
			return nil, bad(a.field, "missing or not an amount")
		}
	}
	if s.DeadlineS != nil && (!(*s.DeadlineS >= 0) || math.IsInf(*s.DeadlineS, 0)) {
		return nil, bad("due_s", "not an amount")
	}
	flags := []struct {
		field string
		v     *bool
	}{{"same_place", s.SameZone}, {"spread", s.Spread}, {"lendable", s.Spot}}
	for _, f := range flags {
		if f.v == nil {
			return nil, bad(f.field, "missing")
		}
	}
	j := &Job{
		ID: *s.ID, Class: *s.Class, Team: *s.Team, Shape: Shape(*s.Shape), Priority: Priority(*s.Priority),
		Tasks: int(*s.Tasks), CPUs: *s.CPUs, GPUs: *s.GPUs, MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB,
		SameZone: *s.SameZone, Spread: *s.Spread, Spot: *s.Spot,
		EstimateS: *s.EstimateS, CheckpointS: *s.CheckpointS, SaveS: *s.SaveS,
	}
	if s.Types != nil {
		if len(*s.Types) == 0 {
			return nil, bad("breeds", "empty")
		}
		j.Types = *s.Types
	}
	if s.Zone != nil {
		if *s.Zone == "" || len(*s.Zone) > maxWord {
			return nil, bad("parish", "not a zone")
		}
		j.Zone = *s.Zone
	}
	if s.DeadlineS != nil {
		j.DeadlineS = *s.DeadlineS
	}
	awaits, err := decodeAwaits(s.Awaits)
	if err != nil {
		return nil, bad("awaits", err.Error())
	}
	j.Awaits = awaits
	return j, nil
}

// errAwaits says what the field with the awaited jobs must be.
var errAwaits = errors.New("not a list of job ids")

// decodeAwaits reads the ids of awaited jobs, each once and in order.
func decodeAwaits(raw []byte) ([]string, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var ids []string
	if err := DecodeAny(raw, &ids); err != nil {
		return nil, errAwaits
	}
	for _, id := range ids {
		if !ValidJobID(id) {
			return nil, errAwaits
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids), nil
}

// Standing is a job's state as its user sees it.
type Standing string

// Standings of jobs.
const (
	Queued    Standing = "queued"
	Running   Standing = "running"
	Done      Standing = "done"
	Cancelled Standing = "cancelled"
)

// Final says whether a job in this standing is over.
func (s Standing) Final() bool { return s == Done || s == Cancelled }

// JobStatus answers a user.
type JobStatus struct {
	ID       string   `msgpack:"name_id" cbor:"1,keyasint"`
	Standing Standing `msgpack:"standing" cbor:"2,keyasint"`
	Done     int      `msgpack:"done" cbor:"3,keyasint"`
	Running  int      `msgpack:"running" cbor:"4,keyasint"`
	// Free says, between controllers, that all jobs that it awaits are durably done.
	Free bool `msgpack:"-" cbor:"5,keyasint,omitempty"`
}

// Problem is the body of a refusal.
type Problem struct {
	Error string `msgpack:"error"`
}
