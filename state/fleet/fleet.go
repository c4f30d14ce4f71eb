// Package fleet holds the types of the declared configuration: what operators
// state in TOML under version control and what every process has in force.
package fleet

import (
	"slices"
	"time"
)

// Class orders requests: a lower class is served first.
type Class int

// The priority classes a pipeline, customer or request may name.
const (
	Urgent Class = iota
	Normal
	Batch
)

// Classes maps the declared names to classes.
var Classes = map[string]Class{"urgent": Urgent, "normal": Normal, "batch": Batch}

// Kind tells what a service's replicas are.
type Kind string

// The kinds of upstream service.
const (
	Engine Kind = "engine" // a model engine: batches, streams tokens, takes orders
	Pool   Kind = "pool"   // encoders, retrievers, rerankers
	Plain  Kind = "plain"  // any other service
)

// Fleet is one whole declaration.
type Fleet struct {
	Name              string     `toml:"name"`
	Region            string     `toml:"region"`
	Halls             []string   `toml:"halls"`
	AttainmentWeight  float64    `toml:"attainment_weight"`                              // 0..1; the rest weighs cost by stage
	AddressTTLSeconds int        `toml:"address_lifetime_seconds" json:"AddressSeconds"` // how long callers may keep an address answer
	Policy            string     `toml:"policy"`                                         // replica choice: see package scheduler
	ShedSlackFactor   float64    `toml:"shed" json:"Shed"`                               // drop a queued request once its slack is under this many expected stage times
	Services          []Service  `toml:"service"`
	Pipelines         []Pipeline `toml:"pipeline"`
	Customers         []Customer `toml:"customer"`
}

// Service is an upstream: a set of replicas with the same job.
type Service struct {
	Name  string  `toml:"name"`
	Kind  Kind    `toml:"kind"`
	Slots int     `toml:"slots"` // requests a replica runs at once
	Cost  float64 `toml:"cost"`  // units per second of one slot
	Model string  `toml:"model"` // engines: NAME@VERSION that the replicas are ordered to serve; empty: as they are
}

// Pipeline is a chain of stages under one deadline.
type Pipeline struct {
	Name       string  `toml:"name"`
	DeadlineMS int     `toml:"deadline_ms"` // for the whole request, unless the caller states a shorter one
	Priority   string  `toml:"priority"`
	Rate       float64 `toml:"rate"`       // requests a second at the peak, for the planner; 0: not stated
	Repeatable bool    `toml:"repeatable"` // false: has a stage that runs at most once, and wants tickets
	Stages     []Stage `toml:"stage"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name       string `toml:"name"`
	Service    string `toml:"service"`
	Operation  string `toml:"operation"`
	ExpectedMS int    `toml:"expect_ms" json:"ExpectMS"` // first guess of its time, until it is measured
	AtMostOnce bool   `toml:"once" json:"Once"`          // has an effect that must not happen twice: never sent again
}

// Customer is who a request is served and limited for.
type Customer struct {
	Name      string  `toml:"name"`
	KeySHA256 string  `toml:"key_sha256"` // hex digest of the customer's key; the key itself is never stored
	Weight    int     `toml:"weight"`     // share when customers compete
	Priority  string  `toml:"priority"`   // the best class this customer may ask for
	Rate      float64 `toml:"rate"`       // requests a second over the whole fleet; 0 means no limit
	Burst     float64 `toml:"burst"`      // requests at once over the whole fleet
}

// Service returns the service of that name.
func (f *Fleet) Service(name string) (*Service, bool) {
	for i := range f.Services {
		if f.Services[i].Name == name {
			return &f.Services[i], true
		}
	}
	return nil, false
}

// Pipeline returns the pipeline of that name.
func (f *Fleet) Pipeline(name string) (*Pipeline, bool) {
	for i := range f.Pipelines {
		if f.Pipelines[i].Name == name {
			return &f.Pipelines[i], true
		}
	}
	return nil, false
}

// Customer returns the customer of that name.
func (f *Fleet) Customer(name string) (*Customer, bool) {
	for i := range f.Customers {
		if f.Customers[i].Name == name {
			return &f.Customers[i], true
		}
	}
	return nil, false
}

// Deadline returns the pipeline's declared deadline.
func (p *Pipeline) Deadline() time.Duration {
	return time.Duration(p.DeadlineMS) * time.Millisecond
}

// Expect returns the declared first guess of the stage's time.
func (s *Stage) ExpectedTime() time.Duration {
	return time.Duration(s.ExpectedMS) * time.Millisecond
}

// HasOnce reports whether a stage of the pipeline must not run twice.
func (p *Pipeline) HasAtMostOnceStage() bool {
	return slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.AtMostOnce })
}
