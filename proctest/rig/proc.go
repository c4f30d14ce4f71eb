package rig

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

const stopTimeout = 40 * time.Second // a process that takes longer for a planned stop is killed

// Proc is one process that the rig started.
type Proc struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// startProcess starts a process whose output is appended to NAME.log.
func (r *Rig) startProcess(name, binary string, args ...string) (*Proc, error) {
	log, err := os.OpenFile(filepath.Join(r.opts.OutputDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Proc{Name: name, log: log, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(r.opts.BinDir, binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives a test that is killed
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	r.procs = append(r.procs, p)
	return p, nil
}

// PID returns the process id.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// hasExited reports whether the process has exited.
func (p *Proc) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill kills the process and waits for its end.
func (p *Proc) Kill() { p.signal(syscall.SIGKILL); <-p.done }

// Freeze suspends the process until Thaw.
func (p *Proc) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Proc) Thaw() { p.signal(syscall.SIGCONT) }

// Stop begins a planned stop of the process. Wait waits for its end.
func (p *Proc) Stop() { p.signal(syscall.SIGTERM) }

// Wait waits for the end of the process, kills it after stopTimeout, and returns
// its exit code.
func (p *Proc) Wait() int {
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.Kill()
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *Proc) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// crashMarkers are texts in a log that show that the process crashed or has a
// data race.
var crashMarkers = []string{"DATA RACE", "panic", "fatal error"}

// CrashLines returns the lines of all logs that show a panic, a fatal error or a
// data race.
func (r *Rig) CrashLines() ([]string, error) {
	logs, err := filepath.Glob(filepath.Join(r.opts.OutputDir, "*.log"))
	if err != nil {
		return nil, err
	}
	var out []string
	for _, file := range logs {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(b)) {
			marked := slices.ContainsFunc(crashMarkers, func(m string) bool { return strings.Contains(line, m) })
			if marked {
				out = append(out, filepath.Base(file)+": "+strings.TrimSpace(line))
			}
		}
	}
	return out, nil
}

// Close kills all processes of the rig and releases its port range.
func (r *Rig) Close() {
	for _, p := range r.procs {
		p.Kill()
		_ = p.log.Close()
	}
	if r.portGuard != nil {
		_ = r.portGuard.Close()
	}
}
