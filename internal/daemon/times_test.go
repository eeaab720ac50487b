package daemon

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/election"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestTimesFitCancellationLimit checks that, for all settings, a lease that a controller renewed without knowing of a
// cancellation expires before the task must have ended, with an eighth of the time limit to spare, and that a
// controller that has lost intents in a restart does not count as recovered before such leases have expired.
func TestTimesFitCancellationLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d config.Deployment
		d.Workers.LeaseSeconds = rapid.Float64Range(1, 60).Draw(t, "lease")
		d.Workers.CancelSeconds = d.Workers.LeaseSeconds * rapid.Float64Range(1.5, 10).Draw(t, "cancel")
		timing := ElectionTiming(&d)
		lease, cancel := config.Seconds(d.Workers.LeaseSeconds), config.Seconds(d.Workers.CancelSeconds)
		switch {
		case timing.RenewalHorizon+lease > cancel-cancel/8+time.Millisecond:
			t.Errorf(
				"renewal horizon %v plus lease %v exceed 7/8 of the cancellation limit %v",
				timing.RenewalHorizon,
				lease,
				cancel,
			)
		case timing.ConfirmationTimeout > timing.RenewalHorizon,
			timing.ConfirmationTimeout < 4*timing.HeartbeatInterval-time.Millisecond:
			t.Errorf(
				"confirmation timeout %v is above the renewal horizon %v or below 4 heartbeat intervals of %v",
				timing.ConfirmationTimeout,
				timing.RenewalHorizon,
				timing.HeartbeatInterval,
			)
		case timing.RecoveryPeriod < lease+timing.RenewalHorizon+timing.LeaderTimeout:
			t.Errorf(
				"recovery period %v, want at least lease plus renewal horizon plus leader timeout",
				timing.RecoveryPeriod,
			)
		case intentRetention(&d, timing) < cancel+timing.RecoveryPeriod:
			t.Errorf(
				"intent retention %v, want at least cancellation limit plus recovery period",
				intentRetention(&d, timing),
			)
		}
	})
}

// TestHeartbeatInterval checks that a follower sends fewer heartbeats than the leader, and that every controller sends
// as many as a leader while there is none. A peer must count towards a quorum even if one of its heartbeats is lost.
func TestHeartbeatInterval(t *testing.T) {
	exchange := &peerExchange{environment: &environment{
		times: election.Timing{HeartbeatInterval: 100 * time.Millisecond, LeaderTimeout: 800 * time.Millisecond},
	}}
	for _, row := range []struct {
		view election.View
		want time.Duration
	}{
		{election.View{Leading: true, Leader: "n-0"}, exchange.times.HeartbeatInterval},
		{election.View{}, exchange.times.HeartbeatInterval},
		{election.View{Leader: "n-1"}, followerHeartbeatFactor * exchange.times.HeartbeatInterval},
	} {
		if got := exchange.heartbeatInterval(&row.view); got != row.want {
			t.Errorf("%+v: heartbeat interval %v, want %v", row.view, got, row.want)
		}
	}
	if 2*followerHeartbeatFactor*exchange.times.HeartbeatInterval > exchange.times.LeaderTimeout/2 {
		t.Error("a follower no longer counts towards a quorum after one lost heartbeat")
	}
}
