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

func idle() {}

// none leaves the ports of replicas to many coords.
func none(c *upstream.Config) { c.Services = nil }

func asIs(r *rig.Rig) string { return r.Declaration }

// instances: membership and platform calls of coords that have nothing to do.
func instances(bin string) error {
	s := &series{title: "instances: x = log2(n), n = 6, 12, 24, 48 coords, idle",
		columns: []string{"n", "cpu %", "worst cpu %", "RSS MB", "link in KB/s", "link out KB/s", "platform calls/s, all"}}
	for _, n := range []int{6, 12, 24, 48} {
		r, end, err := start(rig.Options{BinDir: bin, CoordCount: n, EditStandins: none}, asIs)
		if err != nil {
			return err
		}
		time.Sleep(settle)
		before, err := calls(r)
		if err != nil {
			end()
			return err
		}
		procs, admins := coords(r)
		sp, err := watch(window, procs, admins, idle)
		after, err2 := calls(r)
		end()
		if err != nil || err2 != nil {
			return fmt.Errorf("%w, %w", err, err2)
		}
		s.add(math.Log2(float64(n)), float64(n), sp.cpu, sp.worst, sp.rssMB, sp.in, sp.out, (after-before)/window.Seconds())
	}
	s.print()
	return nil
}

// calls is how many calls the platform has had.
func calls(r *rig.Rig) (float64, error) {
	resp, err := http.Get("http://" + r.Platform + "/stats")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var s platform.Stats
	err = json.NewDecoder(resp.Body).Decode(&s)
	return float64(s.Reads + s.Writes + s.Watches), err
}

// replicaSeries: the list of replicas at coords and entries.
func replicaSeries(bin string) error {
	s := &series{title: "replicas: x = replicas in the platform's list, 6 instances, idle",
		columns: []string{"coord cpu %", "worst %", "coord RSS MB", "coord in KB/s", "entry cpu %", "entry RSS MB", "entry in KB/s"}}
	for _, n := range []int{47, 150, 300, 600} {
		r, end, err := start(rig.Options{BinDir: bin}, asIs)
		if err != nil {
			return err
		}
		err = listReplicas(r, n-47)
		time.Sleep(settle)
		if err == nil {
			err = both(s, r, float64(n), idle)
		}
		end()
		if err != nil {
			return err
		}
	}
	s.print()
	return nil
}

// both adds a point for coords and entries.
func both(s *series, r *rig.Rig, x float64, during func()) error {
	procs, admins := coords(r)
	ep, ea := entries(r)
	all, err := watchTwo(procs, admins, ep, ea, during)
	if err != nil {
		return err
	}
	s.add(x, all[0].cpu, all[0].worst, all[0].rssMB, all[0].in, all[1].cpu, all[1].rssMB, all[1].in)
	return nil
}

func watchTwo(ap []*rig.Proc, aa []string, bp []*rig.Proc, ba []string, during func()) ([2]spent, error) {
	var out [2]spent
	done := make(chan error, 1)
	go func() {
		var err error
		out[1], err = watch(window, bp, ba, idle)
		done <- err
	}()
	var err error
	if out[0], err = watch(window, ap, aa, during); err != nil {
		return out, err
	}
	return out, <-done
}

// listReplicas puts more replicas of the generating service into the list.
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

// customers and pipelines: the declaration's size, and what a revision costs.
func customers(bin string) error {
	return declared(bin, "customers: x = customers declared, 6 instances, one revision every 2 s", []int{5, 540, 2700, 5400}, func(text string, n int) string {
		var b strings.Builder
		b.WriteString(text)
		for i := 5; i < n; i++ {
			name := fmt.Sprintf("customer-%04d", i)
			fmt.Fprintf(&b, "\n[[customer]]\nname = %q\nkey_sha256 = %q\nweight = 1\npriority = \"normal\"\nrate = 10.0\nburst = 20.0\n", name, web.KeyDigest(name))
		}
		return b.String()
	})
}

func pipelines(bin string) error {
	return declared(bin, "pipelines: x = pipelines declared, 6 instances, one revision every 2 s", []int{5, 12, 36}, func(text string, n int) string {
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

const revisionEvery = 2 * time.Second

func declared(bin, title string, sizes []int, text func(string, int) string) error {
	s := &series{title: title, columns: []string{"declaration KB", "in force everywhere ms", "coord cpu %", "coord RSS MB", "coord in KB/s", "entry cpu %", "entry RSS MB", "entry in KB/s"}}
	for _, n := range sizes {
		r, end, err := start(rig.Options{BinDir: bin}, func(r *rig.Rig) string { return text(r.Declaration, n) })
		if err != nil {
			return err
		}
		err = revise(s, r, float64(n), text(r.Declaration, n))
		end()
		if err != nil {
			return err
		}
	}
	s.print()
	return nil
}

// revise confirms a revision every so often while both processes are watched.
func revise(s *series, r *rig.Rig, n float64, text string) error {
	time.Sleep(settle)
	var took []time.Duration
	var failed error
	procs, admins := coords(r)
	ep, ea := entries(r)
	all, err := watchTwo(procs, admins, ep, ea, func() {
		for i := range int(window / revisionEvery) {
			began := time.Now()
			next := strings.Replace(text, "rate = 400.0", fmt.Sprintf("rate = %d.0", 401+i), 1)
			if _, err := r.Confirm(next); err != nil {
				failed = err
				return
			}
			took = append(took, time.Since(began))
			time.Sleep(revisionEvery - time.Since(began))
		}
	})
	if err != nil || failed != nil {
		return fmt.Errorf("%w, %w", err, failed)
	}
	var sum time.Duration
	for _, d := range took {
		sum += d
	}
	ms := float64(sum.Milliseconds()) / float64(len(took))
	s.add(n, float64(len(text))/1000, ms, all[0].cpu, all[0].rssMB, all[0].in, all[1].cpu, all[1].rssMB, all[1].in)
	return nil
}

// requests: what each request costs, and the latency the path adds.
func requests(bin string) error {
	s := &series{title: "requests: x = four-stage requests a second over 6 instances, stages of a few ms",
		columns: []string{"coord cpu %", "worst %", "coord RSS MB", "coord in KB/s", "entry cpu %", "entry RSS MB", "entry in KB/s", "p50 added ms", "p99 added ms", "whole"}}
	for _, rate := range []float64{50, 500, 2000} {
		r, end, err := start(rig.Options{BinDir: bin, EditStandins: quick}, asIs)
		if err != nil {
			return err
		}
		var res *load.Result
		procs, admins := coords(r)
		ep, ea := entries(r)
		runLoad(r, rate, settle)
		all, err := watchTwo(procs, admins, ep, ea, func() { res = runLoad(r, rate, window) })
		if err != nil {
			end()
			return err
		}
		journal, err := r.Journal()
		end()
		if err != nil {
			return err
		}
		p50, p99 := added(res, journal)
		s.add(rate, all[0].cpu, all[0].worst, all[0].rssMB, all[0].in, all[1].cpu, all[1].rssMB, all[1].in, p50, p99, res.Summarize().Attainment)
	}
	s.print()
	return nil
}

// quick makes all stages short and even, so that what the path adds shows.
func quick(c *upstream.Config) {
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
	return load.Run(load.Options{Known: r.Entries(), Mix: mix, Phases: []load.Phase{{For: d, Rate: rate}}, Seed: 3})
}
