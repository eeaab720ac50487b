package loadtest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"pinebay/internal/config"
)

// Log messages of the controllers that the load test evaluates.
const (
	logStepTimes   = "step times"   // logged by package timing
	logRecordsRead = "records read" // logged by package leader when a new leader has read all records
)

// controllerProcess is a controller that runs as a process of the built program. It can be killed and started again.
type controllerProcess struct {
	name         string
	addr         string
	program      string
	settingsPath string
	featureFlags []string
	log          io.Writer

	mu              sync.Mutex
	process         *process // nil before the first start
	killed          bool     // killed by the load test since the last start
	stepTimesByKind map[string]stepTimes
	recordsReadAt   time.Time // time of the last logRecordsRead message
}

// controllerSettings returns the settings of the controller with the given number.
func controllerSettings(c *Config, l Load, teams []config.Team, number int) *config.Settings {
	const cancelTimeoutLeases, gangWaitLeases = 4, 3
	zones := zoneNames(l.Zones)
	s := &config.Settings{
		Name:       controllerName(number),
		Location:   zones[number%len(zones)],
		ListenAddr: c.controllerAddr(number),
		MeshAddr:   c.meshAddr(number),
		Endpoints:  config.Endpoints{Cloud: c.cloudAddr(), Store: c.storeAddr()},
		Deployment: config.Deployment{
			Controllers:      l.Controllers,
			Zones:            zones,
			MaxClockOffsetMS: 250,
			Teams:            teams,
			Workers: config.Workers{
				HeartbeatSeconds: c.HeartbeatInterval.Seconds(),
				LeaseSeconds:     c.Lease.Seconds(),
				GangWaitSeconds:  gangWaitLeases * c.Lease.Seconds(),
				GangPeerSeconds:  5,
				CancelSeconds:    cancelTimeoutLeases * c.Lease.Seconds(),
			},
			Store:      c.Store,
			Cloud:      c.Cloud,
			Quota:      c.Quota,
			Objectives: []config.Objective{{Kind: "wait", Class: classUrgent, WithinSeconds: 1.1, Fraction: 0.99}},
		},
	}
	for peer := range l.Controllers {
		if peer != number {
			s.Seeds = append(s.Seeds, config.Peer{
				Name:     controllerName(peer),
				Location: zones[peer%len(zones)],
				Addr:     c.meshAddr(peer),
			})
		}
	}
	return s
}

func controllerName(number int) string { return fmt.Sprintf("controller-%d", number) }

func zoneNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("zone-%d", i))
	}
	return names
}

// newControllerProcess writes the settings file of a controller to dir and opens its log file, if logs are kept. It
// does not start the process.
func newControllerProcess(c *Config, dir string, s *config.Settings) (*controllerProcess, error) {
	raw, err := toml.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode the settings of %s: %w", s.Name, err)
	}
	p := &controllerProcess{
		name:            s.Name,
		addr:            s.ListenAddr,
		program:         c.ControllerProgram,
		settingsPath:    filepath.Join(dir, s.Name+".toml"),
		log:             io.Discard,
		stepTimesByKind: map[string]stepTimes{},
	}
	if err := os.WriteFile(p.settingsPath, raw, 0o600); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", s.Name, err)
	}
	if c.Ownership {
		p.featureFlags = []string{"--ownership"}
	}
	if c.LogDir != "" {
		f, err := os.Create(filepath.Join(c.LogDir, s.Name+".log"))
		if err != nil {
			return nil, fmt.Errorf("create the log of %s: %w", s.Name, err)
		}
		p.log = f
	}
	return p, nil
}

// start starts the process, for the first time or after kill.
func (p *controllerProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	args := append(p.featureFlags, "--step-times", "--config", p.settingsPath)
	//nolint:noctx // kill ends it, so that exitedUnexpectedly can tell a kill from a crash
	cmd := exec.Command(p.program, args...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	started, err := startProcess(cmd, func() { p.readLog(stderr) })
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.process, p.killed = started, false
	return nil
}

// readLog copies the controller's log to p.log and evaluates the messages that the load test uses.
func (p *controllerProcess) readLog(stderr io.Reader) {
	const maxLineBytes = 1 << 20
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		_, _ = fmt.Fprintln(p.log, line) // an incomplete log must not end the load test
		switch {
		case hasMessage(line, logStepTimes):
			p.addStepTimes(line)
		case hasMessage(line, logRecordsRead):
			p.mu.Lock()
			p.recordsReadAt = time.Now()
			p.mu.Unlock()
		}
	}
}

// hasMessage reports whether a logfmt line has the given message. The message must consist of several words, because
// only then is it quoted in the line.
func hasMessage(line, message string) bool { return strings.Contains(line, `msg="`+message+`"`) }

func (p *controllerProcess) addStepTimes(line string) {
	kind, times := parseStepTimes(line)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepTimesByKind[kind] = p.stepTimesByKind[kind].merge(times)
}

func (p *controllerProcess) resetStepTimes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepTimesByKind = map[string]stepTimes{}
}

// addStepTimesTo merges the step times since the last reset into sum.
func (p *controllerProcess) addStepTimesTo(sum map[string]stepTimes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for kind, times := range p.stepTimesByKind {
		sum[kind] = sum[kind].merge(times)
	}
}

// recordsReadSince returns the time at which the controller, as a new leader, last finished reading all records. It
// returns false if that was not after the given time.
func (p *controllerProcess) recordsReadSince(since time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recordsReadAt, p.recordsReadAt.After(since)
}

// signal sends a signal to the process. It does nothing if the process has not been started or has exited.
func (p *controllerProcess) signal(sig os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return nil
	}
	if err := p.process.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	return nil
}

// kill kills the process, if it has been started, and waits until it has exited.
func (p *controllerProcess) kill() {
	p.mu.Lock()
	running := p.process
	p.killed = true
	p.mu.Unlock()
	if running != nil {
		running.kill()
	}
}

// exitedUnexpectedly reports whether the process has exited although kill was not called.
func (p *controllerProcess) exitedUnexpectedly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process != nil && !p.killed && p.process.hasExited()
}

func (p *controllerProcess) usage() (resourceUsage, error) {
	p.mu.Lock()
	pid := p.process.pid()
	p.mu.Unlock()
	return readUsage(pid)
}
