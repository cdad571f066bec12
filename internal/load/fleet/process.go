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

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

var errStopTimeout = errors.New("did not stop in time")

// process is one child process.
type process struct {
	name     string
	program  string
	settings string
	logPath  string

	done     chan struct{}
	stopping atomic.Bool
	failed   chan<- error

	mu      sync.Mutex
	command *exec.Cmd
	spent   time.Duration // processor time of earlier lives
}

// start starts the program. An end that was not asked for is sent to p.failed.
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
	p.done = make(chan struct{})
	p.stopping.Store(false)
	go p.wait(command, p.done)
	return nil
}

func (p *process) wait(command *exec.Cmd, done chan struct{}) {
	err := command.Wait()
	defer close(done)
	if p.stopping.Load() {
		return
	}
	failure := fmt.Errorf("process %s ended by itself: %v, see %s", p.name, err, p.logPath)
	select {
	case p.failed <- failure:
	default:
	}
}

// stop asks the process to stop and waits. After the timeout it is killed,
// which is an error.
func (p *process) stop(timeout time.Duration) error {
	if p.done == nil {
		return nil
	}
	p.stopping.Store(true)
	p.endLife()
	_ = p.command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.exitError()
	case <-timer.C:
		_ = p.command.Process.Kill()
		<-p.done
		return fault.Wrap(errStopTimeout, "stop process", p.name)
	}
}

// kill ends the process without notice and waits.
func (p *process) kill() {
	p.stopping.Store(true)
	p.endLife()
	_ = p.command.Process.Kill()
	<-p.done
}

func (p *process) exitError() error {
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		return fault.Wrap(fmt.Errorf("exit code %d, see %s", code, p.logPath), "stop process", p.name)
	}
	return nil
}

// endLife adds the present life's processor time to that of the earlier ones.
func (p *process) endLife() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spent += lifeTime(p.command.Process.Pid)
}

// processorTime returns the processor time of all lives, without what a process
// that is stopping uses from then on.
func (p *process) processorTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.stopping.Load() {
		return p.spent
	}
	return p.spent + lifeTime(p.command.Process.Pid)
}

// lifeTime returns the processor time of a running process, 0 when there is none.
func lifeTime(pid int) time.Duration {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	// The fields after the program's name, which may hold blanks.
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
