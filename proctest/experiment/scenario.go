package main

import (
	"regexp"
	"strings"
	"time"

	"quinceroad/cmd/load"
	"quinceroad/cmd/standin/platform"
	"quinceroad/cmd/standin/upstream"
	"quinceroad/coordination/rendezvous"
	"quinceroad/proctest/rig"
	"quinceroad/protocol/api"
)

const (
	stretch  = 3 // services are this much slower here, so that the machine isn't what is measured
	deadline = 900 * time.Millisecond
)

// scenario is one situation in which policies are compared.
type scenario struct {
	name    string
	example string
	phases  []step
	mix     func(*rig.Rig) []load.Mix
	fault   func(*rig.Rig) error // called when the second phase begins
	before  func(*rig.Rig) error // called before the load
}

// step is a phase whose rate is a share of what the bottleneck can do.
type step struct {
	seconds float64
	share   float64
}

const (
	kalahari = "examples/kalahari"
	midlands = "examples/midlands"
)

func scenarios() []scenario {
	warm := func(share float64) step { return step{3, share} }
	steady := func(share float64) []step { return []step{warm(share), {8, share}} }
	return []scenario{
		{name: "steady 60%", example: kalahari, phases: steady(0.6), mix: answers},
		{name: "steady 95%", example: kalahari, phases: steady(0.95), mix: answers},
		{name: "burst 3x on 60%", example: kalahari, phases: []step{warm(0.6), {10, 1.8}, {2, 0.6}}, mix: answers},
		{name: "one replica 10x slow, 80%", example: kalahari, phases: steady(0.8), mix: answers,
			fault: func(r *rig.Rig) error {
				return r.InjectUpstreamFault(upstream.Fault{Replica: "scribe-pool-3", Slow: 10})
			}},
		{name: "one replica dead, 80%", example: kalahari, phases: steady(0.8), mix: answers,
			fault: func(r *rig.Rig) error {
				return r.InjectUpstreamFault(upstream.Fault{Replica: "scribe-pool-3", Dead: true})
			}},
		{name: "greedy customer, 150%", example: kalahari, phases: steady(1.5), mix: greedy},
		{name: "cancellations 3x on 60%", example: midlands, phases: []step{warm(0.6), {8, 1.8}}, mix: cancellations},
		{name: "a hall lost, 50%", example: kalahari, phases: steady(0.5), mix: answers, fault: loseHall},
		{name: "owner killed, 60%", example: kalahari, phases: steady(0.6), mix: answers, fault: killOwner},
		{name: "platform down, 60%", example: kalahari, phases: steady(0.6), mix: answers,
			before: func(r *rig.Rig) error { return r.InjectPlatformFault(platform.Faults{Down: true}) }},
	}
}

// find returns the scenarios whose names contain part.
func find(part string) []scenario {
	var out []scenario
	for _, s := range scenarios() {
		if strings.Contains(s.name, part) {
			out = append(out, s)
		}
	}
	return out
}

func halls(r *rig.Rig, customer, pipeline string, share float64, numbered bool) []load.Mix {
	var out []load.Mix
	for _, h := range r.Fleet.Halls {
		out = append(out, load.Mix{
			Customer: customer, Hall: h, Pipeline: pipeline, Numbered: numbered,
			Share: share / float64(len(r.Fleet.Halls)), Deadline: deadline,
		})
	}
	return out
}

// answers is both four-stage pipelines in one class from four customers.
func answers(r *rig.Rig) []load.Mix {
	out := halls(r, "shaft-supervisors", "bylaw-answer", 3, false)
	out = append(out, halls(r, "town-council", "safety-summary", 3, false)...)
	return append(out, halls(r, "field-inspectors", "bylaw-answer", 2, false)...)
}

// greedy is one customer that sends most of 150%, and two small ones.
func greedy(r *rig.Rig) []load.Mix {
	out := halls(r, "town-council", "bylaw-answer", 13, false)
	out = append(out, halls(r, "shaft-supervisors", "bylaw-answer", 1, false)...)
	return append(out, halls(r, "field-inspectors", "bylaw-answer", 1, false)...)
}

func cancellations(r *rig.Rig) []load.Mix {
	return halls(r, "club-desks", "cancel", 1, true)
}

// loseHall kills every instance and every replica of one hall.
func loseHall(r *rig.Rig) error {
	const hall = "hall-b"
	for _, in := range r.Instances {
		if in.Settings.Hall == hall {
			in.Entry.Kill()
			in.Coord.Kill()
		}
	}
	var s api.Status
	if err := r.CallOperatorAPI(r.Instances[0], "GET", "/v1/status", "", &s); err != nil {
		return err
	}
	for _, x := range s.Replicas {
		if x.Hall != hall {
			continue
		}
		if err := r.InjectUpstreamFault(upstream.Fault{Replica: x.ID, Dead: true}); err != nil {
			return err
		}
	}
	return nil
}

// killOwner kills the coord that owns the slots of the generating service.
func killOwner(r *rig.Rig) error {
	names := make([]string, len(r.Instances))
	for i, in := range r.Instances {
		names[i] = in.Name
	}
	owner := rendezvous.Owner("slots/scribe-pool", names)
	for _, in := range r.Instances {
		if in.Name == owner {
			in.Coord.Kill()
		}
	}
	return nil
}

// policy is one way to run the fleet.
type policy struct {
	name string
	base bool // a baseline
	edit func(string) string
}

func with(choice, shed string) func(string) string {
	return func(text string) string {
		text = strings.Replace(text, `policy = "permits"`, `policy = "`+choice+`"`, 1)
		return regexp.MustCompile(`shed = [0-9.]+`).ReplaceAllString(text, "shed = "+shed)
	}
}

func policies() []policy {
	return []policy{
		{"round robin, no admission", true, with("round_robin", "0.0")},
		{"least in flight, no admission", true, with("least_inflight", "0.0")},
		{"local", false, with("local", "2.0")},
		{"permits", false, with("permits", "2.0")},
	}
}

// chosen returns the policies a command line names, such as "local:2,permits:2.5".
func chosen(names string) []policy {
	if names == "" {
		return policies()
	}
	var out []policy
	for _, n := range strings.Split(names, ",") {
		choice, shed, _ := strings.Cut(n, ":")
		if !strings.Contains(shed, ".") {
			shed += ".0"
		}
		out = append(out, policy{n, false, with(choice, shed)})
	}
	return out
}
