package daemon

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/api"
	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/failuredetector"
	"pinebay/internal/coordination/fencing"
	"pinebay/internal/coordination/ownership"
)

// minLeaseTTL is the least lifetime of the leader's lease, however short the settings are.
const minLeaseTTL = 100 * time.Millisecond

// Times derives the election's times from the settings. All are fractions of the workers' lease, or of the cancel time
// if that is short.
func Times(d *config.Deployment) election.Timing {
	lease, cancel := config.Seconds(d.Workers.LeaseSeconds), config.Seconds(d.Workers.CancelSeconds)
	base := min(lease, cancel/4)
	t := election.Timing{
		HeartbeatInterval:   base / 40,
		LeaderTimeout:       base / 5,
		LeaseTTL:            max(3*base/10, minLeaseTTL),
		ConfirmationTimeout: base / 2,
		CandidateDelay:      base / 50,
		CancellationTimeout: api.MaxIntentAge,
	}
	t.ConfirmationTimeout = min(t.ConfirmationTimeout, max((cancel-lease)/4, 4*t.HeartbeatInterval))
	// A controller that does not know of a cancellation renews a lease for the last time within
	// the horizon of its confirmation, and the task must be gone within the cancel time.
	t.RenewalHorizon = max(t.ConfirmationTimeout, cancel-cancel/8-lease)
	t.RecoveryPeriod = lease + t.RenewalHorizon + t.LeaderTimeout
	return t
}

// intentRetention returns how long intents are kept: until their tasks must be gone, and
// for longer than a controller may have forgotten some.
func intentRetention(d *config.Deployment, t election.Timing) time.Duration {
	return config.Seconds(d.Workers.CancelSeconds) + t.RecoveryPeriod
}

// fencingTimes derives the intervals of fencing without a leader. Cancel time is spent
// as follows: a half until a leader would have fenced, a quarter for the machine to be
// heard elsewhere, and the rest for the machine list and the release.
func fencingTimes(d *config.Deployment) fencing.Timing {
	cancel := config.Seconds(d.Workers.CancelSeconds)
	return fencing.Timing{
		GracePeriod:  cancel / 4,
		MinIntentAge: cancel / 2,
		Retention:    cancel + 4*config.Seconds(d.Cloud.ListLagSeconds),
	}
}

// detectorTimes derives the times of failure detection from those of the election.
func detectorTimes(t election.Timing) failuredetector.Timing {
	return failuredetector.Timing{
		TickInterval:     followerHeartbeatFactor * t.HeartbeatInterval,
		SuspicionTimeout: t.LeaderTimeout,
		OpinionTTL:       t.LeaderTimeout,
	}
}

// ownershipTimes derives the times of ownership from those of the election.
func ownershipTimes(t election.Timing) ownership.Timing {
	return ownership.Timing{
		TickInterval: followerHeartbeatFactor * t.HeartbeatInterval,
		PeerTimeout:  t.LeaderTimeout,
		RejoinDelay:  2 * t.LeaderTimeout,
	}
}
