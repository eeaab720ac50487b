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
	"syscall"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pelletier/go-toml/v2"
	"github.com/prometheus/procfs"

	"pinebay/internal/config"
)

// controllerProcess is a controller that runs as a process of the built program.
type controllerProcess struct {
	name         string
	addr         string
	settings     string // path
	program      string
	featureFlags []string // flags
	logFile      io.Writer

	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	killed     bool // we ended it
	steps      map[string]stepTimes
	lastLogged map[string]time.Time // when certain lines were last logged
}

// stepTimes is the worst that a controller logged of a kind of step.
type stepTimes struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"` // over all
	P99MS  float64 `json:"p99_ms"`  // of the worst interval
	MaxMS  float64 `json:"max_ms"`
}

// controllerSettings returns the settings file of one controller.
func controllerSettings(
	c *Config,
	l Load,
	teams []config.Team,
	node int,
	stateAddr, cloudAddr string,
) *config.Settings {
	zones := zoneNames(l.Zones)
	s := &config.Settings{
		Name: controllerName(
			node,
		),
		Location:   zones[node%len(zones)],
		ListenAddr: c.controllerAddr(node),
		MeshAddr:   c.meshAddr(node),
		Endpoints:  config.Endpoints{Cloud: cloudAddr, Store: stateAddr},
		Deployment: config.Deployment{
			Controllers: l.Controllers, Zones: zones, MaxClockOffsetMS: 250, Teams: teams,
			Workers: config.Workers{
				HeartbeatSeconds: c.HeartbeatInterval.Seconds(),
				LeaseSeconds:     c.Lease.Seconds(),
				GangWaitSeconds:  3 * c.Lease.Seconds(),
				GangPeerSeconds:  5,
				CancelSeconds:    4 * c.Lease.Seconds(),
			},
			Store: c.stateLimits(), Cloud: c.cloudLimits(),
			Quota:      config.Quota{CoreShare: c.CoreShare, RAMMB: c.RAMMB, MaxSockets: c.MaxSockets},
			Objectives: []config.Objective{{Kind: "wait", Class: classUrgent, WithinSeconds: 1.1, Fraction: 0.99}},
		},
	}
	for peer := range l.Controllers {
		if peer != node {
			s.Seeds = append(
				s.Seeds,
				config.Peer{Name: controllerName(peer), Location: zones[peer%len(zones)], Addr: c.meshAddr(peer)},
			)
		}
	}
	return s
}

func (c *Config) stateLimits() config.StoreLimits {
	const valueKB = 8
	return config.StoreLimits{RPS: c.StateRPS, WriteRPS: c.StateWriteRPS, ValueKB: valueKB, TxnOps: c.StateTxnOps}
}

func (c *Config) cloudLimits() config.Cloud {
	const listLagS = 8
	return config.Cloud{RPS: c.CloudRPS, ListLagSeconds: listLagS}
}

func controllerName(node int) string { return fmt.Sprintf("controller-%d", node) }

func zoneNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("zone-%d", i))
	}
	return names
}

func (c *Config) controllerAddr(node int) string {
	return fmt.Sprintf("127.0.0.1:%d", c.Port+portsNeeded+portsPerController*node)
}

func (c *Config) meshAddr(node int) string {
	return fmt.Sprintf("127.0.0.1:%d", c.Port+portsNeeded+portsPerController*node+1)
}

// newController writes a controller's settings.
func newController(c *Config, dir string, s *config.Settings) (*controllerProcess, error) {
	raw, err := toml.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	path := filepath.Join(dir, s.Name+".toml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p := &controllerProcess{name: s.Name, addr: s.ListenAddr, settings: path, program: c.Program, logFile: io.Discard}
	if c.Ownership {
		p.featureFlags = []string{"--ownership"}
	}
	if c.LogDir != "" {
		f, err := os.Create(filepath.Join(c.LogDir, s.Name+".log"))
		if err != nil {
			return nil, fmt.Errorf("log: %w", err)
		}
		p.logFile = f
	}
	p.resetSteps()
	p.lastLogged = map[string]time.Time{}
	return p, nil
}

func (p *controllerProcess) resetSteps() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps = map[string]stepTimes{}
}

// start starts the process. It ends with this one, however that ends.
func (p *controllerProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.program, append(p.featureFlags, "--step-times", "--config", p.settings)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.cmd, p.killed, p.exited = cmd, false, make(chan struct{})
	go p.wait(cmd, out, p.exited)
	return nil
}

func (p *controllerProcess) wait(cmd *exec.Cmd, out io.Reader, exited chan struct{}) {
	p.readLog(out)
	_ = cmd.Wait() // how it ended shows in whether we ended it
	close(exited)
}

// readLog takes in what the controller logs.
func (p *controllerProcess) readLog(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		fmt.Fprintln(p.logFile, line)
		if strings.Contains(line, `msg="step times"`) {
			p.recordStepTimes(line)
		}
		for _, fact := range []string{"records read", "leading", "term over"} {
			if strings.Contains(line, "msg="+fact) || strings.Contains(line, `msg="`+fact) {
				p.mu.Lock()
				p.lastLogged[fact] = time.Now()
				p.mu.Unlock()
			}
		}
	}
}

// recordStepTimes adds up a line of step times.
func (p *controllerProcess) recordStepTimes(line string) {
	kind, values := "", map[string]float64{}
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			var v float64
			if string(d.Key()) == "kind" {
				kind = string(d.Value())
			} else if _, err := fmt.Sscan(string(d.Value()), &v); err == nil {
				values[string(d.Key())] = v
			}
		}
	}
	const microsPerMilli = 1000
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.steps[kind]
	count := int64(values["count"])
	if total := s.Count + count; total > 0 {
		s.MeanMS = (s.MeanMS*float64(s.Count) + values["mean_us"]/microsPerMilli*float64(count)) / float64(total)
	}
	s.Count += count
	s.P99MS = max(s.P99MS, values["p99_us"]/microsPerMilli)
	s.MaxMS = max(s.MaxMS, values["max_us"]/microsPerMilli)
	p.steps[kind] = s
}

// stepTimesSnapshot returns what was logged since the last reset.
func (p *controllerProcess) stepTimesSnapshot() map[string]stepTimes {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]stepTimes{}
	for k, s := range p.steps {
		out[k] = s
	}
	return out
}

// loggedSince says when a fact was logged after a time.
func (p *controllerProcess) loggedSince(fact string, since time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.lastLogged[fact]
	return at, at.After(since)
}

// signal sends a signal to the process.
func (p *controllerProcess) signal(sig os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	return nil
}

// kill ends the process without warning.
func (p *controllerProcess) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.killed = true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended by itself
	<-exited
}

// exitedUnexpectedly says whether the process has ended and we did not end it.
func (p *controllerProcess) exitedUnexpectedly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.killed {
		return false
	}
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// resourceUsage is what a process has used so far, and holds now.
type resourceUsage struct {
	CPU     float64 // seconds
	MemMB   float64
	Sockets int
	Bytes   uint64 // read and written, over all sockets
}

// usage reads the process's counters.
func (p *controllerProcess) usage() (resourceUsage, error) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	return readUsage(cmd.Process.Pid)
}

func readUsage(pid int) (resourceUsage, error) {
	fail := func(err error) (resourceUsage, error) {
		return resourceUsage{}, fmt.Errorf("usage of process %d: %w", pid, err)
	}
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return fail(err)
	}
	stat, err := proc.Stat()
	if err != nil {
		return fail(err)
	}
	targets, err := proc.FileDescriptorTargets()
	if err != nil {
		return fail(err)
	}
	io, err := proc.IO()
	if err != nil {
		return fail(err)
	}
	u := resourceUsage{
		CPU:   stat.CPUTime(),
		MemMB: float64(stat.ResidentMemory()) / (1 << 20),
		Bytes: io.RChar + io.WChar,
	}
	for _, t := range targets {
		if strings.HasPrefix(t, "socket:") {
			u.Sockets++
		}
	}
	return u, nil
}
