package ctl

import (
	"bufio"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// logLine is a parsed line of a node's log.
type logLine struct {
	timestamp string // as written in the log
	instance  string
	eventName string
	event     int
	request   string
	fields    []field
}

type field struct{ name, value string }

var (
	timestampPattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d[.\d]*(Z|[+-]\d{4})`)
	fieldPattern     = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\[[^\]]*\]|\S+)`)
	namePattern      = regexp.MustCompile(`\] +\S+: ([^:]+):`)
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// readLog calls visit for each line of a file that has an event number.
func readLog(name string, visit func(*logLine)) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	scan := bufio.NewScanner(file)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		if l := parseLine(scan.Text()); l.event != 0 {
			visit(l)
		}
	}
	return scan.Err()
}

func parseLine(text string) *logLine {
	l := &logLine{timestamp: timestampPattern.FindString(text)}
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
		l.eventName = m[1]
	}
	return l
}

func (l *logLine) isAbout(request string) bool { return l.request == request }

func (l *logLine) field(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// duration returns a field's value as a duration; 0 if it is missing or invalid.
func (l *logLine) duration(name string) time.Duration {
	d, _ := time.ParseDuration(l.field(name))
	return d
}

// number returns a field's value as an integer; 0 if it is missing or invalid.
func (l *logLine) number(name string) int {
	n, _ := strconv.Atoi(l.field(name))
	return n
}

// time returns the line's timestamp, by its instance's clock; zero if it is invalid.
func (l *logLine) time() time.Time {
	for _, layout := range []string{time.RFC3339Nano, "2006-01-02T15:04:05.000Z0700"} {
		if t, err := time.Parse(layout, l.timestamp); err == nil {
			return t
		}
	}
	return time.Time{}
}

// responseTime returns the time until a served request's response began: the first
// event of a stream, else the whole response.
func (l *logLine) responseTime() time.Duration {
	if first := l.duration("first"); first > 0 {
		return first
	}
	return l.duration("took") // not a stream
}

// missedObjective reports whether a served request's response began after its objective.
func (l *logLine) missedObjective() bool {
	objective := l.duration("objective")
	return objective > 0 && l.responseTime() > objective
}

// isStageBound reports whether the stages took more than half of a served request's
// response time.
func (l *logLine) isStageBound() bool { return l.duration("staged") > l.responseTime()/2 }
