// Package config reads and validates the settings file that the platform provides to each controller. All timeouts,
// rates and limits of the service are derived from the settings.
//
// The toml tags are the names in the settings file, which are agreed with the platform. The Go names follow the terms
// of the code.
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the settings file of one controller. Keys in the file without a field here are ignored.
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

// Endpoints holds the addresses of the services that a controller depends on.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Deployment holds the settings that are the same for all controllers.
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

// Team is a team with its guaranteed quota and its quota limit for CPUs and GPUs. A value of 0 means that there is no
// guarantee or no limit.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"`
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"`
	MaxGPUs        float64 `toml:"gpus_max"`
}

// ObjectiveKind is the kind of a service-level objective.
type ObjectiveKind string

// Kinds of objectives. The values are those in the settings file.
const (
	// ObjectiveStartLatency is an objective for the time from the submission of a job to its start.
	ObjectiveStartLatency ObjectiveKind = "wait"
	// ObjectiveCompletion is an objective for the time from the submission of a job to its end.
	ObjectiveCompletion ObjectiveKind = "finished"
	// ObjectiveDeadline is an objective for meeting the deadline that a job specifies.
	ObjectiveDeadline ObjectiveKind = "deadline"
)

// Objective is a service-level objective. It states which fraction of the jobs of a class must start or end within a
// time limit, or meet their deadlines.
type Objective struct {
	Kind          ObjectiveKind `toml:"kind"`
	Class         string        `toml:"class"`
	WithinSeconds float64       `toml:"within_s"`
	Fraction      float64       `toml:"share"`
	// DeadlineFactor is the multiple of its deadline that a job may take, for objectives of kind ObjectiveDeadline.
	DeadlineFactor float64 `toml:"times"`
}

// Workers holds the time limits of the protocol with the workers.
type Workers struct {
	// HeartbeatSeconds is the interval of a worker's heartbeats, which may vary by up to a quarter.
	HeartbeatSeconds float64 `toml:"report_s"`
	// LeaseSeconds is the duration of a lease: how long a worker keeps running its tasks after it sent the last
	// heartbeat that was answered.
	LeaseSeconds float64 `toml:"lease_s"`
	// GangWaitSeconds limits how long a task waits for its gang to be complete.
	GangWaitSeconds float64 `toml:"gang_wait_s"`
	// GangPeerSeconds limits the time in which the tasks of a gang detect the loss of one of them, and in which they
	// must be stopped together.
	GangPeerSeconds float64 `toml:"gang_peer_s"`
	// CancelSeconds limits the time from the moment at which a user is told that a job is cancelled until its tasks
	// have ended.
	CancelSeconds float64 `toml:"cancel_s"`
}

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that the store will have at some time after an upgrade. A value of 0 means that the limit
	// will not change.
	Next FutureStoreLimits `toml:"next"`
}

// FutureStoreLimits holds limits of the key-value store that may take effect later.
type FutureStoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Lowest returns the lower of each current and future limit, which is valid both before and after the change.
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

// Cloud holds the limits of the cloud API.
type Cloud struct {
	RPS            float64 `toml:"rps"`
	ListLagSeconds float64 `toml:"list_lag_s"`
}

// Quota holds the resources that one controller process may use.
type Quota struct {
	CoreShare  float64 `toml:"core_share"`
	RAMMB      float64 `toml:"ram_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// workerRequestSocketShare is the share of a process's sockets for requests to the addresses of workers. As many more
// connections to workers may be idle.
const workerRequestSocketShare = 1. / 16

// MaxWorkerRequests returns how many requests to the addresses of workers may be in flight at a time. Each takes a
// socket.
func (q *Quota) MaxWorkerRequests() int {
	return max(1, int(float64(q.MaxSockets)*workerRequestSocketShare))
}

// Seconds converts a setting in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and validates a settings file. The error contains a FieldError if a setting is missing or invalid, and a
// DecodeError if the file is not valid TOML or a value has the wrong type.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(raw)
}

// Parse decodes and validates settings. Its errors are those of Load.
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

// Team returns the team with the given name, or nil if there is none.
func (d *Deployment) Team(name string) *Team {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i]
		}
	}
	return nil
}
