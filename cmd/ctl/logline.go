package ctl

import (
	"bufio"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// logLine is one line of a log.
type logLine struct {
	at       string // time stamp as it stands
	instance string
	what     string // the event's name
	event    int
	request  string
	fields   []field
}

type field struct{ name, value string }

var (
	stampPattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d[.\d]*(Z|[+-]\d{4})`)
	fieldPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\[[^\]]*\]|\S+)`)
	namePattern  = regexp.MustCompile(`\] +\S+: ([^:]+):`)
)

// mostLine bounds a line of a log in bytes.
const mostLine = 1 << 20

// readLog calls take with every line of a file that is a line of a log.
func readLog(name string, take func(*logLine)) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	scan := bufio.NewScanner(file)
	scan.Buffer(nil, mostLine)
	for scan.Scan() {
		if l := parseLine(scan.Text()); l.event != 0 {
			take(l)
		}
	}
	return scan.Err()
}

func parseLine(text string) *logLine {
	l := &logLine{at: stampPattern.FindString(text)}
	for _, m := range fieldPattern.FindAllStringSubmatch(text, -1) {
		name, value := m[1], strings.Trim(m[2], `"`)
		switch name {
		case "request":
			l.request = value
		case "instance":
			l.instance = value
		case "event":
			l.event, _ = strconv.Atoi(value)
			l.fields = append(l.fields, field{"event", value + " (docs/EVENTS.md)"})
		default:
			l.fields = append(l.fields, field{name, value})
		}
	}
	if m := namePattern.FindStringSubmatch(text); m != nil {
		l.what = m[1]
	}
	return l
}

func (l *logLine) names(request string) bool { return l.request == request }

func (l *logLine) field(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// duration returns a field that is one; 0 when it is none.
func (l *logLine) duration(name string) time.Duration {
	d, _ := time.ParseDuration(l.field(name))
	return d
}

// number returns a field that is a whole number; 0 when it is none.
func (l *logLine) number(name string) int {
	n, _ := strconv.Atoi(l.field(name))
	return n
}

// time is when the line was written, by its instance's clock.
func (l *logLine) time() time.Time {
	for _, layout := range []string{time.RFC3339Nano, "2006-01-02T15:04:05.000Z0700"} {
		if t, err := time.Parse(layout, l.at); err == nil {
			return t
		}
	}
	return time.Time{}
}

// began is the time until a served request's answer began.
func (l *logLine) began() time.Duration {
	if first := l.duration("first"); first > 0 {
		return first
	}
	return l.duration("took") // no stream
}

// late reports whether a served request's answer began after its objective.
func (l *logLine) late() bool {
	objective := l.duration("objective")
	return objective > 0 && l.began() > objective
}

// mostlyStages reports whether a served request's stages took most of its time.
func (l *logLine) mostlyStages() bool { return l.duration("staged") > l.began()/2 }
