// Package fleet defines the declared configuration: operators write it in TOML
// under version control, and every process has one declaration in force.
package fleet

import (
	"slices"
	"time"
)

// Class is a priority class; lower values are served first.
type Class int

// The priority classes of pipelines, customers and requests.
const (
	Urgent Class = iota
	Normal
	Batch
)

// Classes maps the names used in declarations to classes.
var Classes = map[string]Class{"urgent": Urgent, "normal": Normal, "batch": Batch}

// Kind is the type of an upstream service.
type Kind string

// The kinds of upstream services.
const (
	Engine Kind = "engine" // model engine: batches requests, streams tokens, accepts orders to load a model
	Pool   Kind = "pool"   // encoders, retrievers, rerankers
	Plain  Kind = "plain"  // any other service
)

// Fleet is a complete declaration.
type Fleet struct {
	Name   string   `toml:"name"`
	Region string   `toml:"region"`
	Halls  []string `toml:"halls"`
	// AttainmentWeight is the weight of attainment (requests completed within their
	// deadlines) in capacity planning, from 0 to 1; the remainder is the weight of cost by
	// stage.
	AttainmentWeight float64 `toml:"attainment_weight"`
	// AddressTTLSeconds is the time for which clients may cache an address response.
	AddressTTLSeconds int    `toml:"address_lifetime_seconds" json:"AddressSeconds"`
	Policy            string `toml:"policy"` // replica selection, see package scheduler
	// ShedSlackFactor sets when a queued request is shed: once its slack is below this
	// multiple of the expected stage time.
	ShedSlackFactor float64    `toml:"shed" json:"Shed"`
	Services        []Service  `toml:"service"`
	Pipelines       []Pipeline `toml:"pipeline"`
	Customers       []Customer `toml:"customer"`
}

// Service is an upstream: a set of interchangeable replicas.
type Service struct {
	Name  string  `toml:"name"`
	Kind  Kind    `toml:"kind"`
	Slots int     `toml:"slots"` // concurrent requests of one replica
	Cost  float64 `toml:"cost"`  // cost units per second of one slot
	Model string  `toml:"model"` // engines: NAME@VERSION that the replicas are ordered to load; empty: no order
}

// Pipeline is a sequence of stages under one deadline.
type Pipeline struct {
	Name       string  `toml:"name"`
	DeadlineMS int     `toml:"deadline_ms"` // of the whole request; a client may set a shorter one
	Priority   string  `toml:"priority"`
	Rate       float64 `toml:"rate"`       // peak requests per second, for capacity planning; 0: unknown
	Repeatable bool    `toml:"repeatable"` // false: has a stage that runs at most once, so requests need tickets
	Stages     []Stage `toml:"stage"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name       string `toml:"name"`
	Service    string `toml:"service"`
	Operation  string `toml:"operation"`
	ExpectedMS int    `toml:"expect_ms" json:"ExpectMS"` // initial estimate of its duration, until measurements replace it
	AtMostOnce bool   `toml:"once" json:"Once"`          // has side effects that must not happen twice: never retried
}

// Customer is a tenant, with its share and rate limit.
type Customer struct {
	Name      string  `toml:"name"`
	KeySHA256 string  `toml:"key_sha256"` // hex digest of the API key; the key itself is never stored
	Weight    int     `toml:"weight"`     // weight in the fair sharing between customers
	Priority  string  `toml:"priority"`   // highest class that this customer may request
	Rate      float64 `toml:"rate"`       // requests per second over the whole fleet; 0: unlimited
	Burst     float64 `toml:"burst"`      // burst size over the whole fleet
}

// Service returns the service with the given name.
func (f *Fleet) Service(name string) (*Service, bool) {
	for i := range f.Services {
		if f.Services[i].Name == name {
			return &f.Services[i], true
		}
	}
	return nil, false
}

// Pipeline returns the pipeline with the given name.
func (f *Fleet) Pipeline(name string) (*Pipeline, bool) {
	for i := range f.Pipelines {
		if f.Pipelines[i].Name == name {
			return &f.Pipelines[i], true
		}
	}
	return nil, false
}

// Customer returns the customer with the given name.
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

// ExpectedTime returns the declared initial estimate of the stage's duration.
func (s *Stage) ExpectedTime() time.Duration {
	return time.Duration(s.ExpectedMS) * time.Millisecond
}

// HasAtMostOnceStage reports whether a stage of the pipeline must not run twice.
func (p *Pipeline) HasAtMostOnceStage() bool {
	return slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.AtMostOnce })
}
