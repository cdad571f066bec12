package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/greengagegate/greengagegate/internal/fault"
)

// clockTick is the unit of processor times in /proc/PID/stat: 1/USER_HZ, with the 100
// that is usual on Linux.
const clockTick = 10 * time.Millisecond

var errStopTimeout = errors.New("did not stop in time")

// process is one child process, which may be stopped and started again. Its callers
// must not start and stop it concurrently; process does not prevent it.
type process struct {
	name     string
	program  string
	settings string
	logPath  string

	// exited is closed when the running incarnation has exited. It is nil before
	// the first start.
	exited   chan struct{}
	stopping atomic.Bool
	failures chan<- error

	mu      sync.Mutex
	command *exec.Cmd
	// earlierProcessorTime is the processor time of stopped incarnations.
	earlierProcessorTime time.Duration
}

// start starts the program and appends its output to the log file. If the process
// exits without a call of stop or kill, an error is sent to p.failures.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(p.program, "-config", p.settings)
	command.Stderr = log
	command.Stdout = log
	if err := command.Start(); err != nil {
		return fault.Wrap(err, "start process", p.name)
	}
	p.mu.Lock()
	p.command = command
	p.mu.Unlock()
	p.exited = make(chan struct{})
	p.stopping.Store(false)
	go p.waitForExit(command, p.exited)
	return nil
}

// waitForExit waits until the command has exited and closes exited. If the exit was
// unexpected, it sends an error to p.failures and drops it when the channel is full.
func (p *process) waitForExit(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	defer close(exited)
	if p.stopping.Load() {
		return
	}
	failure := fmt.Errorf("process %s ended by itself: %v, see %s", p.name, err, p.logPath)
	select {
	case p.failures <- failure:
	default:
	}
}

// stop sends SIGTERM and waits until the process has exited. After the timeout it
// kills the process and returns an error. It also returns an error if the exit code
// is not 0, and nil if the process was never started.
func (p *process) stop(timeout time.Duration) error {
	if p.exited == nil {
		return nil
	}
	p.stopping.Store(true)
	p.addProcessorTime()
	_ = p.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return p.exitError()
	case <-timer.C:
		_ = p.command.Process.Kill()
		<-p.exited
		return fault.Wrap(errStopTimeout, "stop process", p.name)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.stopping.Store(true)
	p.addProcessorTime()
	_ = p.command.Process.Kill()
	<-p.exited
}

// exitError returns an error if the exit code of the last incarnation is not 0.
func (p *process) exitError() error {
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		return fault.Wrap(fmt.Errorf("exit code %d, see %s", code, p.logPath), "stop process", p.name)
	}
	return nil
}

// addProcessorTime adds the processor time of the running incarnation to that of the
// earlier ones. It must be called before the process exits, since its entry in /proc
// then disappears.
func (p *process) addProcessorTime() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.earlierProcessorTime += readProcessorTime(p.command.Process.Pid)
}

// processorTime returns the processor time of all incarnations. The time that a
// process uses while it stops is not included.
func (p *process) processorTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.stopping.Load() {
		return p.earlierProcessorTime
	}
	return p.earlierProcessorTime + readProcessorTime(p.command.Process.Pid)
}

// readProcessorTime returns the processor time of a running process, or 0 if it cannot
// be read.
func readProcessorTime(pid int) time.Duration {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	// The fields are counted from the one after the program's name, since the name
	// may contain blanks.
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0
	}
	user, userErr := strconv.ParseInt(string(fields[userField]), 10, 64)
	system, systemErr := strconv.ParseInt(string(fields[systemField]), 10, 64)
	if userErr != nil || systemErr != nil {
		return 0
	}
	return time.Duration(user+system) * clockTick
}
