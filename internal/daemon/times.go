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

// minLeaseTTL is the minimum TTL of the leader's lease. It applies only if the settings contain very short times.
const minLeaseTTL = 100 * time.Millisecond

// ElectionTiming derives the election's timing from the settings. All intervals are fractions of the workers' lease, or
// of the cancellation time limit if that is short.
func ElectionTiming(d *config.Deployment) election.Timing {
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
	// A controller that misses a cancellation may renew a lease until the end of the renewal horizon. The lease must
	// then expire within the cancellation time limit.
	t.RenewalHorizon = max(t.ConfirmationTimeout, cancel-cancel/8-lease)
	t.RecoveryPeriod = lease + t.RenewalHorizon + t.LeaderTimeout
	return t
}

// intentRetention returns how long intents are kept: at least until the tasks of the job must have ended, and for
// longer than a restarted controller may lack them.
func intentRetention(d *config.Deployment, t election.Timing) time.Duration {
	return config.Seconds(d.Workers.CancelSeconds) + t.RecoveryPeriod
}

// fencingTiming derives the timing of fencing without a leader. The cancellation time limit is split as follows: half
// until a leader would have fenced the machine, a quarter for the machine to contact another controller, and the rest
// for the machine list and the release.
func fencingTiming(d *config.Deployment) fencing.Timing {
	cancel := config.Seconds(d.Workers.CancelSeconds)
	return fencing.Timing{
		GracePeriod:  cancel / 4,
		MinIntentAge: cancel / 2,
		Retention:    cancel + 4*config.Seconds(d.Cloud.ListLagSeconds),
	}
}

// detectorTiming derives the timing of failure detection from that of the election.
func detectorTiming(t election.Timing) failuredetector.Timing {
	return failuredetector.Timing{
		TickInterval:     followerHeartbeatFactor * t.HeartbeatInterval,
		SuspicionTimeout: t.LeaderTimeout,
		OpinionTTL:       t.LeaderTimeout,
	}
}

// ownershipTiming derives the timing of ownership from that of the election.
func ownershipTiming(t election.Timing) ownership.Timing {
	return ownership.Timing{
		TickInterval: followerHeartbeatFactor * t.HeartbeatInterval,
		PeerTimeout:  t.LeaderTimeout,
		RejoinDelay:  2 * t.LeaderTimeout,
	}
}
