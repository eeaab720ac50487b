package jobstate

import (
	"fmt"
	"slices"
	"time"

	"pinebay/internal/storage"
)

// MarkDirty marks the page of a task as dirty, so that it will be written.
func (j *Job) MarkDirty(task int, now time.Duration) {
	j.Pages.PageOf(task).Dirty = true
	j.QueueCompletion(now)
}

// PageRecord returns the record of a page, to be written by a transaction with the given name.
func (j *Job) PageRecord(number int, writeName string) *storage.PlacementPage {
	record := &storage.PlacementPage{
		WriteName:      writeName,
		HighestAttempt: j.Pages.Page(number).HighestAttempt,
		Team:           j.Spec.Team,
		CPUs:           j.TaskResources.CPUs,
		GPUs:           j.TaskResources.GPUs,
		MemoryGB:       j.TaskResources.MemoryGB,
	}
	first, end := j.Pages.Tasks(number)
	for task := first; task < end; task++ {
		if j.taskStates[task] == TaskDone {
			record.AddDoneTask(task)
		}
		if pl := j.Placements[task]; pl != nil {
			record.Placements = append(record.Placements, storage.Placement{
				Task:        task,
				Machine:     pl.Machine,
				Incarnation: pl.Incarnation,
				Attempt:     pl.Attempt,
				Zone:        record.ZoneIndex(pl.Zone),
			})
		}
	}
	return record
}

// EncodePage encodes a page in the current layout, to be written by a transaction with the given name.
func (j *Job) EncodePage(number int, writeName string) ([]byte, error) {
	value, err := storage.EncodePage(j.PageRecord(number, writeName), j.Pages.Layout())
	if err != nil {
		return nil, fmt.Errorf("encode page %d of %s: %w", number, j.Spec.ID, err)
	}
	return value, nil
}

// Upper bounds of the sizes of the other parts of a page record in JSON, the encoding in which the store measures
// values against its limits.
const (
	recordHeaderBytes = 512
	doneRangeBytes    = 16
)

// EstimatedPageBytes returns an upper bound of the size of a page's record.
func (j *Job) EstimatedPageBytes(number int) int {
	size := recordHeaderBytes
	previousDone := false
	first, end := j.Pages.Tasks(number)
	for task := first; task < end; task++ {
		done := j.taskStates[task] == TaskDone
		if done && !previousDone {
			size += doneRangeBytes
		}
		previousDone = done
		if j.Placements[task] != nil {
			size += storage.MaxPlacementBytes
		}
	}
	return size
}

// PagesToWrite returns the numbers of the next pages to write in ascending order, at most limit of them. Pages of
// placements that wait to be recorded are chosen first. The recorded placements of a gang, which wait for the rest of
// the gang, are not written again: with more than limit pages, the last ones would never be written.
func (j *Job) PagesToWrite(limit int) []int {
	var numbers []int
	add := func(number int) {
		if len(numbers) < limit && !slices.Contains(numbers, number) {
			numbers = append(numbers, number)
		}
	}
	for _, pl := range j.UnrecordedStarts() {
		add(j.Pages.PageNumber(pl.Task.Index))
	}
	for _, number := range j.Pages.Dirty() {
		add(number)
	}
	slices.Sort(numbers)
	return numbers
}
