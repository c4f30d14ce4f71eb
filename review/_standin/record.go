package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run, and which rule was broken.
type record struct {
	mu     sync.Mutex
	out    *bufio.Writer
	file   *os.File
	start  time.Time
	broken []string
	notes  map[string]int
	runs   map[string][]string // by request: the replicas that ran it
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), file: f, start: time.Now(), notes: make(map[string]int), runs: make(map[string][]string)}, nil
}

func (r *record) line(text string) {
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), text)
}

// add writes a line and prints it.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(fmt.Sprintf(format, args...))
}

// detail writes a line of what goes as usual.
func (r *record) detail(format string, args ...any) { r.add(format, args...) }

// note counts something that is no break of a rule by itself and writes it.
func (r *record) note(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes[kind]++
	r.line("note " + kind + ": " + fmt.Sprintf(format, args...))
}

// breakRule records that a rule was broken.
func (r *record) breakRule(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.line("BROKEN " + text)
}

func (r *record) ran(x *replica, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], x.id)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func sorted(in []string) []string {
	out := append([]string(nil), in...)
	sort.Strings(out)
	return out
}
