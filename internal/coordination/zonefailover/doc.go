// Package zonefailover decides what the leader does when a zone fails and when it comes back: whether a zone is lost,
// in which order work recovers, which machines of a lost zone are fenced, which running work of lower priority lends
// its capacity meanwhile, and what the lenders are owed (docs/zone-return.md).
//
// [Manager] owns all state of the feature. The scheduler drives it: it asks a Manager at fixed places of its cycle and
// carries out the answers. The package does no I/O, reads no clock and never calls the scheduler except through [Jobs].
package zonefailover
