// Package config reads the settings file that the platform hands to the
// daemon and checks it. All figures of the daemon derive from it.
package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's file. Fields that are not named here are ignored.
type Settings struct {
	Name       string     `toml:"node"`
	Location   string     `toml:"location"`
	ListenAddr string     `toml:"listen"`
	MeshAddr   string     `toml:"mesh_addr"`
	Seeds      []Peer     `toml:"seeds"`
	Endpoints  Endpoints  `toml:"outside"`
	Deployment Deployment `toml:"deployment"`
}

// Peer is another controller.
type Peer struct {
	Name     string `toml:"node"`
	Location string `toml:"location"`
	Addr     string `toml:"peer_addr"`
}

// Endpoints names the services that the daemon depends on.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Deployment describes what all controllers share.
type Deployment struct {
	Controllers      int         `toml:"nodes"`
	Zones            []string    `toml:"zones"`
	MaxClockOffsetMS float64     `toml:"clock_off_ms"`
	Teams            []Team      `toml:"teams"`
	Objectives       []Objective `toml:"objectives"`
	Workers          Workers     `toml:"workers"`
	Store            StoreLimits `toml:"state"`
	Cloud            Cloud       `toml:"cloud"`
	Quota            Quota       `toml:"quota"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// Objective is an aim on starting ("wait"), finishing ("finished") or meeting a job's own deadline ("deadline").
type Objective struct {
	Kind          string  `toml:"kind"`
	Class         string  `toml:"class"`
	WithinSeconds float64 `toml:"within_s"`
	Fraction      float64 `toml:"share"`
	// DeadlineFactor is how many times its deadline a job may take, for aims on deadlines.
	DeadlineFactor float64 `toml:"times"`
}

// Workers holds the times of the workers' protocol, in seconds.
type Workers struct {
	HeartbeatSeconds float64 `toml:"report_s"`
	LeaseSeconds     float64 `toml:"lease_s"`
	GangWaitSeconds  float64 `toml:"gang_wait_s"`
	GangPeerSeconds  float64 `toml:"gang_peer_s"`
	CancelSeconds    float64 `toml:"cancel_s"`
}

// StoreLimits holds the limits of the state service.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that the service will have from some moment after an upgrade; a limit of 0 stays.
	Next FutureStoreLimits `toml:"next"`
}

// FutureStoreLimits are limits of the state service that may come into force later.
type FutureStoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Lowest returns the limits that hold both now and after the next change.
func (s StoreLimits) Lowest() StoreLimits {
	lower := func(now, next float64) float64 {
		if next > 0 {
			return min(now, next)
		}
		return now
	}
	return StoreLimits{
		RPS: lower(
			s.RPS,
			s.Next.RPS,
		),
		WriteRPS: lower(s.WriteRPS, s.Next.WriteRPS),
		ValueKB:  lower(s.ValueKB, s.Next.ValueKB),
		TxnOps:   int(lower(float64(s.TxnOps), float64(s.Next.TxnOps))),
		Next:     s.Next,
	}
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS            float64 `toml:"rps"`
	ListLagSeconds float64 `toml:"list_lag_s"`
}

// Quota is what one controller process may use.
type Quota struct {
	CoreShare  float64 `toml:"core_share"`
	RAMMB      float64 `toml:"ram_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Seconds turns a figure of the settings into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks the file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(raw)
}

// Parse reads and checks the settings in raw.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(raw, &s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return nil, fmt.Errorf("settings: line %d column %d, field %v: %s", row, col, de.Key(), de.Error())
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
}

func (s *Settings) check() error {
	if s.Name == "" {
		return errors.New("field node: missing")
	}
	for _, a := range []struct{ field, addr string }{
		{"listen", s.ListenAddr},
		{"mesh_addr", s.MeshAddr},
		{"outside.cloud", s.Endpoints.Cloud},
		{"outside.state", s.Endpoints.Store},
	} {
		if err := checkAddress(a.field, a.addr); err != nil {
			return err
		}
	}
	for i, p := range s.Seeds {
		if p.Name == "" {
			return fmt.Errorf("field seeds[%d].node: missing", i)
		}
		if err := checkAddress(fmt.Sprintf("seeds[%d].peer_addr", i), p.Addr); err != nil {
			return err
		}
	}
	d := &s.Deployment
	if d.Controllers == 0 {
		d.Controllers = len(s.Seeds) + 1
	}
	if d.Controllers < 0 {
		return fmt.Errorf("field deployment.nodes: %d is not a count", d.Controllers)
	}
	for i, t := range d.Teams {
		if t.Name == "" {
			return fmt.Errorf("field deployment.teams[%d].name: missing", i)
		}
		for _, v := range []float64{t.GuaranteedCPUs, t.MaxCPUs, t.GuaranteedGPUs, t.MaxGPUs} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("field deployment.teams[%d]: amounts must not be negative", i)
			}
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"workers.report_s", d.Workers.HeartbeatSeconds},
		{"workers.lease_s", d.Workers.LeaseSeconds},
		{"workers.gang_wait_s", d.Workers.GangWaitSeconds},
		{"workers.gang_peer_s", d.Workers.GangPeerSeconds},
		{"workers.cancel_s", d.Workers.CancelSeconds},
		{"state.rps", d.Store.RPS},
		{"state.write_rps", d.Store.WriteRPS},
		{"state.value_kb", d.Store.ValueKB},
		{"state.txn_ops", float64(d.Store.TxnOps)},
		{"cloud.rps", d.Cloud.RPS},
		{"cloud.list_lag_s", d.Cloud.ListLagSeconds},
		{"quota.core_share", d.Quota.CoreShare},
		{"quota.ram_mb", d.Quota.RAMMB},
		{"quota.max_sockets", float64(d.Quota.MaxSockets)},
	} {
		if !(f.value > 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("field deployment.%s: must be greater than 0", f.field)
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"rps", d.Store.Next.RPS}, {"write_rps", d.Store.Next.WriteRPS}, {"value_kb", d.Store.Next.ValueKB}, {"txn_ops", float64(d.Store.Next.TxnOps)},
	} {
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("field deployment.state.next.%s: must not be negative", f.field)
		}
	}
	return s.checkQuota()
}

// What a controller needs to run at all, whatever the settings say. It takes 12 MB before
// it has read its first record, and 18 to 24 MB with two hundred machines.
const (
	minRAMMB = 16
	// minSockets serve the state service, the cloud and a few workers and users.
	minSockets = 24
	// socketsPerPeer is a connection in each direction.
	socketsPerPeer = 2
)

// checkQuota refuses a quota that no controller can run in, instead of ending for memory
// or refusing every connection later.
func (s *Settings) checkQuota() error {
	q := s.Deployment.Quota
	if q.RAMMB < minRAMMB {
		return fmt.Errorf(
			"field deployment.quota.ram_mb: %g is too little to run in, at least %d is needed",
			q.RAMMB,
			minRAMMB,
		)
	}
	if need := minSockets + socketsPerPeer*len(s.Seeds); q.MaxSockets < need {
		return fmt.Errorf(
			"field deployment.quota.max_sockets: %d is too few to run with, at least %d are needed",
			q.MaxSockets,
			need,
		)
	}
	return nil
}

func checkAddress(field, addr string) error {
	if addr == "" {
		return fmt.Errorf("field %s: missing", field)
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("field %s: %q is not an IP address with a port", field, addr)
	}
	return nil
}

// Team returns the team of that name, or nil.
func (d *Deployment) Team(name string) *Team {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i]
		}
	}
	return nil
}
