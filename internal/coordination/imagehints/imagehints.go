// Package imagehints decides which records are written of the container images that machines have cached.
//
// A new leader reads them, so that it doesn't send tasks to fetch an image that lies ready on another machine. They
// are hints: nothing depends on them for correctness, and their writes yield to all others. The package does no
// I/O: the scheduler submits what Next returns and reports the outcome to Written.
package imagehints

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Interval is the least time between two writes.
const Interval = 10 * time.Second

// Hints are what the records say.
type Hints struct {
	// Images are the cached images of each machine.
	Images map[string][]machineregistry.CachedImage
	// Arrivals are what the leader remembers of the arrivals of jobs, in the order of their classes.
	Arrivals []storage.ClassArrivals
}

// Limits are how large records and transactions may be.
type Limits struct {
	ValueKB       float64
	MaxOperations int
}

// Change is a set of records to be written and deleted in one transaction.
type Change struct {
	Ops []protocol.Op
}

// Writer knows the stored records, and chooses what is written next.
type Writer struct {
	// stored are the records by their keys; one that was found at the beginning of the term is "", so that it is
	// written again or deleted.
	stored      map[string]string
	lastKey     string // of the last record that was chosen to be written
	inFlight    bool
	lastAttempt time.Duration
}

// NewWriter returns a writer that knows of no records, and chooses none before the interval is over.
func NewWriter(now time.Duration) *Writer {
	return &Writer{stored: map[string]string{}, lastAttempt: now}
}

var errMalformed = errors.New("malformed image hint")

// Recover decodes a stored record and notes that it exists.
func (w *Writer) Recover(record protocol.KeyValue) (Hints, error) {
	var page storage.ImageHintRecord
	if err := protocol.Decode(record.Value, &page); err != nil {
		return Hints{}, fmt.Errorf("decode image hint: %w", err)
	}
	if len(page.Images) != len(page.SizesGB) {
		return Hints{}, fmt.Errorf("%w: %d images, %d sizes", errMalformed, len(page.Images), len(page.SizesGB))
	}
	w.stored[record.Key] = ""
	hints := Hints{Images: map[string][]machineregistry.CachedImage{}, Arrivals: page.Arrivals}
	for _, machine := range page.Machines {
		var images []machineregistry.CachedImage
		for _, i := range machine.Images {
			if i >= 0 && i < len(page.Images) {
				images = append(images, machineregistry.CachedImage{Image: page.Images[i], SizeGB: page.SizesGB[i]})
			}
		}
		hints.Images[machine.Name] = images
	}
	return hints, nil
}

// Due reports whether it is time for another write.
func (w *Writer) Due(now time.Duration) bool {
	return !w.inFlight && now-w.lastAttempt >= Interval
}

// Next returns the records that differ from what is stored, up to half of what a transaction may hold. ok is false
// if there is nothing to write; otherwise the outcome must be reported to Written.
func (w *Writer) Next(now time.Duration, hints Hints, limits Limits) (change Change, ok bool) {
	w.lastAttempt = now
	pages := encode(hints, limits.ValueKB)
	full := func() bool { return len(change.Ops) >= limits.MaxOperations/2 }
	for _, key := range slices.Sorted(maps.Keys(w.stored)) {
		if pages[key] == nil && !full() {
			change.Ops = append(change.Ops, protocol.Op{DeleteKey: key})
		}
	}
	for _, key := range rotateAfter(w.lastKey, slices.Sorted(maps.Keys(pages))) {
		if value := pages[key]; w.stored[key] != string(value) && !full() {
			change.Ops = append(change.Ops, protocol.Op{PutKey: key, Value: value})
			w.lastKey = key
		}
	}
	w.inFlight = len(change.Ops) > 0
	return change, w.inFlight
}

// Written applies the outcome of a change. What failed is written anew the next time.
func (w *Writer) Written(change Change, succeeded bool) {
	w.inFlight = false
	if !succeeded {
		return
	}
	for _, op := range change.Ops {
		if op.DeleteKey != "" {
			delete(w.stored, op.DeleteKey)
		} else {
			w.stored[op.PutKey] = string(op.Value)
		}
	}
}

// encode returns the records of all machines by their keys.
func encode(hints Hints, valueKB float64) map[string][]byte {
	names := slices.Sorted(maps.Keys(hints.Images))
	pages := map[string][]byte{}
	number := 0
	for machines := range slices.Chunk(names, storage.MachinesPerImageHint(valueKB)) {
		page := pageOf(machines, hints.Images)
		if number == 0 {
			page.Arrivals = hints.Arrivals
		}
		value, err := protocol.Encode(page)
		if err == nil && storage.FitsValueLimit(value, valueKB) { // else the names are too long for a hint
			pages[storage.ImageHintKey(number)] = value
		}
		number++
	}
	return pages
}

// pageOf returns the record of some machines, which names each image once.
func pageOf(machines []string, images map[string][]machineregistry.CachedImage) storage.ImageHintRecord {
	var page storage.ImageHintRecord
	index := map[string]int{}
	for _, name := range machines {
		machine := storage.MachineImages{Name: name}
		for _, image := range images[name] {
			i, ok := index[image.Image]
			if !ok {
				i = len(page.Images)
				index[image.Image] = i
				page.Images = append(page.Images, image.Image)
				page.SizesGB = append(page.SizesGB, image.SizeGB)
			}
			machine.Images = append(machine.Images, i)
		}
		page.Machines = append(page.Machines, machine)
	}
	return page
}

// rotateAfter returns sorted keys from the one after the given key on, and then those before it: a transaction
// holds a few of them, and each must have its turn.
func rotateAfter(last string, keys []string) []string {
	i, found := slices.BinarySearch(keys, last)
	if found {
		i++
	}
	return slices.Concat(keys[i:], keys[:i])
}
