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

const killAfter = 40 * time.Second // a stop that takes longer has failed

// Proc is one process that the rig started.
type Proc struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// exec starts a process; its output goes to a log of its name.
func (r *Rig) exec(name, binary string, args ...string) (*Proc, error) {
	log, err := os.OpenFile(filepath.Join(r.opts.OutputDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Proc{Name: name, log: log, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(r.opts.BinDir, binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives a test that dies
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

// PID returns the process's id.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// ended reports whether the process has ended.
func (p *Proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill ends the process without warning.
func (p *Proc) Kill() { p.signal(syscall.SIGKILL); <-p.done }

// Freeze stops the process from running until Thaw.
func (p *Proc) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Proc) Thaw() { p.signal(syscall.SIGCONT) }

// Stop begins a planned stop; Wait waits for its end.
func (p *Proc) Stop() { p.signal(syscall.SIGTERM) }

// Wait waits for the process's end and returns its exit code.
func (p *Proc) Wait() int {
	select {
	case <-p.done:
	case <-time.After(killAfter):
		p.Kill()
	}
	return p.cmd.ProcessState.ExitCode()
}

func (p *Proc) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// crashMarks are what a log holds when a process failed by a fault of its own.
var crashMarks = []string{"DATA RACE", "panic", "fatal error"}

// Crashes returns the log lines that show a panic or a data race.
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
			marked := slices.ContainsFunc(crashMarks, func(m string) bool { return strings.Contains(line, m) })
			if marked {
				out = append(out, filepath.Base(file)+": "+strings.TrimSpace(line))
			}
		}
	}
	return out, nil
}

// Close ends every process of the rig.
func (r *Rig) Close() {
	for _, p := range r.procs {
		p.Kill()
		_ = p.log.Close()
	}
	if r.guard != nil {
		_ = r.guard.Close()
	}
}
