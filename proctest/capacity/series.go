package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"quinceroad/cmd/load"
	"quinceroad/cmd/standin/platform"
	"quinceroad/cmd/standin/upstream"
	"quinceroad/proctest/rig"
	"quinceroad/protocol/api"
	"quinceroad/transport/web"
)

// doNothing is passed to measurements during which nothing has to run.
func doNothing() {}

// noServices starts no replicas: their ports would collide with those of the
// generated coords.
func noServices(c *upstream.Config) { c.Services = nil }

func unchangedDeclaration(r *rig.Rig) string { return r.Declaration }

// measureInstances measures the cost of membership and platform calls of idle
// coords.
func measureInstances(bin string) error {
	s := &series{title: "instances: x = log2(n), n = 6, 12, 24, 48 coords, idle",
		columns: []string{"n", "cpu %", "worst cpu %", "RSS MB", "link in KB/s", "link out KB/s", "platform calls/s, all"}}
	for _, n := range []int{6, 12, 24, 48} {
		r, stop, err := startRig(rig.Options{BinDir: bin, CoordCount: n, EditStandins: noServices}, unchangedDeclaration)
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
		before, err := platformCalls(r)
		if err != nil {
			stop()
			return err
		}
		coordProcs, coordAdmins := coordProcesses(r)
		mean, err := measureUsage(measuringTime, coordProcs, coordAdmins, doNothing)
		after, err2 := platformCalls(r)
		stop()
		if err != nil || err2 != nil {
			return fmt.Errorf("%w, %w", err, err2)
		}
		s.add(math.Log2(float64(n)), float64(n), mean.cpu, mean.maxCPU, mean.rssMB, mean.inKBps, mean.outKBps, (after-before)/measuringTime.Seconds())
	}
	s.print()
	return nil
}

// platformCalls returns the number of calls that the platform has received.
func platformCalls(r *rig.Rig) (float64, error) {
	resp, err := http.Get("http://" + r.Platform + "/stats")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var s platform.Stats
	err = json.NewDecoder(resp.Body).Decode(&s)
	return float64(s.Reads + s.Writes + s.Watches), err
}

// measureReplicas measures the cost of the list of replicas at coords and entries.
func measureReplicas(bin string) error {
	s := &series{title: "replicas: x = replicas in the platform's list, 6 instances, idle",
		columns: []string{"coord cpu %", "worst %", "coord RSS MB", "coord in KB/s", "entry cpu %", "entry RSS MB", "entry in KB/s"}}
	for _, n := range []int{47, 150, 300, 600} {
		r, stop, err := startRig(rig.Options{BinDir: bin}, unchangedDeclaration)
		if err != nil {
			return err
		}
		err = listReplicas(r, n-47)
		time.Sleep(settleTime)
		if err == nil {
			err = measureBoth(s, r, float64(n), doNothing)
		}
		stop()
		if err != nil {
			return err
		}
	}
	s.print()
	return nil
}

// measureBoth measures coords and entries at the same time and adds a point.
func measureBoth(s *series, r *rig.Rig, x float64, during func()) error {
	coordProcs, coordAdmins := coordProcesses(r)
	entryProcs, entryAdmins := entryProcesses(r)
	means, err := measureTwoGroups(coordProcs, coordAdmins, entryProcs, entryAdmins, during)
	if err != nil {
		return err
	}
	s.add(x, means[0].cpu, means[0].maxCPU, means[0].rssMB, means[0].inKBps, means[1].cpu, means[1].rssMB, means[1].inKBps)
	return nil
}

// measureTwoGroups measures two groups of processes at the same time, each given
// by its processes and their admin addresses.
func measureTwoGroups(procsA []*rig.Proc, adminsA []string, procsB []*rig.Proc, adminsB []string, during func()) ([2]meanUsage, error) {
	var out [2]meanUsage
	done := make(chan error, 1)
	go func() {
		var err error
		out[1], err = measureUsage(measuringTime, procsB, adminsB, doNothing)
		done <- err
	}()
	var err error
	if out[0], err = measureUsage(measuringTime, procsA, adminsA, during); err != nil {
		return out, err
	}
	return out, <-done
}

// listReplicas registers n further replicas of the generating service at the
// platform.
func listReplicas(r *rig.Rig, n int) error {
	list := make([]api.ListedReplica, n)
	for i := range list {
		list[i] = api.ListedReplica{
			ID: fmt.Sprintf("scribe-pool-more-%d", i), Service: "scribe-pool", Hall: r.Fleet.Halls[i%len(r.Fleet.Halls)],
			Address: fmt.Sprintf("127.0.1.%d:9000", i%250), Incarnation: 1,
		}
	}
	b, err := json.Marshal(list)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+r.Platform+"/register", "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// measureCustomers measures the cost of a revision as the number of customers grows.
func measureCustomers(bin string) error {
	return measureDeclarations(bin, "customers: x = customers declared, 6 instances, one revision every 2 s", []int{5, 540, 2700, 5400}, func(text string, n int) string {
		var b strings.Builder
		b.WriteString(text)
		for i := 5; i < n; i++ {
			name := fmt.Sprintf("customer-%04d", i)
			fmt.Fprintf(&b, "\n[[customer]]\nname = %q\nkey_sha256 = %q\nweight = 1\npriority = \"normal\"\nrate = 10.0\nburst = 20.0\n", name, web.KeyDigest(name))
		}
		return b.String()
	})
}

// measurePipelines measures the cost of a revision as the number of pipelines grows.
func measurePipelines(bin string) error {
	return measureDeclarations(bin, "pipelines: x = pipelines declared, 6 instances, one revision every 2 s", []int{5, 12, 36}, func(text string, n int) string {
		var b strings.Builder
		b.WriteString(text)
		for i := 5; i < n; i++ {
			fmt.Fprintf(&b, "\n[[pipeline]]\nname = \"more-%d\"\ndeadline_ms = 2000\npriority = \"normal\"\nrepeatable = true\n", i)
			for _, st := range []string{"encoder", "retriever", "reranker", "scribe-pool"} {
				fmt.Fprintf(&b, "\n[[pipeline.stage]]\nname = %q\nservice = %q\noperation = \"x\"\nexpect_ms = 5\n", st, st)
			}
		}
		return b.String()
	})
}

const revisionInterval = 2 * time.Second

// measureDeclarations measures the cost of a revision for declarations of the given
// sizes, each returned by text.
func measureDeclarations(bin, title string, sizes []int, text func(string, int) string) error {
	s := &series{title: title, columns: []string{"declaration KB", "in force everywhere ms", "coord cpu %", "coord RSS MB", "coord in KB/s", "entry cpu %", "entry RSS MB", "entry in KB/s"}}
	for _, n := range sizes {
		r, stop, err := startRig(rig.Options{BinDir: bin}, func(r *rig.Rig) string { return text(r.Declaration, n) })
		if err != nil {
			return err
		}
		err = measureRevisions(s, r, float64(n), text(r.Declaration, n))
		stop()
		if err != nil {
			return err
		}
	}
	s.print()
	return nil
}

// measureRevisions confirms a revision every revisionInterval while coords and
// entries are measured, and adds a point.
func measureRevisions(s *series, r *rig.Rig, n float64, text string) error {
	time.Sleep(settleTime)
	var delays []time.Duration
	var failed error
	coordProcs, coordAdmins := coordProcesses(r)
	entryProcs, entryAdmins := entryProcesses(r)
	means, err := measureTwoGroups(coordProcs, coordAdmins, entryProcs, entryAdmins, func() {
		for i := range int(measuringTime / revisionInterval) {
			started := time.Now()
			next := strings.Replace(text, "rate = 400.0", fmt.Sprintf("rate = %d.0", 401+i), 1)
			if _, err := r.Confirm(next); err != nil {
				failed = err
				return
			}
			delays = append(delays, time.Since(started))
			time.Sleep(revisionInterval - time.Since(started))
		}
	})
	if err != nil || failed != nil {
		return fmt.Errorf("%w, %w", err, failed)
	}
	var sum time.Duration
	for _, d := range delays {
		sum += d
	}
	ms := float64(sum.Milliseconds()) / float64(len(delays))
	s.add(n, float64(len(text))/1000, ms, means[0].cpu, means[0].rssMB, means[0].inKBps, means[1].cpu, means[1].rssMB, means[1].inKBps)
	return nil
}

// measureRequests measures the cost of a request and the latency that the path adds.
func measureRequests(bin string) error {
	s := &series{title: "requests: x = four-stage requests a second over 6 instances, stages of a few ms",
		columns: []string{"coord cpu %", "worst %", "coord RSS MB", "coord in KB/s", "entry cpu %", "entry RSS MB", "entry in KB/s", "p50 added ms", "p99 added ms", "whole"}}
	for _, rate := range []float64{50, 500, 2000} {
		r, stop, err := startRig(rig.Options{BinDir: bin, EditStandins: shortStages}, unchangedDeclaration)
		if err != nil {
			return err
		}
		var res *load.Result
		coordProcs, coordAdmins := coordProcesses(r)
		entryProcs, entryAdmins := entryProcesses(r)
		runLoad(r, rate, settleTime)
		means, err := measureTwoGroups(coordProcs, coordAdmins, entryProcs, entryAdmins, func() { res = runLoad(r, rate, measuringTime) })
		if err != nil {
			stop()
			return err
		}
		journal, err := r.Journal()
		stop()
		if err != nil {
			return err
		}
		p50, p99 := addedLatency(res, journal)
		s.add(rate, means[0].cpu, means[0].maxCPU, means[0].rssMB, means[0].inKBps, means[1].cpu, means[1].rssMB, means[1].inKBps, p50, p99, res.Summarize().Attainment)
	}
	s.print()
	return nil
}

// shortStages makes all stages short and of equal duration, so that the latency
// that the path adds can be measured.
func shortStages(c *upstream.Config) {
	for i := range c.Services {
		s := &c.Services[i]
		s.Sigma, s.Streams = 0, false
		s.MeanMS, s.Slots = 2, 64
	}
}

func runLoad(r *rig.Rig, rate float64, d time.Duration) *load.Result {
	var mix []load.Mix
	for _, h := range r.Fleet.Halls {
		mix = append(mix, load.Mix{Customer: "shaft-supervisors", Hall: h, Pipeline: "bylaw-answer", Share: 1, Deadline: 2 * time.Second})
	}
	return load.Run(load.Options{Entries: r.Entries(), Mix: mix, Phases: []load.Phase{{Duration: d, Rate: rate}}, Seed: 3})
}
