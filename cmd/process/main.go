package process

import (
	"flag"
	"fmt"
	"io"
	"os"

	hclog "github.com/hashicorp/go-hclog"

	"quinceroad/protocol/settings"
)

// Args are the arguments from which Main builds an instance's process.
type Args struct {
	Settings *settings.Instance
	Log      hclog.Logger
}

// Main implements the main function of an instance's binary: it parses the flags, reads
// the settings and runs the process that build returns. It returns the exit code.
func Main(name string, build func(Args) Process) int {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	config := flags.String("config", "", "the instance's settings, TOML")
	check := flags.Bool("check", false, "check the settings and exit")
	version := flags.Bool("version", false, "print the version and exit")
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "usage: %s -config FILE [-check]\n\nexample:\n  %s -config examples/kalahari/instances/hall-a-1.toml\n\nexit codes: 0 stopped as planned, 1 failed, 2 bad arguments or settings\n\n", name, name)
		flags.PrintDefaults()
	}
	if err := flags.Parse(os.Args[1:]); err != nil {
		if err == flag.ErrHelp {
			return ExitOK
		}
		return ExitUsage
	}
	if *version {
		fmt.Println(name, Version)
		return ExitOK
	}
	s, err := Load(*config, settings.LoadInstance)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	if *check {
		fmt.Println(*config, "is good")
		return ExitOK
	}
	return Run(build(Args{Settings: s, Log: newLogger(name, s, os.Stderr)}))
}

func newLogger(name string, s *settings.Instance, w io.Writer) hclog.Logger {
	level := s.LogLevel
	if level == "" {
		level = "info"
	}
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(level),
		JSONFormat: s.LogFormat == "json",
		Output:     w,
	}).With("instance", s.Name)
}
