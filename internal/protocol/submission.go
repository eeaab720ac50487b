package protocol

import (
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// maxNameBytes is the maximum length of the names that users choose. The limit leaves most of the size limit of a
// stored value to the rest of a job's record.
const maxNameBytes = 200

// submission is a job as a user submits it. Its fields are pointers, so that a missing field can be distinguished from
// a zero value.
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
	CheckpointSaveSeconds     *float64  `msgpack:"stow_s"`
	DeadlineSeconds           *float64  `msgpack:"due_s"`
	// Dependencies is decoded separately, so that an error can name the field.
	Dependencies msgpack.RawMessage `msgpack:"awaits"`
}

// DecodeJob decodes and validates a submitted job. If a field is invalid, it returns a [*MalformedError] that names the
// field. Fields are validated in a fixed order, and only the first invalid one is reported.
func DecodeJob(raw []byte) (*Job, error) {
	var s submission
	if err := Decode(raw, &s); err != nil {
		return nil, err
	}
	for _, validate := range []func() error{
		s.validateNames,
		s.validateShape,
		s.validateNumbers,
		s.validateFlags,
		s.validatePlacement,
	} {
		if err := validate(); err != nil {
			return nil, err
		}
	}
	dependencies, err := decodeDependencies(s.Dependencies)
	if err != nil {
		return nil, err
	}
	return s.job(dependencies), nil
}

// validateNames checks that all required strings are present and not too long.
func (s *submission) validateNames() error {
	names := []struct {
		field string
		value *string
	}{
		{"name_id", s.ID},
		{"docket", s.Class},
		{"crew", s.Team},
		{"shape", s.Shape},
		{"urgency", s.Priority},
		{"kit", s.Image},
	}
	for _, name := range names {
		if name.value == nil || *name.value == "" {
			return malformedField(name.field, "missing")
		}
		if len(*name.value) > maxNameBytes {
			return malformedField(name.field, "too long")
		}
	}
	return nil
}

// validateShape checks the job ID, the shape, the priority and the number of tasks. The caller has checked with
// validateNames that the strings are present.
func (s *submission) validateShape() error {
	if !ValidJobID(*s.ID) {
		return malformedField("name_id", "not a job id")
	}
	switch Shape(*s.Shape) {
	case Array, Gang, Service:
	default:
		return malformedField("shape", "unknown")
	}
	if Priority(*s.Priority).Rank() < 0 {
		return malformedField("urgency", "unknown")
	}
	if s.TaskCount == nil || *s.TaskCount < 1 || *s.TaskCount > MaxTasks {
		return malformedField("pieces", "missing or out of range")
	}
	return nil
}

// validateNumbers checks that resources and durations are finite and not negative. Only the deadline may be missing.
func (s *submission) validateNumbers() error {
	numbers := []struct {
		field string
		value *float64
	}{
		{"vcpus", s.CPUs},
		{"accelerators", s.GPUs},
		{"memory_gb", s.MemoryGB},
		{"size_gb", s.ImageGB},
		{"reckon_s", s.EstimateSeconds},
		{"bookmark_s", s.CheckpointIntervalSeconds},
		{"stow_s", s.CheckpointSaveSeconds},
	}
	for _, number := range numbers {
		if number.value == nil || !isFiniteNonNegative(*number.value) {
			return malformedField(number.field, "missing or not an amount")
		}
	}
	if s.DeadlineSeconds != nil && !isFiniteNonNegative(*s.DeadlineSeconds) {
		return malformedField("due_s", "not an amount")
	}
	return nil
}

// isFiniteNonNegative reports whether x is finite and not negative. It returns false for NaN.
func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// validateFlags checks that all required booleans are present.
func (s *submission) validateFlags() error {
	flags := []struct {
		field string
		value *bool
	}{
		{"same_place", s.SameZone},
		{"spread", s.Spread},
		{"lendable", s.SpotAllowed},
	}
	for _, flag := range flags {
		if flag.value == nil {
			return malformedField(flag.field, "missing")
		}
	}
	return nil
}

// validatePlacement checks the optional restrictions on machine types and zones.
func (s *submission) validatePlacement() error {
	if s.MachineTypes != nil && len(*s.MachineTypes) == 0 {
		return malformedField("breeds", "empty")
	}
	if s.Zone != nil && (*s.Zone == "" || len(*s.Zone) > maxNameBytes) {
		return malformedField("parish", "not a zone")
	}
	return nil
}

// decodeDependencies decodes a list of job IDs and returns it sorted and without duplicates. A missing field counts as
// an empty list.
func decodeDependencies(raw []byte) ([]string, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	var ids []string
	if err := DecodeValue(raw, &ids); err != nil {
		return nil, malformedDependencies()
	}
	for _, id := range ids {
		if !ValidJobID(id) {
			return nil, malformedDependencies()
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids), nil
}

func malformedDependencies() error { return malformedField("awaits", "not a list of job ids") }

// job converts a submission that has passed validation.
func (s *submission) job(dependencies []string) *Job {
	return &Job{
		ID:                        *s.ID,
		Class:                     *s.Class,
		Team:                      *s.Team,
		Shape:                     Shape(*s.Shape),
		Priority:                  Priority(*s.Priority),
		TaskCount:                 int(*s.TaskCount),
		CPUs:                      *s.CPUs,
		GPUs:                      *s.GPUs,
		MemoryGB:                  *s.MemoryGB,
		Image:                     *s.Image,
		ImageGB:                   *s.ImageGB,
		MachineTypes:              valueOrZero(s.MachineTypes),
		Zone:                      valueOrZero(s.Zone),
		SameZone:                  *s.SameZone,
		Spread:                    *s.Spread,
		SpotAllowed:               *s.SpotAllowed,
		EstimateSeconds:           *s.EstimateSeconds,
		CheckpointIntervalSeconds: *s.CheckpointIntervalSeconds,
		CheckpointSaveSeconds:     *s.CheckpointSaveSeconds,
		DeadlineSeconds:           valueOrZero(s.DeadlineSeconds),
		Dependencies:              dependencies,
	}
}

// valueOrZero returns the value of an optional field, or the zero value of its type if the field is missing.
func valueOrZero[T any](value *T) T {
	if value == nil {
		var zero T
		return zero
	}
	return *value
}
