package daemon

import (
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/timing"
)

// Features are the optional features that an operator has enabled. A controller neither sends nor stores data of
// features that are disabled.
type Features struct {
	// ZoneFailover is the order in which jobs are recovered after the loss of a zone; nil disables zone failover.
	ZoneFailover *zonefailover.RecoveryOrder
	// Ownership enables failure detection between controllers, and divides the machines among the live ones.
	Ownership bool
	// Timing measures and logs how long the leader's steps and the heartbeats take; nil disables it.
	Timing *timing.Recorder
	// PinProductionLevel keeps the controller at the feature level of the version in production, so that tests can mix
	// levels. It has no command-line flag.
	PinProductionLevel bool
}

// featureLevel returns the feature level that the controller supports.
func (f Features) featureLevel() featurelevel.Level {
	if f.PinProductionLevel {
		return featurelevel.Baseline
	}
	return featurelevel.Current
}
