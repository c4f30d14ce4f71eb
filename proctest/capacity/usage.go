package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"quinceroad/proctest/rig"
)

// usage is what a process has spent since it started, and what it holds.
type usage struct {
	cpu     time.Duration
	rss     float64 // bytes
	in, out float64 // bytes on links
}

const ticksPerSecond = 100 // of /proc/PID/stat on Linux

// read takes a process's usage from the system and its metrics.
func read(p *rig.Proc, admin string) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	u.cpu = time.Duration(user+system) * time.Second / ticksPerSecond
	u.rss = float64(pages * os.Getpagesize())
	m, err := metrics(admin)
	u.in, u.out = m["quince_link_in_bytes"], m["quince_link_out_bytes"]
	return u, err
}

func metrics(admin string) (map[string]float64, error) {
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := make(map[string]float64)
	sc := bufio.NewScanner(io.LimitReader(resp.Body, 1<<20))
	for sc.Scan() {
		name, value, _ := strings.Cut(sc.Text(), " ")
		out[name], _ = strconv.ParseFloat(value, 64)
	}
	return out, sc.Err()
}

// spent is the mean over some processes of what they spend in a while.
type spent struct {
	cpu     float64 // percent of a core
	rssMB   float64
	in, out float64 // KB a second
	worst   float64 // percent of a core of the busiest process
}

// watch measures processes over a while.
func watch(d time.Duration, procs []*rig.Proc, admins []string, during func()) (spent, error) {
	before := make([]usage, len(procs))
	var err error
	for i := range procs {
		if before[i], err = read(procs[i], admins[i]); err != nil {
			return spent{}, err
		}
	}
	began := time.Now()
	during()
	if rest := d - time.Since(began); rest > 0 {
		time.Sleep(rest)
	}
	secs := time.Since(began).Seconds()
	var s spent
	n := float64(len(procs))
	for i := range procs {
		after, err := read(procs[i], admins[i])
		if err != nil {
			return spent{}, err
		}
		cpu := 100 * (after.cpu - before[i].cpu).Seconds() / secs
		s.cpu += cpu / n
		s.worst = max(s.worst, cpu)
		s.rssMB += after.rss / 1e6 / n
		s.in += (after.in - before[i].in) / 1000 / secs / n
		s.out += (after.out - before[i].out) / 1000 / secs / n
	}
	return s, nil
}

func coords(r *rig.Rig) ([]*rig.Proc, []string) {
	var procs []*rig.Proc
	var admins []string
	for _, in := range r.Instances {
		procs, admins = append(procs, in.Coord), append(admins, in.Settings.Coord.Admin)
	}
	return procs, admins
}

func entries(r *rig.Rig) ([]*rig.Proc, []string) {
	var procs []*rig.Proc
	var admins []string
	for _, in := range r.Instances {
		procs, admins = append(procs, in.Entry), append(admins, in.Settings.Entry.Admin)
	}
	return procs, admins
}
