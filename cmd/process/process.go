// Package process implements what all binaries share: reading settings, running until a
// signal, logging, periodic loops and exit codes.
package process

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
)

// Version is the product's version.
const Version = "0.1.0"

// Exit codes of all binaries.
const (
	ExitOK      = 0
	ExitFailure = 1 // the command ran and failed
	ExitUsage   = 2 // bad arguments or settings; nothing was done
)

// Process is a service that runs until it is stopped.
type Process interface {
	Start() error
	Stop() error // graceful shutdown: returns after the requests in flight have finished
}

// Run starts p, waits for SIGTERM or SIGINT, stops p, and returns an exit code.
// A second signal ends the process at once.
func Run(p Process) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := p.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailure
	}
	<-signals
	go func() {
		<-signals
		os.Exit(ExitFailure)
	}()
	if err := p.Stop(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailure
	}
	return ExitOK
}

// Load reads a settings file and parses it with the given function.
func Load[T any](file string, parse func(string, []byte) (*T, error)) (*T, error) {
	if file == "" {
		return nil, trace.BadParameter("-config FILE is missing")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return parse(file, data)
}
