package node

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	hclog "github.com/hashicorp/go-hclog"

	"quinceroad/cmd/process"
	"quinceroad/platform"
	"quinceroad/transport/logsink"
)

// memoryLimitShare is the share of an instance's memory that becomes the garbage
// collector's soft memory limit.
const memoryLimitShare = 0.5

// gcPercent is the heap growth, in percent, that triggers a garbage collection.
const gcPercent = 60

const bytesPerMB = 1 << 20

const (
	logQueueLines   = 2000                   // log lines that may wait to be written
	logCloseTimeout = 100 * time.Millisecond // time to write the remaining log lines at exit
)

// Main runs quince-node and returns its exit code.
func Main(args []string) int {
	flags := flag.NewFlagSet("quince-node", flag.ContinueOnError)
	check := flags.Bool("check", false, "check the settings and exit")
	version := flags.Bool("version", false, "print the version and exit")
	level := flags.String("log-level", "info", "trace, debug, info, warn or error")
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "usage: %s=FILE quince-node [-check] [-log-level LEVEL]\n\nexit codes: 0 stopped as planned, 1 failed, 2 bad arguments or settings\n\n", platform.SettingsVariable)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return process.ExitOK
		}
		return process.ExitUsage
	}
	if *version {
		fmt.Println("quince-node", process.Version)
		return process.ExitOK
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitUsage
	}
	if *check {
		fmt.Println("the settings are good")
		return process.ExitOK
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(settings.MemoryMB * memoryLimitShare * bytesPerMB))
	sink := logsink.New(os.Stderr, logQueueLines)
	defer sink.Close(logCloseTimeout)
	n := New(settings, newLogger(settings, *level, sink))
	n.droppedLines = sink.Dropped
	return serveUntilStopped(n)
}

func newLogger(s *platform.Settings, level string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:   "node",
		Level:  hclog.LevelFromString(level),
		Output: w,
	}).With("instance", s.Name)
}

// serveUntilStopped runs the node until SIGTERM or SIGINT. SIGHUP reloads the
// settings. It returns the exit code.
func serveUntilStopped(n *Node) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := n.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitFailure
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		n.Reload()
	}
	n.Stop()
	return process.ExitOK
}
