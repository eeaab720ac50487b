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

// TestTimesFitTheCancelTime: whatever the settings, a lease that was renewed without
// knowing of a cancellation ends before the task must be gone, with an eighth of the
// time left; and nobody who has forgotten intents counts before that.
func TestTimesFitTheCancelTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d config.Deployment
		d.Workers.LeaseSeconds = rapid.Float64Range(1, 60).Draw(t, "lease")
		d.Workers.CancelSeconds = d.Workers.LeaseSeconds * rapid.Float64Range(1.5, 10).Draw(t, "cancel")
		x := Times(&d)
		lease, cancel := config.Seconds(d.Workers.LeaseSeconds), config.Seconds(d.Workers.CancelSeconds)
		switch {
		case x.RenewalHorizon+lease > cancel-cancel/8+time.Millisecond:
			t.Errorf("horizon %v and lease %v in %v", x.RenewalHorizon, lease, cancel)
		case x.ConfirmationTimeout > x.RenewalHorizon, x.ConfirmationTimeout < 4*x.HeartbeatInterval-time.Millisecond:
			t.Errorf("hold %v, horizon %v, beat %v", x.ConfirmationTimeout, x.RenewalHorizon, x.HeartbeatInterval)
		case x.RecoveryPeriod < lease+x.RenewalHorizon+x.LeaderTimeout:
			t.Errorf("recovery time %v", x.RecoveryPeriod)
		case intentRetention(&d, x) < cancel+x.RecoveryPeriod:
			t.Errorf("intents are kept for %v", intentRetention(&d, x))
		}
	})
}

// TestHeartbeatPace: a follower that has a leader sends fewer heartbeats; the leader, and
// everybody while there is none, sends all. Even with one lost, peers hear of a follower
// often enough to count it when they look for a majority.
func TestHeartbeatPace(t *testing.T) {
	c := &peerExchange{environment: &environment{
		times: election.Timing{HeartbeatInterval: 100 * time.Millisecond, LeaderTimeout: 800 * time.Millisecond},
	}}
	for _, row := range []struct {
		view election.View
		want time.Duration
	}{
		{election.View{Leading: true, Leader: "n-0"}, c.times.HeartbeatInterval},
		{election.View{}, c.times.HeartbeatInterval},
		{election.View{Leader: "n-1"}, followerHeartbeatFactor * c.times.HeartbeatInterval},
	} {
		if got := c.heartbeatInterval(&row.view); got != row.want {
			t.Errorf("%+v: a heartbeat every %v, want %v", row.view, got, row.want)
		}
	}
	if 2*followerHeartbeatFactor*c.times.HeartbeatInterval > c.times.LeaderTimeout/2 {
		t.Error("a lost heartbeat makes a follower look silent")
	}
}
