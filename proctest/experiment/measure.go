package main

import (
	"cmp"
	"os"
	"slices"
	"time"

	"quinceroad/cmd/check"
	"quinceroad/cmd/load"
	"quinceroad/cmd/standin/upstream"
	"quinceroad/cmd/standin/work"
	"quinceroad/proctest/rig"
	"quinceroad/protocol/api"
	"quinceroad/state/fleet"
)

// metrics holds the results of one policy in one scenario.
type metrics struct {
	load.Summary
	AttainmentBound float64       // upper bound of the attainment for any scheduler
	WastedShare     float64       // share of slot time spent on requests that were not completed in time
	RefusalLatency  time.Duration // median
	Utilization     float64       // of the bottleneck's slots
	Violations      int
	StageCost       map[string]float64 // by service, per request completed in time
}

// measure runs one scenario under one policy and returns its metrics.
func measure(s scenario, p policy, bin string, seed uint64) (*metrics, error) {
	dir, err := os.MkdirTemp("", "quince-experiment-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var standins *upstream.Config
	r, err := rig.Start(rig.Options{ExampleDir: s.example, BinDir: bin, OutputDir: dir, EditStandins: func(c *upstream.Config) {
		for i := range c.Services {
			c.Services[i].MeanMS *= slowdown
			c.Services[i].Streams = false // so that the service times are known in advance
		}
		standins = c
	}})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if _, err := r.Confirm(p.editDeclaration(r.Declaration)); err != nil {
		return nil, err
	}
	if s.prepare != nil {
		if err := s.prepare(r); err != nil {
			return nil, err
		}
	}
	o := load.Options{Entries: r.Entries(), Mix: s.mix(r), Seed: seed}
	b := findBottleneck(r.Fleet, standins, o.Mix)
	for _, step := range s.phases {
		rate := step.utilization * b.capacity()
		o.Phases = append(o.Phases, load.Phase{Duration: time.Duration(step.seconds * float64(time.Second)), Rate: rate})
	}
	faulted := make(chan error, 1)
	if s.injectFault != nil {
		time.AfterFunc(o.Phases[0].Duration, func() { faulted <- s.injectFault(r) })
	} else {
		faulted <- nil
	}
	res := load.Run(o)
	if err := <-faulted; err != nil {
		return nil, err
	}
	journal, err := r.Journal()
	if err != nil {
		return nil, err
	}
	m := &metrics{Violations: len(check.All(r.Fleet, res.Responses, journal)), StageCost: make(map[string]float64)}
	// The first phase serves to warm up the estimates and is not counted.
	res.Responses = slices.DeleteFunc(res.Responses, func(resp check.Response) bool { return resp.Intended.Before(res.Start.Add(o.Phases[0].Duration)) })
	m.Summary = res.Summarize()
	m.addCosts(r.Fleet, res.Responses, journal)
	m.Utilization = b.utilization(res.Responses, journal)
	m.AttainmentBound = b.attainmentBound(res.Responses)
	return m, nil
}

// bottleneckStage is the stage of a pipeline whose service has the lowest
// capacity.
type bottleneckStage struct {
	stage string
	slots int
	mean  time.Duration
	sigma float64
}

// capacity returns the number of requests per second that the stage's slots can
// run.
func (s bottleneckStage) capacity() float64 { return float64(s.slots) / s.mean.Seconds() }

// utilization returns the share of the slots' time between the first and the last
// arrival in which they were in use.
func (s bottleneckStage) utilization(answers []check.Response, journal []api.Execution) float64 {
	if len(answers) == 0 {
		return 0
	}
	from, to := answers[0].Intended.UnixMicro(), answers[0].Intended.UnixMicro()
	for _, resp := range answers {
		from, to = min(from, resp.Intended.UnixMicro()), max(to, resp.Intended.UnixMicro())
	}
	sum := int64(0)
	for _, x := range journal {
		if x.Stage == s.stage && x.FreeUS > 0 {
			sum += max(min(x.FreeUS, to)-max(x.StartUS, from), 0)
		}
	}
	return float64(sum) / float64(max((to-from)*int64(s.slots), 1))
}

// findBottleneck returns the bottleneck of the pipeline of the mix's first part.
func findBottleneck(f *fleet.Fleet, c *upstream.Config, mix []load.Mix) bottleneckStage {
	var tightest bottleneckStage
	p, _ := f.Pipeline(mix[0].Pipeline)
	for _, st := range p.Stages {
		for _, svc := range c.Services {
			if svc.Name != st.Service {
				continue
			}
			s := bottleneckStage{stage: st.Name, sigma: svc.Sigma, mean: time.Duration(svc.MeanMS * float64(time.Millisecond))}
			for _, h := range svc.Halls {
				s.slots += h.Replicas * svc.Slots
			}
			if tightest.slots == 0 || s.capacity() < tightest.capacity() {
				tightest = s
			}
		}
	}
	return tightest
}

// addCosts computes the share of wasted slot time and the cost by service from the
// journal, and the refusal latency.
func (m *metrics) addCosts(fl *fleet.Fleet, answers []check.Response, journal []api.Execution) {
	inTime := make(map[string]bool)
	counted := make(map[string]bool)
	for i := range answers {
		counted[answers[i].ID] = true
		inTime[answers[i].ID] = load.IsInTime(&answers[i])
	}
	var total, wasted time.Duration
	for _, x := range journal {
		if !counted[x.Request] || x.FreeUS == 0 {
			continue
		}
		duration := time.Duration(x.FreeUS-x.StartUS) * time.Microsecond
		total += duration
		if !inTime[x.Request] {
			wasted += duration
		}
		if svc, ok := fl.Service(x.Service); ok {
			m.StageCost[x.Service] += duration.Seconds() * svc.Cost / float64(max(m.InTime, 1))
		}
	}
	m.WastedShare = float64(wasted) / float64(max(total, 1))
	m.RefusalLatency = medianRefusalLatency(answers)
}

// medianRefusalLatency returns the median latency of refusals.
func medianRefusalLatency(answers []check.Response) time.Duration {
	var latencies []time.Duration
	for _, resp := range answers {
		if resp.Outcome == "not_run" {
			latencies = append(latencies, resp.Answered.Sub(resp.Intended))
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

// attainmentBound returns an upper bound of the share of requests that any
// scheduler can complete in time, even if it knows all service times in advance:
// for any window of arrivals the bottleneck work of the completed requests must
// fit into its slots between the window's start and its last deadline. Counting
// the shortest requests first gives the largest number that fits.
func (s bottleneckStage) attainmentBound(answers []check.Response) float64 {
	slices.SortFunc(answers, func(a, b check.Response) int { return a.Intended.Compare(b.Intended) })
	durations := make([]time.Duration, len(answers))
	for i, resp := range answers {
		durations[i] = work.ServiceTime(s.mean, s.sigma, cmp.Or(resp.ID, resp.Label), s.stage)
	}
	bound := len(answers)
	const windows = 8
	for from := range windows {
		for to := from + 1; to <= windows; to++ {
			a, b := from*len(answers)/windows, to*len(answers)/windows
			lost := b - a - countFitting(answers[a:b], durations[a:b], s.slots)
			bound = min(bound, len(answers)-lost)
		}
	}
	return float64(bound) / float64(max(len(answers), 1))
}

// countFitting returns the maximum number of requests of one window that fit into
// the slots, where durations holds their service times.
func countFitting(answers []check.Response, durations []time.Duration, slots int) int {
	if len(answers) == 0 {
		return 0
	}
	span := answers[len(answers)-1].Intended.Sub(answers[0].Intended) + answers[len(answers)-1].Deadline
	remaining := time.Duration(slots) * span
	ascending := slices.Clone(durations)
	slices.SortFunc(ascending, cmp.Compare[time.Duration])
	n := 0
	for _, d := range ascending {
		if d > answers[0].Deadline || d > remaining {
			break
		}
		remaining -= d
		n++
	}
	return n
}
