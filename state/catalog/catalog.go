// Package catalog holds what an instance serves from: the configuration in
// force and the replicas of its services, in the product's own terms.
package catalog

import (
	"sort"
	"strconv"
	"strings"
	"time"
)

// Kind tells what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	AtMostOnce Kind = iota // at most one run for each request
	Repeatable             // may run more than once
	Stream                 // answered by a series of events
)

// Configuration is one accepted configuration. It is never changed once made.
type Configuration struct {
	Version   uint64
	Routes    []Route
	Services  map[string]*Service
	Limits    Limits
	Customers map[string]*Customer // by key
	hosts     map[string][]*Route  // longest prefix first
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is who a request is served for.
type Customer struct {
	Name           string
	Priority       int      // 0 first
	AllowedRegions []string // the only ones that may serve and keep its requests; none: all
}

// Route tells where the requests of one host and path go and how long they may take.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // longest time to an answer; 0: none
	Objective      time.Duration // within which an answer earns its whole worth
	GapObjective   time.Duration // longest pause between events
	Priority       int           // 0 first
	Targets        []Target
	MaxAttempts    int // most replicas that one request may be sent to
	Stages         []Stage
	Anonymous      bool
	Resumable      bool
	AllowedRegions []string // the only ones that may serve and keep its requests; none: all
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Stage is work at a pool before a request can run.
type Stage struct {
	Service     string
	DependsOn   []int // the stages whose results it needs
	ResultBytes int64 // approximate size of one result
}

// Service is a named set of replicas.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that one replica takes from all callers together
	Engine     *Engine // nil unless it generates
	Pool       *Pool   // nil unless it runs stages
	WarmUp     *WarmUp // nil unless its replicas carry little while they are cold
}

// WarmUp tells what a cold replica of a service carries.
type WarmUp struct {
	Duration          time.Duration // that a replica stays cold
	RequestsPerSecond float64       // requests that it carries meanwhile; it collapses well above
}

// Engine tells what one replica of a generating service holds.
type Engine struct {
	Slots         int
	MemoryTokens  int64
	BytesPerToken int64   // of memory that a token of a prompt takes
	LinkMbps      float64 // over which engines move it; 0: not stated
}

// Pool tells what one replica of a stage service does.
type Pool struct {
	Slots        int           // calls at work at once
	QueueLimit   int           // calls that may wait
	MaxBatch     int           // most pieces in a call
	BatchTime    time.Duration // of a call, whatever it holds
	ItemTime     time.Duration // of each piece, about
	ResultMemory int64         // bytes for results
	ResultTTL    time.Duration // how long a result is kept
	LinkMbps     float64
}

// Index prepares Match; call it once, before the configuration is shared.
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

// Match returns the route of a request, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Regions returns the regions that may serve some route of a host; nil where
// one of its routes, or a host that is not known, may be served anywhere.
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

// Pick returns the service for a request by the random number n.
func (r *Route) PickService(n uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := int(n % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[0].Service
}

// Sinks returns the stages whose results the request itself reads.
func (r *Route) Sinks() []int {
	read := make(map[int]bool)
	for _, s := range r.Stages {
		for _, a := range s.DependsOn {
			read[a] = true
		}
	}
	var out []int
	for i := range r.Stages {
		if !read[i] {
			out = append(out, i)
		}
	}
	return out
}

// Replica is one life of a replica of a service. A replica may start again
// under the name that it had; it then holds and knows nothing of before. So all
// that is believed of a replica is kept under its life's ID, and goes with it.
type Replica struct {
	ID          string // of this life: LifeID
	Name        string // under which the replica stands in the store and answers
	StartMillis int64  // Unix millisecond of its start; 0: it does not say
	Service     string
	Hall        string
	Address     string // IP:port
	Slots       int
	Version     string // of its software; "" where it tells none
	Draining    bool
	WarmupLeft  time.Duration // how much longer it is slow, when it was last told

	// What the process knows besides.
	Region        string        // of its hall; "" where nobody can place the hall
	HallDrained   bool          // its hall is being emptied: it gets nothing new
	HeldByRollout bool          // a roll-out gives it nothing
	WarmingUntil  time.Duration // by the process's clock; until then it carries little
}

// LifeID names one life of a replica: that of its name which began at a Unix
// millisecond, 0 where that is not said.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(born, 10)
}

// NameOf is the name in what may be a life's ID; names may hold the sign too.
func ReplicaName(id string) string {
	if at := strings.LastIndexByte(id, '@'); at >= 0 {
		return id[:at]
	}
	return id
}

// Takes reports whether the replica may get new work.
func (r *Replica) AcceptsWork() bool { return !r.Draining && !r.HallDrained && !r.HeldByRollout }

// Part is a piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}
