package loadtest

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"

	"github.com/prometheus/procfs"
)

// process is a child process. The kernel kills it when this process ends in any way, including a crash.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
}

// startProcess starts a command. In the background it calls readOutput, if that is not nil, and then waits for the
// process to exit.
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
		_ = cmd.Wait() // the exit status does not matter: checkInvariants finds out whether the exit was expected
		close(p.exited)
	}()
	return p, nil
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails only if the process has already exited
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

// resourceUsage is the resource usage of a process: CPUSeconds and Bytes since its start, MemoryMB and Sockets at
// present.
type resourceUsage struct {
	CPUSeconds float64
	MemoryMB   float64
	Sockets    int
	Bytes      uint64 // read and written by system calls of any kind
}

// readUsage reads the resource usage of a process from /proc.
func readUsage(pid int) (resourceUsage, error) {
	usage, err := readProcUsage(pid)
	if err != nil {
		return resourceUsage{}, fmt.Errorf("read the resource usage of process %d: %w", pid, err)
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
