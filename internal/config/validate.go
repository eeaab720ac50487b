package config

import (
	"fmt"
	"math"
	"net/netip"
)

const (
	missing           = "missing"
	mustBePositive    = "must be greater than 0"
	mustNotBeNegative = "must not be negative"
)

// Minimum quota of a controller process, regardless of the other settings. A process uses 12 MB before it has read its
// first record, and 18 to 24 MB with two hundred machines.
const (
	minRAMMB = 16
	// minSockets is enough for the key-value store, the cloud and a few workers and users.
	minSockets = 24
	// socketsPerPeer counts one connection in each direction.
	socketsPerPeer = 2
)

// numericField is a setting with a numeric value.
type numericField struct {
	path  string
	value float64
}

// validate returns a FieldError for the first invalid setting. It sets the default values of optional settings that are
// missing.
func (s *Settings) validate() error {
	for _, step := range []func() error{
		s.validateController,
		s.validateSeeds,
		s.setControllerCount,
		s.Deployment.validateTeams,
		s.Deployment.validateLimits,
		s.Deployment.Store.Next.validate,
		s.validateQuota,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateController() error {
	if s.Name == "" {
		return &FieldError{Field: "node", Problem: missing}
	}
	for _, a := range []struct{ field, addr string }{
		{"listen", s.ListenAddr},
		{"mesh_addr", s.MeshAddr},
		{"outside.cloud", s.Endpoints.Cloud},
		{"outside.state", s.Endpoints.Store},
	} {
		if err := validateAddress(a.field, a.addr); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateSeeds() error {
	for i, p := range s.Seeds {
		if p.Name == "" {
			return &FieldError{Field: fmt.Sprintf("seeds[%d].node", i), Problem: missing}
		}
		if err := validateAddress(fmt.Sprintf("seeds[%d].peer_addr", i), p.Addr); err != nil {
			return err
		}
	}
	return nil
}

// setControllerCount sets the default number of controllers, which is this one and its seeds.
func (s *Settings) setControllerCount() error {
	d := &s.Deployment
	if d.Controllers == 0 {
		d.Controllers = len(s.Seeds) + 1
	}
	if d.Controllers < 0 {
		return &FieldError{
			Field:   "deployment.nodes",
			Problem: fmt.Sprintf("%d is not a valid number of controllers", d.Controllers),
		}
	}
	return nil
}

func (d *Deployment) validateTeams() error {
	for i, t := range d.Teams {
		if t.Name == "" {
			return &FieldError{Field: fmt.Sprintf("deployment.teams[%d].name", i), Problem: missing}
		}
		for _, v := range []float64{t.GuaranteedCPUs, t.MaxCPUs, t.GuaranteedGPUs, t.MaxGPUs} {
			if !isNonNegative(v) {
				return &FieldError{
					Field:   fmt.Sprintf("deployment.teams[%d]", i),
					Problem: "amounts must not be negative",
				}
			}
		}
	}
	return nil
}

func (d *Deployment) validateLimits() error {
	for _, f := range []numericField{
		{"deployment.workers.report_s", d.Workers.HeartbeatSeconds},
		{"deployment.workers.lease_s", d.Workers.LeaseSeconds},
		{"deployment.workers.gang_wait_s", d.Workers.GangWaitSeconds},
		{"deployment.workers.gang_peer_s", d.Workers.GangPeerSeconds},
		{"deployment.workers.cancel_s", d.Workers.CancelSeconds},
		{"deployment.state.rps", d.Store.RPS},
		{"deployment.state.write_rps", d.Store.WriteRPS},
		{"deployment.state.value_kb", d.Store.ValueKB},
		{"deployment.state.txn_ops", float64(d.Store.TxnOps)},
		{"deployment.cloud.rps", d.Cloud.RPS},
		{"deployment.cloud.list_lag_s", d.Cloud.ListLagSeconds},
		{"deployment.quota.core_share", d.Quota.CoreShare},
		{"deployment.quota.ram_mb", d.Quota.RAMMB},
		{"deployment.quota.max_sockets", float64(d.Quota.MaxSockets)},
	} {
		if !(f.value > 0) || math.IsInf(f.value, 0) {
			return &FieldError{Field: f.path, Problem: mustBePositive}
		}
	}
	return nil
}

func (l *FutureStoreLimits) validate() error {
	for _, f := range []numericField{
		{"deployment.state.next.rps", l.RPS},
		{"deployment.state.next.write_rps", l.WriteRPS},
		{"deployment.state.next.value_kb", l.ValueKB},
		{"deployment.state.next.txn_ops", float64(l.TxnOps)},
	} {
		if !isNonNegative(f.value) {
			return &FieldError{Field: f.path, Problem: mustNotBeNegative}
		}
	}
	return nil
}

// validateQuota rejects a quota that is too small for any controller, which would otherwise run out of memory or refuse
// connections later.
func (s *Settings) validateQuota() error {
	q := s.Deployment.Quota
	if q.RAMMB < minRAMMB {
		return &FieldError{
			Field:   "deployment.quota.ram_mb",
			Problem: fmt.Sprintf("%g is too small, a controller needs at least %d", q.RAMMB, minRAMMB),
		}
	}
	if need := minSockets + socketsPerPeer*len(s.Seeds); q.MaxSockets < need {
		return &FieldError{
			Field:   "deployment.quota.max_sockets",
			Problem: fmt.Sprintf("%d is too small, a controller needs at least %d", q.MaxSockets, need),
		}
	}
	return nil
}

func validateAddress(field, addr string) error {
	if addr == "" {
		return &FieldError{Field: field, Problem: missing}
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &FieldError{Field: field, Problem: fmt.Sprintf("%q is not an IP address with a port", addr)}
	}
	return nil
}

// isNonNegative reports whether v is finite and not negative. It returns false for NaN.
func isNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
