// Package placementrecords converts the state of jobs to the records of their placements, and stored records back to
// that state.
//
// A task may start only after its placement has been recorded, and its end is recorded so that it never runs again.
// This package determines the part of a transaction that belongs to one job ([JobWrite], [Deletion]), the maximum sizes
// of records and transactions ([Limits]), and which of the stored pages are valid for a task when a new leader reads
// them ([Decode]). It does no I/O: the scheduler decides when and in which order to write, and applies the outcomes.
package placementrecords
