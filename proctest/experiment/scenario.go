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
	slowdown = 3                      // factor on service times, so that the machine itself is not the bottleneck
	deadline = 900 * time.Millisecond // of every request
)

// scenario is one situation in which policies are compared.
type scenario struct {
	name        string
	example     string
	phases      []loadStep
	mix         func(*rig.Rig) []load.Mix
	injectFault func(*rig.Rig) error // if set, called when the second phase begins
	prepare     func(*rig.Rig) error // if set, called before the load starts
}

// loadStep is a phase whose request rate is a share of the bottleneck's capacity.
type loadStep struct {
	seconds     float64
	utilization float64
}

const (
	kalahari = "examples/kalahari"
	midlands = "examples/midlands"
)

func scenarios() []scenario {
	warm := func(share float64) loadStep { return loadStep{3, share} }
	steady := func(share float64) []loadStep { return []loadStep{warm(share), {8, share}} }
	return []scenario{
		{name: "steady 60%", example: kalahari, phases: steady(0.6), mix: answerMix},
		{name: "steady 95%", example: kalahari, phases: steady(0.95), mix: answerMix},
		{name: "burst 3x on 60%", example: kalahari, phases: []loadStep{warm(0.6), {10, 1.8}, {2, 0.6}}, mix: answerMix},
		{name: "one replica 10x slow, 80%", example: kalahari, phases: steady(0.8), mix: answerMix,
			injectFault: func(r *rig.Rig) error {
				return r.InjectUpstreamFault(upstream.Fault{Replica: "scribe-pool-3", SlowFactor: 10})
			}},
		{name: "one replica dead, 80%", example: kalahari, phases: steady(0.8), mix: answerMix,
			injectFault: func(r *rig.Rig) error {
				return r.InjectUpstreamFault(upstream.Fault{Replica: "scribe-pool-3", Dead: true})
			}},
		{name: "greedy customer, 150%", example: kalahari, phases: steady(1.5), mix: greedyMix},
		{name: "cancellations 3x on 60%", example: midlands, phases: []loadStep{warm(0.6), {8, 1.8}}, mix: cancellationMix},
		{name: "a hall lost, 50%", example: kalahari, phases: steady(0.5), mix: answerMix, injectFault: loseHall},
		{name: "owner killed, 60%", example: kalahari, phases: steady(0.6), mix: answerMix, injectFault: killOwner},
		{name: "platform down, 60%", example: kalahari, phases: steady(0.6), mix: answerMix,
			prepare: func(r *rig.Rig) error { return r.InjectPlatformFault(platform.Faults{Down: true}) }},
	}
}

// scenariosMatching returns the scenarios whose name contains part.
func scenariosMatching(part string) []scenario {
	var out []scenario
	for _, s := range scenarios() {
		if strings.Contains(s.name, part) {
			out = append(out, s)
		}
	}
	return out
}

// acrossHalls returns a mix of one customer and pipeline with the share divided
// equally among all halls.
func acrossHalls(r *rig.Rig, customer, pipeline string, share float64, numbered bool) []load.Mix {
	var out []load.Mix
	for _, h := range r.Fleet.Halls {
		out = append(out, load.Mix{
			Customer: customer, Hall: h, Pipeline: pipeline, Ticketed: numbered,
			Share: share / float64(len(r.Fleet.Halls)), Deadline: deadline,
		})
	}
	return out
}

// answerMix returns requests of three customers for both four-stage pipelines.
func answerMix(r *rig.Rig) []load.Mix {
	out := acrossHalls(r, "shaft-supervisors", "bylaw-answer", 3, false)
	out = append(out, acrossHalls(r, "town-council", "safety-summary", 3, false)...)
	return append(out, acrossHalls(r, "field-inspectors", "bylaw-answer", 2, false)...)
}

// greedyMix returns requests of one customer that sends most of the load, and of two
// small ones.
func greedyMix(r *rig.Rig) []load.Mix {
	out := acrossHalls(r, "town-council", "bylaw-answer", 13, false)
	out = append(out, acrossHalls(r, "shaft-supervisors", "bylaw-answer", 1, false)...)
	return append(out, acrossHalls(r, "field-inspectors", "bylaw-answer", 1, false)...)
}

func cancellationMix(r *rig.Rig) []load.Mix {
	return acrossHalls(r, "club-desks", "cancel", 1, true)
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

// policy is a scheduling policy with its admission control.
type policy struct {
	name            string
	isBaseline      bool
	editDeclaration func(string) string
}

// withPolicy returns an edit of a declaration that sets the policy and the shed
// threshold.
func withPolicy(choice, shed string) func(string) string {
	return func(text string) string {
		text = strings.Replace(text, `policy = "permits"`, `policy = "`+choice+`"`, 1)
		return regexp.MustCompile(`shed = [0-9.]+`).ReplaceAllString(text, "shed = "+shed)
	}
}

func policies() []policy {
	return []policy{
		{"round robin, no admission", true, withPolicy("round_robin", "0.0")},
		{"least in flight, no admission", true, withPolicy("least_inflight", "0.0")},
		{"local", false, withPolicy("local", "2.0")},
		{"permits", false, withPolicy("permits", "2.0")},
	}
}

// selectPolicies returns the policies that a command line names, such as
// "local:2,permits:2.5"; all policies for an empty string.
func selectPolicies(names string) []policy {
	if names == "" {
		return policies()
	}
	var out []policy
	for _, n := range strings.Split(names, ",") {
		choice, shed, _ := strings.Cut(n, ":")
		if !strings.Contains(shed, ".") {
			shed += ".0"
		}
		out = append(out, policy{n, false, withPolicy(choice, shed)})
	}
	return out
}
