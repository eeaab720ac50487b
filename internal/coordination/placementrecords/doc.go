// Package placementrecords turns the state of jobs into the records of their placements, and back.
//
// A task may start only once its placement is recorded, and its end is recorded so that it never runs again. This
// package decides what of one job goes into a transaction ([JobWrite], [Deletion]), how large records and
// transactions may be ([Limits]), and which stored pages count when a new leader reads them ([Decode]). It does
// no I/O: the scheduler decides when and in which order to write, and applies the outcomes.
package placementrecords
