package loadtest

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"

	"github.com/prometheus/procfs"
)

// process is a child process. It is killed when this process ends, however that ends.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when it has exited
}

// startProcess starts a command and waits for it in the background, after readOutput, if that is
// not nil, has returned.
func startProcess(cmd *exec.Cmd, readOutput func()) (*process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", cmd.Path, err)
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		if readOutput != nil {
			readOutput()
		}
		_ = cmd.Wait() // whether it should have exited is decided by checkInvariants, whatever its status
		close(p.exited)
	}()
	return p, nil
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails if it has exited already
	<-p.exited
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// resourceUsage is what a process has used since its start, and what it holds now.
type resourceUsage struct {
	CPUSeconds float64
	MemoryMB   float64
	Sockets    int
	Bytes      uint64 // read and written, by any system call
}

// readUsage reads a process's counters.
func readUsage(pid int) (resourceUsage, error) {
	usage, err := readProcUsage(pid)
	if err != nil {
		return resourceUsage{}, fmt.Errorf("read the usage of process %d: %w", pid, err)
	}
	return usage, nil
}

func readProcUsage(pid int) (resourceUsage, error) {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return resourceUsage{}, fmt.Errorf("open: %w", err)
	}
	stat, err := proc.Stat()
	if err != nil {
		return resourceUsage{}, fmt.Errorf("stat: %w", err)
	}
	descriptors, err := proc.FileDescriptorTargets()
	if err != nil {
		return resourceUsage{}, fmt.Errorf("file descriptors: %w", err)
	}
	transferred, err := proc.IO()
	if err != nil {
		return resourceUsage{}, fmt.Errorf("io: %w", err)
	}
	usage := resourceUsage{
		CPUSeconds: stat.CPUTime(),
		MemoryMB:   float64(stat.ResidentMemory()) / mib,
		Bytes:      transferred.RChar + transferred.WChar,
	}
	for _, target := range descriptors {
		if strings.HasPrefix(target, "socket:") {
			usage.Sockets++
		}
	}
	return usage, nil
}
