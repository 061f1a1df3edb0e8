package lab

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Process is a program that the lab runs. Its output is appended to a log file.
type Process struct {
	Name    string
	LogFile string

	path string
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts the program. An earlier run must have ended.
func (p *Process) start() error {
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer log.Close() // the program has its own descriptor
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err, "starting %s", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // Wait reads the result from cmd.ProcessState
		close(done)
	}()
	return nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return trace.Wrap(p.cmd.Process.Signal(s), "sending %s to %s", s, p.Name)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() error {
	select {
	case <-p.done:
		return nil
	default:
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Freeze stops the process with SIGSTOP until Thaw. Threads may continue to run
// briefly after the signal, so it waits until all of them have stopped.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for {
		running, err := p.runningThreads()
		if err != nil || running == 0 {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// runningThreads returns the number of threads that are not stopped, according to
// /proc.
func (p *Process) runningThreads() (int, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Pid()))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	running := 0
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		if !strings.HasPrefix(rest, "T") {
			running++
		}
	}
	return running, nil
}

// Thaw continues a frozen process with SIGCONT.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, waits until the process has ended and returns its exit
// code.
func (p *Process) Terminate(ctx context.Context) (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	return p.Wait(ctx)
}

// Wait waits until the process has ended and returns its exit code.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, trace.Wrap(ctx.Err(), "waiting for %s to exit", p.Name)
	}
}

// Restart waits until the process has ended and starts the program again.
func (p *Process) Restart() error {
	<-p.done
	return p.start()
}

// stop terminates the process, or kills it if it has not ended by the timeout.
func (p *Process) stop(timeout time.Duration) {
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // continues a frozen process; fails if it has ended
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if _, err := p.Terminate(ctx); err != nil {
		_ = p.Kill() // fails only if the process has ended
	}
}

// newProcess returns a process, not yet started, whose log file is in Dir.
func (l *Lab) newProcess(name, program string, args ...string) *Process {
	return &Process{
		Name: name, LogFile: filepath.Join(l.config.Dir, name+".log"),
		path: filepath.Join(l.bin, program), args: args,
	}
}

// launch starts a process and registers it for Stop.
func (l *Lab) launch(p *Process) error {
	if err := p.start(); err != nil {
		return err
	}
	l.processes = append(l.processes, p)
	return nil
}
