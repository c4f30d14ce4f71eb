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

// memoryShare is the part of an instance's memory that the process may fill
// before it collects garbage at any price.
const memoryShare = 0.5

// collectAt is how far, in hundredths, the heap may grow between collections.
const collectAt = 60

const bytesPerMB = 1 << 20

const (
	queuedLines = 2000                   // of the log, that wait for their reader
	closeLogFor = 100 * time.Millisecond // that the last lines of the log may take
)

// Main is the main function of quince-node; it returns the exit code.
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
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(settings.MemoryMB * memoryShare * bytesPerMB))
	sink := logsink.New(os.Stderr, queuedLines)
	defer sink.Close(closeLogFor)
	n := New(settings, logger(settings, *level, sink))
	n.dropped = sink.Dropped
	return run(n)
}

func logger(s *platform.Settings, level string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:   "node",
		Level:  hclog.LevelFromString(level),
		Output: w,
	}).With("instance", s.Name)
}

// run serves until a stop signal; a reload signal reads the settings again.
func run(n *Node) int {
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
