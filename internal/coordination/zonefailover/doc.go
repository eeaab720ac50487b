// Package zonefailover decides how the leader reacts to the loss and the return of a zone: when a zone counts as lost,
// in which order work recovers, which machines of a lost zone are fenced, which running tasks of lower priority give up
// their capacity, and how their jobs are compensated (docs/zone-return.md).
//
// Capacity that a running task gives up to a job that lost tasks with a zone is called a loan. The preempted task is
// the lender, the job that uses the capacity is the borrower. A loan is recorded before the lender is preempted. As
// compensation, once no zone is lost, the lender's job recovers before other jobs of the same position and priority.
//
// [Manager] owns all state of the feature. The scheduler calls it at fixed points of the scheduling cycle and carries
// out its decisions. The package does no I/O, reads no clock and calls the scheduler only through [Jobs].
package zonefailover
