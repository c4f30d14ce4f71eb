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

// usage is the resource usage of a process since its start; rss is the current
// value.
type usage struct {
	cpu               time.Duration
	rss               float64 // bytes
	bytesIn, bytesOut float64 // bytes on links
}

const ticksPerSecond = 100 // of /proc/PID/stat on Linux

// readUsage reads a process's usage from /proc and from its metrics.
func readUsage(p *rig.Proc, admin string) (usage, error) {
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
	m, err := readMetrics(admin)
	u.bytesIn, u.bytesOut = m["quince_link_in_bytes"], m["quince_link_out_bytes"]
	return u, err
}

func readMetrics(admin string) (map[string]float64, error) {
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

// meanUsage is the mean usage of several processes during a measurement.
type meanUsage struct {
	cpu             float64 // percent of a core
	rssMB           float64
	inKBps, outKBps float64 // KB per second
	maxCPU          float64 // percent of a core of the busiest process
}

// measureUsage measures processes for at least d, while during runs.
func measureUsage(d time.Duration, procs []*rig.Proc, admins []string, during func()) (meanUsage, error) {
	before := make([]usage, len(procs))
	var err error
	for i := range procs {
		if before[i], err = readUsage(procs[i], admins[i]); err != nil {
			return meanUsage{}, err
		}
	}
	started := time.Now()
	during()
	if rest := d - time.Since(started); rest > 0 {
		time.Sleep(rest)
	}
	secs := time.Since(started).Seconds()
	var mean meanUsage
	n := float64(len(procs))
	for i := range procs {
		after, err := readUsage(procs[i], admins[i])
		if err != nil {
			return meanUsage{}, err
		}
		cpu := 100 * (after.cpu - before[i].cpu).Seconds() / secs
		mean.cpu += cpu / n
		mean.maxCPU = max(mean.maxCPU, cpu)
		mean.rssMB += after.rss / 1e6 / n
		mean.inKBps += (after.bytesIn - before[i].bytesIn) / 1000 / secs / n
		mean.outKBps += (after.bytesOut - before[i].bytesOut) / 1000 / secs / n
	}
	return mean, nil
}

func coordProcesses(r *rig.Rig) ([]*rig.Proc, []string) {
	var procs []*rig.Proc
	var admins []string
	for _, in := range r.Instances {
		procs, admins = append(procs, in.Coord), append(admins, in.Settings.Coord.Admin)
	}
	return procs, admins
}

func entryProcesses(r *rig.Rig) ([]*rig.Proc, []string) {
	var procs []*rig.Proc
	var admins []string
	for _, in := range r.Instances {
		procs, admins = append(procs, in.Entry), append(admins, in.Settings.Entry.Admin)
	}
	return procs, admins
}
