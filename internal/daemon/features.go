package daemon

import (
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/timing"
)

// Features are what an operator has turned on. Without any, a controller sends and stores nothing of them.
type Features struct {
	// ZoneFailover is the order in which work recovers when a zone is lost; nil turns zone failover off.
	ZoneFailover *zonefailover.RecoveryOrder
	// Ownership watches the other controllers for failures, and divides the machines among those that live.
	Ownership bool
	// Timing measures the leader's steps and heartbeats and logs them; nil: off.
	Timing *timing.Recorder
	// PinProductionLevel keeps the controller at the feature level of the version in production, so that tests can
	// mix levels; it is no operator's flag.
	PinProductionLevel bool
}

// featureLevel is the feature level that a controller speaks.
func (f Features) featureLevel() featurelevel.Level {
	if f.PinProductionLevel {
		return featurelevel.Baseline
	}
	return featurelevel.Current
}
