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
	Node     string     `toml:"node"`
	Location string     `toml:"location"`
	Listen   string     `toml:"listen"`
	MeshAddr string     `toml:"mesh_addr"`
	Seeds    []Peer     `toml:"seeds"`
	Outside  Outside    `toml:"outside"`
	Deploy   Deployment `toml:"deployment"`
}

// Peer is another controller.
type Peer struct {
	Node     string `toml:"node"`
	Location string `toml:"location"`
	Addr     string `toml:"peer_addr"`
}

// Outside names the services that the daemon depends on.
type Outside struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Deployment describes what all controllers share.
type Deployment struct {
	Nodes      int         `toml:"nodes"`
	Zones      []string    `toml:"zones"`
	ClockOffMS float64     `toml:"clock_off_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Quota      Quota       `toml:"quota"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is an aim on starting ("wait"), finishing ("finished") or meeting a job's own deadline ("deadline").
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	// Times is how many times its deadline a job may take, for aims on deadlines.
	Times float64 `toml:"times"`
}

// Workers holds the times of the workers' protocol, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that the service will have from some moment after an upgrade; a limit of 0 stays.
	Next StateLimits `toml:"next"`
}

// StateLimits are limits of the state service that may come into force later.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Lowest returns the limits that hold both now and after the next change.
func (s State) Lowest() State {
	lower := func(now, next float64) float64 {
		if next > 0 {
			return min(now, next)
		}
		return now
	}
	return State{
		RPS: lower(s.RPS, s.Next.RPS), WriteRPS: lower(s.WriteRPS, s.Next.WriteRPS), ValueKB: lower(s.ValueKB, s.Next.ValueKB),
		TxnOps: int(lower(float64(s.TxnOps), float64(s.Next.TxnOps))), Next: s.Next,
	}
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
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
	if s.Node == "" {
		return errors.New("field node: missing")
	}
	for _, a := range []struct{ field, addr string }{
		{"listen", s.Listen}, {"mesh_addr", s.MeshAddr},
		{"outside.cloud", s.Outside.Cloud}, {"outside.state", s.Outside.State},
	} {
		if err := address(a.field, a.addr); err != nil {
			return err
		}
	}
	for i, p := range s.Seeds {
		if p.Node == "" {
			return fmt.Errorf("field seeds[%d].node: missing", i)
		}
		if err := address(fmt.Sprintf("seeds[%d].peer_addr", i), p.Addr); err != nil {
			return err
		}
	}
	d := &s.Deploy
	if d.Nodes == 0 {
		d.Nodes = len(s.Seeds) + 1
	}
	if d.Nodes < 0 {
		return fmt.Errorf("field deployment.nodes: %d is not a count", d.Nodes)
	}
	for i, t := range d.Teams {
		if t.Name == "" {
			return fmt.Errorf("field deployment.teams[%d].name: missing", i)
		}
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0) || math.IsInf(v, 0) {
				return fmt.Errorf("field deployment.teams[%d]: amounts must not be negative", i)
			}
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"workers.report_s", d.Workers.ReportS}, {"workers.lease_s", d.Workers.LeaseS},
		{"workers.gang_wait_s", d.Workers.GangWaitS}, {"workers.gang_peer_s", d.Workers.GangPeerS},
		{"workers.cancel_s", d.Workers.CancelS},
		{"state.rps", d.State.RPS}, {"state.write_rps", d.State.WriteRPS}, {"state.value_kb", d.State.ValueKB},
		{"state.txn_ops", float64(d.State.TxnOps)},
		{"cloud.rps", d.Cloud.RPS}, {"cloud.list_lag_s", d.Cloud.ListLagS},
		{"quota.core_share", d.Quota.CoreShare}, {"quota.ram_mb", d.Quota.RAMMB},
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
		{"rps", d.State.Next.RPS}, {"write_rps", d.State.Next.WriteRPS}, {"value_kb", d.State.Next.ValueKB}, {"txn_ops", float64(d.State.Next.TxnOps)},
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
	q := s.Deploy.Quota
	if q.RAMMB < minRAMMB {
		return fmt.Errorf("field deployment.quota.ram_mb: %g is too little to run in, at least %d is needed", q.RAMMB, minRAMMB)
	}
	if need := minSockets + socketsPerPeer*len(s.Seeds); q.MaxSockets < need {
		return fmt.Errorf("field deployment.quota.max_sockets: %d is too few to run with, at least %d are needed", q.MaxSockets, need)
	}
	return nil
}

func address(field, addr string) error {
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
