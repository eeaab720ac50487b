// Package zonefailover decides what a fleet does when it loses a zone and when the zone comes
// back: whether a zone is lost, in which order work returns, which lower work lends its
// room meanwhile, and what the lenders are owed. It does no I/O and reads no clock; the
// scheduler feeds it facts and carries out what it decides.
package zonefailover
