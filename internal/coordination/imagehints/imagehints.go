// Package imagehints chooses which records to write about the container images that machines have cached.
//
// A new leader reads the records, so that it does not place tasks on machines that have to fetch an image while other
// machines have it cached. The records are hints: correctness does not depend on them, and their writes have the lowest
// priority. The package does no I/O: the scheduler submits the change that [Writer.Next] returns and reports its
// outcome to [Writer.HandleOutcome].
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

// Interval is the minimum time between two writes.
const Interval = 10 * time.Second

// Hints holds the content of the records.
type Hints struct {
	// Images holds the cached images by machine name.
	Images map[string][]machineregistry.CachedImage
	// Arrivals holds the arrival statistics of job classes, sorted by class name.
	Arrivals []storage.ClassArrivals
}

// Limits holds the maximum size of a record and the maximum number of operations in a transaction.
type Limits struct {
	ValueKB       float64
	MaxOperations int
}

// Change is a set of records to write and to delete in one transaction.
type Change struct {
	Ops []protocol.Op
}

// Writer keeps track of the stored records and chooses which ones to write next.
type Writer struct {
	// stored holds the value of each stored record by key. The value of a record recovered at the start of the term is
	// "", so that the record is either rewritten or deleted.
	stored      map[string]string
	lastKey     string // key of the last record chosen for a write
	inFlight    bool
	lastAttempt time.Duration
}

// NewWriter returns a writer without stored records. The first write is due one interval after now.
func NewWriter(now time.Duration) *Writer {
	return &Writer{stored: map[string]string{}, lastAttempt: now}
}

var errMalformed = errors.New("malformed image hint")

// Recover decodes a stored record and registers its key as stored.
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

// Due reports whether the next write is due.
func (w *Writer) Due(now time.Duration) bool {
	return !w.inFlight && now-w.lastAttempt >= Interval
}

// Next returns the changes to the stored records, up to half of the operations that a transaction may hold. It returns
// false if no record has changed. Otherwise the caller must report the outcome to HandleOutcome.
func (w *Writer) Next(now time.Duration, hints Hints, limits Limits) (change Change, ok bool) {
	w.lastAttempt = now
	pages := encodePages(hints, limits.ValueKB)
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

// HandleOutcome applies the outcome of a change. A failed change is retried by a later Next.
func (w *Writer) HandleOutcome(change Change, succeeded bool) {
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

// encodePages returns the records about all machines by key.
func encodePages(hints Hints, valueKB float64) map[string][]byte {
	names := slices.Sorted(maps.Keys(hints.Images))
	pages := map[string][]byte{}
	number := 0
	for machines := range slices.Chunk(names, storage.MachinesPerImageHint(valueKB)) {
		page := buildPage(machines, hints.Images)
		if number == 0 {
			page.Arrivals = hints.Arrivals
		}
		value, err := protocol.Encode(page)
		if err == nil && storage.FitsValueLimit(value, valueKB) { // else the names are too long
			pages[storage.ImageHintKey(number)] = value
		}
		number++
	}
	return pages
}

// buildPage returns the record about the given machines. Each image name appears in it once.
func buildPage(machines []string, images map[string][]machineregistry.CachedImage) storage.ImageHintRecord {
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

// rotateAfter returns the sorted keys, starting with the first key after last and wrapping around. A transaction holds
// only some of the records, so each write continues where the previous one stopped.
func rotateAfter(last string, keys []string) []string {
	i, found := slices.BinarySearch(keys, last)
	if found {
		i++
	}
	return slices.Concat(keys[i:], keys[:i])
}
