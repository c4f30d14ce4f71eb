package ctl

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"quinceroad/cmd/process"
	"quinceroad/platform"
)

// story is what the logs of any instances say of one request.
type story struct {
	lines []logLine
}

// logLine is one line of a log.
type logLine struct {
	at       string // time stamp as it stands
	instance string
	what     string // the event's name
	fields   []field
}

type field struct{ name, value string }

var (
	stampPattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d[.\d]*(Z|[+-]\d{4})`)
	fieldPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)
	namePattern  = regexp.MustCompile(`\] +\S+: ([^:]+):`)
)

// explain reads logs and prints the story of one request in order.
func (c *client) explain(id string, files []string) (int, error) {
	s := &story{}
	for _, name := range files {
		if err := s.read(name, id); err != nil {
			return process.ExitUsage, err
		}
	}
	if len(s.lines) == 0 {
		return process.ExitFail, fmt.Errorf("no line of these logs names request %s", id)
	}
	slices.SortStableFunc(s.lines, func(a, b logLine) int { return cmp.Compare(a.at, b.at) })
	for _, l := range s.lines {
		fmt.Fprintf(c.out, "%s  %-18s %s\n", l.at, l.instance, l.what)
		for _, f := range l.fields {
			fmt.Fprintf(c.out, "    %-12s %s\n", f.name, f.value)
		}
	}
	return process.ExitOK, nil
}

func (s *story) read(name, id string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	scan := bufio.NewScanner(file)
	scan.Buffer(nil, 1<<20)
	for scan.Scan() {
		if l, ok := parseLine(scan.Text(), id); ok {
			s.lines = append(s.lines, l)
		}
	}
	return scan.Err()
}

// parseLine returns a line that names the request.
func parseLine(text, id string) (logLine, bool) {
	l := logLine{at: stampPattern.FindString(text)}
	named := false
	for _, m := range fieldPattern.FindAllStringSubmatch(text, -1) {
		name, value := m[1], strings.Trim(m[2], `"`)
		switch name {
		case "request":
			named = named || value == id
		case "instance":
			l.instance = value
		case "event":
			l.fields = append(l.fields, field{"event", value + " (docs/EVENTS.md)"})
		default:
			l.fields = append(l.fields, field{name, value})
		}
	}
	if m := namePattern.FindStringSubmatch(text); m != nil {
		l.what = m[1]
	}
	return l, named
}

// checkConfiguration prints all faults of a configuration as the operator
// writes it into the platform's store.
func (c *client) checkConfiguration(name string) (int, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return process.ExitUsage, err
	}
	config, err := platform.ParseConfiguration(data)
	if err != nil {
		return process.ExitUsage, err
	}
	fmt.Fprintf(c.out, "version %d: %d routes, %d services, %d keys; no faults\n", config.Version, len(config.Routes), len(config.Services), len(config.Customers))
	return process.ExitOK, nil
}
