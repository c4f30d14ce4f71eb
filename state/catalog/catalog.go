// Package catalog defines the data that an instance serves from: the configuration
// in force and the replicas of its services, independent of any wire format.
//
// The replicas of a service are engines, which run a model and answer prompts with
// streams of tokens, or a pool, which runs batches of the items of pipeline stages, or
// neither (a plain service).
package catalog

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

// Kind is the execution semantics of a route's requests.
type Kind int

// The kinds of routes.
const (
	AtMostOnce Kind = iota // a request runs at most once
	Repeatable             // idempotent: a request may run more than once
	Stream                 // the response is an event stream
)

// Configuration is one accepted configuration. It is immutable.
type Configuration struct {
	Version   uint64
	Routes    []Route
	Services  map[string]*Service
	Limits    Limits
	Customers map[string]*Customer // by API key
	hosts     map[string][]*Route  // routes by host, longest prefix first
}

// Limits bounds the size of client requests and the time to receive them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is a tenant on whose behalf requests are served.
type Customer struct {
	Name           string
	Priority       int      // 0 is the highest; below 0: that of the route applies
	AllowedRegions []string // regions that may serve and store its requests; empty: all
}

// Route maps requests for one host and path prefix to services, with their time
// limits and retry rules.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // maximum time to the response; 0: none
	Objective      time.Duration // latency objective: a response within it counts in full
	GapObjective   time.Duration // objective for the longest pause between two events
	Priority       int           // 0 is the highest
	Targets        []Target
	MaxAttempts    int // maximum number of replicas that a request is sent to
	Stages         []Stage
	Anonymous      bool     // requests need no API key
	Resumable      bool     // an interrupted stream may continue at another replica
	AllowedRegions []string // regions that may serve and store its requests; empty: all
}

// Target is a service that receives a weighted share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Stage is preparatory work that a pool performs before the request itself runs.
type Stage struct {
	Service     string
	DependsOn   []int // indexes of the stages whose results it needs
	ResultBytes int64 // approximate size of one result
}

// Service is a named set of replicas.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that one replica accepts, over all instances together
	Engine     *Engine // nil unless it is a model engine
	Pool       *Pool   // nil unless it runs stages
	WarmUp     *WarmUp // nil unless its replicas have reduced capacity after a start
}

// WarmUp describes the reduced capacity of a replica that has just started.
type WarmUp struct {
	Duration          time.Duration // time from the start of a replica to its full capacity
	RequestsPerSecond float64       // capacity until then; a rate well above it makes the replica collapse
}

// Engine describes the capacity of one replica of a model engine.
type Engine struct {
	Slots         int     // requests that run concurrently
	MemoryTokens  int64   // capacity for prompts, in tokens
	BytesPerToken int64   // memory of one prompt token
	LinkMbps      float64 // bandwidth for transfers of prompt memory between engines; 0: unknown
}

// Pool describes the capacity of one replica of a stage service.
type Pool struct {
	Slots        int           // batches that run concurrently
	QueueLimit   int           // batches that may be queued
	MaxBatch     int           // maximum number of items in a batch
	BatchTime    time.Duration // fixed time of a batch, whatever its size
	ItemTime     time.Duration // approximate additional time of each item
	ResultMemory int64         // bytes available for results
	ResultTTL    time.Duration // time that a result is kept
	LinkMbps     float64       // as configured; not used
}

// Index builds the lookup table of Match. It must be called once, before the
// configuration is shared.
func (c *Configuration) Index() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

// Match returns the route of a request, or nil when there is none.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AllowedRegions returns the regions that may serve at least one route of a host.
// It returns nil when a route of the host has no restriction or the host is unknown.
func (c *Configuration) AllowedRegions(host string) []string {
	var out []string
	for _, r := range c.hosts[host] {
		if len(r.AllowedRegions) == 0 {
			return nil
		}
		out = append(out, r.AllowedRegions...)
	}
	return out
}

// PickService selects a service by weight, using the random number n.
func (r *Route) PickService(n uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	offset := int(n % uint64(total))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Service
		}
		offset -= t.Weight
	}
	return r.Targets[0].Service
}

// Sinks returns the stages that no other stage depends on; the request itself
// reads their results.
func (r *Route) Sinks() []int {
	consumed := make(map[int]bool)
	for _, s := range r.Stages {
		for _, a := range s.DependsOn {
			consumed[a] = true
		}
	}
	var out []int
	for i := range r.Stages {
		if !consumed[i] {
			out = append(out, i)
		}
	}
	return out
}

// Replica is one incarnation of a replica of a service. A replica that restarts
// under the same name has lost all its state, so everything recorded about a
// replica is keyed by the incarnation's ID and discarded with it.
type Replica struct {
	ID          string // of this incarnation, see IncarnationID
	Name        string // key in the store and name in the replica's responses
	StartMillis int64  // start time in Unix milliseconds; 0: not reported
	Service     string
	Hall        string
	Address     string // IP:port
	Slots       int
	Version     string        // software version; "": not reported
	Draining    bool          // it is leaving and receives no new work
	WarmupLeft  time.Duration // remaining warm-up time when it was last reported

	// Set by the instance, not part of the store's entry.
	Region        string        // region of its hall; "": the hall is in no configured region
	HallDrained   bool          // its hall is being drained: it receives no new work
	HeldByRollout bool          // a rollout sends it no requests
	WarmingUntil  time.Duration // on the instance's monotonic clock; capacity is reduced until then
}

// IncarnationID returns the ID of the incarnation of a replica that started at
// startMillis (Unix milliseconds; 0: start time not reported).
func IncarnationID(name string, startMillis int64) string {
	if startMillis == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(startMillis, 10)
}

// ReplicaName returns the replica's name from an incarnation ID or a plain name.
// Names may contain '@' too, so only the last one separates the start time.
func ReplicaName(id string) string {
	if at := strings.LastIndexByte(id, '@'); at >= 0 {
		return id[:at]
	}
	return id
}

// AcceptsWork reports whether the replica may receive new work.
func (r *Replica) AcceptsWork() bool { return !r.Draining && !r.HallDrained && !r.HeldByRollout }

// PromptPart is a section of a prompt that several requests may have in common.
type PromptPart struct {
	ID     string
	Tokens int
}
