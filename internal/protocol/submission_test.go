package protocol

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var priorities = []Priority{PriorityCritical, PriorityUrgent, PriorityNormal, PriorityBestEffort}

// nameGenerator returns a generator of valid names.
func nameGenerator() *rapid.Generator[string] { return rapid.StringMatching(`[a-z][a-z0-9-]{0,20}`) }

// numberGenerator returns a generator of valid resource amounts and durations.
func numberGenerator() *rapid.Generator[float64] { return rapid.Float64Range(0, 1e6) }

// drawJob draws a random valid job.
func drawJob(t *rapid.T) Job {
	j := Job{
		ID:                        "j-" + rapid.StringMatching(`[0-9]{6}`).Draw(t, "id"),
		Class:                     nameGenerator().Draw(t, "class"),
		Team:                      nameGenerator().Draw(t, "team"),
		Shape:                     rapid.SampledFrom([]Shape{Array, Gang, Service}).Draw(t, "shape"),
		Priority:                  rapid.SampledFrom(priorities).Draw(t, "priority"),
		TaskCount:                 rapid.IntRange(1, MaxTasks).Draw(t, "tasks"),
		CPUs:                      numberGenerator().Draw(t, "cpus"),
		GPUs:                      numberGenerator().Draw(t, "gpus"),
		MemoryGB:                  numberGenerator().Draw(t, "mem"),
		Image:                     nameGenerator().Draw(t, "image"),
		ImageGB:                   numberGenerator().Draw(t, "gb"),
		SameZone:                  rapid.Bool().Draw(t, "same"),
		Spread:                    rapid.Bool().Draw(t, "spread"),
		SpotAllowed:               rapid.Bool().Draw(t, "spot"),
		EstimateSeconds:           numberGenerator().Draw(t, "est"),
		CheckpointIntervalSeconds: numberGenerator().Draw(t, "cp"),
		CheckpointSaveSeconds:     numberGenerator().Draw(t, "save"),
	}
	if rapid.Bool().Draw(t, "limited") {
		j.MachineTypes = rapid.SliceOfN(nameGenerator(), 1, 4).Draw(t, "types")
		j.Zone = nameGenerator().Draw(t, "zone")
		j.DeadlineSeconds = rapid.Float64Range(1, 1e6).Draw(t, "due")
	}
	return j
}

// wireFields returns the fields of a job by their wire names.
func wireFields(t *rapid.T, j Job) map[string]any {
	t.Helper()
	raw, err := Encode(j)
	if err != nil {
		t.Fatal(err)
	}
	var m map[string]any
	if err := DecodeValue(raw, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

// TestJobRoundTrip checks that random jobs are the same after encoding and decoding. Unknown fields are ignored, and
// null counts as a missing optional field.
func TestJobRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		m := wireFields(t, j)
		m["from_the_future"] = []any{map[string]any{"x": 1}, nil} // unknown fields are ignored
		if rapid.Bool().Draw(t, "nulls") && j.MachineTypes == nil {
			m["breeds"], m["parish"], m["due_s"] = nil, nil, nil
		}
		raw, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeJob(raw)
		if err != nil {
			t.Fatalf("decoding %v: %v", m, err)
		}
		if !reflect.DeepEqual(*got, j) {
			t.Fatalf("got %+v, want %+v", *got, j)
		}
	})
}

// TestInvalidSubmissionsAreMalformed checks that a submission with an invalid or missing required field is rejected
// with an error that matches ErrMalformed.
func TestInvalidSubmissionsAreMalformed(t *testing.T) {
	optional := map[string]bool{"breeds": true, "parish": true, "due_s": true}
	rapid.Check(t, func(t *rapid.T) {
		m := wireFields(t, drawJob(t))
		var fields []string
		for f := range m {
			if !optional[f] {
				fields = append(fields, f)
			}
		}
		f := rapid.SampledFrom(fields).Draw(t, "field")
		bad := map[string]any{
			"missing":  nil,
			"list":     []any{1},
			"negative": -1.5,
			"nan":      math.NaN(),
			"inf":      math.Inf(1),
			"map":      map[string]any{},
			"long":     strings.Repeat("x", maxNameBytes+1),
		}
		kind := rapid.SampledFrom([]string{"missing", "list", "negative", "nan", "inf", "map", "long"}).Draw(t, "kind")
		if kind == "missing" {
			delete(m, f)
		} else {
			m[f] = bad[kind]
		}
		raw, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeJob(raw); !errors.Is(err, ErrMalformed) {
			t.Fatalf("field %s with %s: error %v, want one that matches ErrMalformed", f, kind, err)
		}
	})
}

// TestSubmissionErrors checks the text of each validation error, which is part of the response to the user, and that
// the error names the field.
func TestSubmissionErrors(t *testing.T) {
	valid := Job{
		ID:        "j-1",
		Class:     "c",
		Team:      "red",
		Shape:     Array,
		Priority:  "normal",
		TaskCount: 1,
		CPUs:      1,
		Image:     "i",
	}
	for name, x := range map[string]struct {
		field string
		value any
		want  string
	}{
		"no id":                {"name_id", nil, "malformed: field name_id: missing"},
		"an empty class":       {"docket", "", "malformed: field docket: missing"},
		"a long team":          {"crew", strings.Repeat("x", 201), "malformed: field crew: too long"},
		"not a job id":         {"name_id", "x-1", "malformed: field name_id: not a job id"},
		"an unknown shape":     {"shape", "ring", "malformed: field shape: unknown"},
		"an unknown priority":  {"urgency", "low", "malformed: field urgency: unknown"},
		"no tasks":             {"pieces", 0, "malformed: field pieces: missing or out of range"},
		"too many tasks":       {"pieces", 100_001, "malformed: field pieces: missing or out of range"},
		"a negative amount":    {"vcpus", -1.0, "malformed: field vcpus: missing or not an amount"},
		"a missing amount":     {"stow_s", nil, "malformed: field stow_s: missing or not an amount"},
		"a negative deadline":  {"due_s", -1.0, "malformed: field due_s: not an amount"},
		"a missing flag":       {"spread", nil, "malformed: field spread: missing"},
		"no machine types":     {"breeds", []string{}, "malformed: field breeds: empty"},
		"an empty zone":        {"parish", "", "malformed: field parish: not a zone"},
		"a long zone":          {"parish", strings.Repeat("x", 201), "malformed: field parish: not a zone"},
		"invalid dependencies": {"awaits", []string{"x"}, "malformed: field awaits: not a list of job ids"},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := Encode(valid)
			if err != nil {
				t.Fatal(err)
			}
			var fields map[string]any
			if err := DecodeValue(raw, &fields); err != nil {
				t.Fatal(err)
			}
			fields[x.field] = x.value
			if raw, err = Encode(fields); err != nil {
				t.Fatal(err)
			}
			_, err = DecodeJob(raw)
			var malformed *MalformedError
			if !errors.As(err, &malformed) || !errors.Is(err, ErrMalformed) {
				t.Fatalf("%v is not a MalformedError", err)
			}
			if malformed.Field != x.field || err.Error() != x.want {
				t.Errorf("field %q, %q, want %q", malformed.Field, err, x.want)
			}
		})
	}
}

// TestSubmissionDependencies checks that dependencies are decoded without duplicates, that null and an empty list mean
// no dependencies, and that an error names the field.
func TestSubmissionDependencies(t *testing.T) {
	job := Job{ID: "j-1", Class: "c", Team: "red", Shape: Array, Priority: "normal", TaskCount: 1, CPUs: 1, Image: "i"}
	for name, x := range map[string]struct {
		awaits any
		want   []string
		bad    bool
	}{
		"null":          {nil, nil, false},
		"none":          {[]string{}, nil, false},
		"two":           {[]string{"j-3", "j-2"}, []string{"j-2", "j-3"}, false},
		"one twice":     {[]string{"j-2", "j-2"}, []string{"j-2"}, false},
		"a word":        {"j-2", nil, true},
		"numbers":       {[]int{1}, nil, true},
		"no ids":        {[]string{"j-2", "x"}, nil, true},
		"an empty id":   {[]string{""}, nil, true},
		"a list inside": {[]any{[]string{"j-2"}}, nil, true},
	} {
		raw, err := Encode(job)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]any
		if err := DecodeValue(raw, &fields); err != nil {
			t.Fatal(err)
		}
		fields["awaits"] = x.awaits
		if raw, err = Encode(fields); err != nil {
			t.Fatal(err)
		}
		got, err := DecodeJob(raw)
		if x.bad {
			if err == nil || !strings.Contains(err.Error(), "awaits") {
				t.Errorf("%s: error %v, want one that names the field awaits", name, err)
			}
			continue
		}
		if err != nil || len(got.Dependencies) != len(x.want) ||
			len(x.want) > 0 && !reflect.DeepEqual(got.Dependencies, x.want) {
			t.Errorf("%s: decoded as %+v, error %v, want the dependencies in the test case", name, got, err)
		}
	}
}
