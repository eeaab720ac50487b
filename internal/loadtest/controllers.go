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

// Messages that the controllers log, by which the load test follows them.
const (
	logStepTimes   = "step times"   // of the package timing
	logRecordsRead = "records read" // of the package leader, when it has read all records
)

// controllerProcess is a controller that runs as a process of the built program.
type controllerProcess struct {
	name         string
	addr         string
	program      string
	settingsPath string
	featureFlags []string
	log          io.Writer

	mu            sync.Mutex
	process       *process // nil before the first start
	killed        bool     // since the last start
	steps         map[string]stepTimes
	recordsReadAt time.Time // the last time
}

// controllerSettings returns the settings of one controller.
func controllerSettings(c *Config, l Load, teams []config.Team, number int) *config.Settings {
	const leasesToCancel, leasesToWaitForGang = 4, 3
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
				GangWaitSeconds:  leasesToWaitForGang * c.Lease.Seconds(),
				GangPeerSeconds:  5,
				CancelSeconds:    leasesToCancel * c.Lease.Seconds(),
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

// newController writes a controller's settings file to a directory. It starts nothing yet.
func newController(c *Config, dir string, s *config.Settings) (*controllerProcess, error) {
	raw, err := toml.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode the settings of %s: %w", s.Name, err)
	}
	p := &controllerProcess{
		name:         s.Name,
		addr:         s.ListenAddr,
		program:      c.Program,
		settingsPath: filepath.Join(dir, s.Name+".toml"),
		log:          io.Discard,
		steps:        map[string]stepTimes{},
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

// start starts the controller, for the first time or again after kill.
func (p *controllerProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	args := append(p.featureFlags, "--step-times", "--config", p.settingsPath)
	//nolint:noctx // kill ends it, so that checkInvariants knows why it has exited
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

// readLog copies the controller's log and picks out what the load test follows.
func (p *controllerProcess) readLog(stderr io.Reader) {
	const maxLineBytes = 1 << 20
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		_, _ = fmt.Fprintln(p.log, line) // a log that is not complete does not end the load test
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

// hasMessage reports whether a log line has the message, which must be of several words.
func hasMessage(line, message string) bool { return strings.Contains(line, `msg="`+message+`"`) }

func (p *controllerProcess) addStepTimes(line string) {
	kind, times := parseStepTimes(line)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps[kind] = p.steps[kind].plus(times)
}

func (p *controllerProcess) resetSteps() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps = map[string]stepTimes{}
}

// addStepsTo adds the step times since the last reset to a sum.
func (p *controllerProcess) addStepsTo(sum map[string]stepTimes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for kind, times := range p.steps {
		sum[kind] = sum[kind].plus(times)
	}
}

// recordsReadSince returns when the controller, as a new leader, last read all records, and false
// if that was not after the given time.
func (p *controllerProcess) recordsReadSince(since time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recordsReadAt, p.recordsReadAt.After(since)
}

// signal sends a signal to the process, if it runs.
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

// kill kills the process and waits until it has exited.
func (p *controllerProcess) kill() {
	p.mu.Lock()
	running := p.process
	p.killed = true
	p.mu.Unlock()
	if running != nil {
		running.kill()
	}
}

// exitedUnexpectedly reports whether the process has exited without having been killed.
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
