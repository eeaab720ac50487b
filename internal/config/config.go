// Package config reads and validates the settings file that the platform writes for a controller. Every timeout, rate
// and limit of the service derives from it. Go names follow the code; the toml tags are the contract with the platform.
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the settings file of one controller. Fields that are not named here are ignored.
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

// Deployment holds the settings that all controllers share.
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

// Team has a guaranteed quota and a quota limit for each resource; 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// ObjectiveKind is what a service-level objective is about.
type ObjectiveKind string

// Kinds of objectives, as the settings file names them.
const (
	// ObjectiveStartLatency is on the time from the submission of a job to its start.
	ObjectiveStartLatency ObjectiveKind = "wait"
	// ObjectiveCompletion is on the time from the submission of a job to its end.
	ObjectiveCompletion ObjectiveKind = "finished"
	// ObjectiveDeadline is on meeting the deadline that a job states.
	ObjectiveDeadline ObjectiveKind = "deadline"
)

// Objective is a service-level objective: the fraction of the jobs of a class that is to start, or to finish,
// within a time, or to meet its own deadline.
type Objective struct {
	Kind          ObjectiveKind `toml:"kind"`
	Class         string        `toml:"class"`
	WithinSeconds float64       `toml:"within_s"`
	Fraction      float64       `toml:"share"`
	// DeadlineFactor is how many times its deadline a job may take, for objectives on deadlines.
	DeadlineFactor float64 `toml:"times"`
}

// Workers holds the times of the workers' protocol.
type Workers struct {
	// HeartbeatSeconds is the interval of a worker's heartbeats, give or take a quarter.
	HeartbeatSeconds float64 `toml:"report_s"`
	// LeaseSeconds is for how long a worker runs its tasks after it has sent the last heartbeat that was answered.
	LeaseSeconds float64 `toml:"lease_s"`
	// GangWaitSeconds is how long a task waits for its gang to be complete.
	GangWaitSeconds float64 `toml:"gang_wait_s"`
	// GangPeerSeconds is within what time the tasks of a gang notice that one is lost, or have to be stopped together.
	GangPeerSeconds float64 `toml:"gang_peer_s"`
	// CancelSeconds is within what time the tasks of a job end after its user has learnt that it is cancelled.
	CancelSeconds float64 `toml:"cancel_s"`
}

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that the store will have at some time after an upgrade; one of 0 does not change.
	Next FutureStoreLimits `toml:"next"`
}

// FutureStoreLimits are limits of the key-value store that may come into force later.
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
		RPS:      lower(s.RPS, s.Next.RPS),
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

// Seconds converts a setting in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and validates a settings file. A setting that is missing or invalid is reported as a FieldError, one that
// is not TOML or of another type as a DecodeError.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(raw)
}

// Parse decodes and validates settings; see Load.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(raw, &s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			line, column := de.Position()
			return nil, fmt.Errorf("settings: %w", &DecodeError{Line: line, Column: column, Key: de.Key(), Err: de})
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &s, nil
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
