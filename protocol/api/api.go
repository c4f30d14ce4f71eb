// Package api holds the JSON that callers, operators and the platform see.
package api

import (
	"quinceroad/coordination/outcome"
)

// The HTTP headers of a request to the system.
const (
	HeaderAuthorization = "Authorization" // "Bearer KEY"
	HeaderTicket        = "Quince-Ticket" // PREFIX.NUMBER, for pipelines that may not be repeated
	HeaderRequestID     = "Quince-Request-Id"
	HeaderHall          = "Quince-Hall" // the caller's hall, for near addresses
)

// The HTTP headers between an entry and an upstream. A replica repeats those
// of identity; an answer is taken only when they match.
const (
	HeaderRequest      = "X-Request"
	HeaderStage        = "X-Stage"
	HeaderAttempt      = "X-Attempt"
	HeaderInputDigest  = "X-Input-Digest"
	HeaderOperation    = "X-Operation"
	HeaderDeadline     = "X-Deadline-Ms"
	HeaderPriority     = "X-Priority"
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderDraining     = "X-Leaving"
	HeaderIncarnation  = "X-Incarnation"
	HeaderFence        = "X-Fence" // of an order: the fencing token of who gives it
)

// Error is the body of every answer that is not a whole result.
type Error struct {
	ID           string       `json:"id"` // the request's
	Code         string       `json:"code"`
	Detail       string       `json:"detail"`
	Outcome      outcome.Kind `json:"outcome"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	Addresses    []Address    `json:"addresses,omitempty"`
	Status       int          `json:"-"`
}

// Error implements error.
func (e *Error) Error() string { return e.Code + ": " + e.Detail }

// RunRequest is the body of POST /v1/pipelines/NAME/runs.
type RunRequest struct {
	Input      string `json:"input"`
	DeadlineMS int    `json:"deadline_ms,omitempty"` // from receipt; the pipeline's when absent
	Priority   string `json:"priority,omitempty"`
	Stream     bool   `json:"stream,omitempty"` // tokens as server-sent events
}

// RunAnswer is the body of a whole answer, and the last event of a stream.
type RunAnswer struct {
	ID        string       `json:"id"`
	Outcome   outcome.Kind `json:"outcome"`
	Output    string       `json:"output,omitempty"`
	Count     int          `json:"count"`  // bytes of the output
	Digest    string       `json:"digest"` // xxhash64 of the output, in hex
	ElapsedMS float64      `json:"elapsed_ms"`
	Cost      float64      `json:"cost"`
	Stages    []Stage      `json:"stages"`
}

// Stage reports one stage of a run.
type Stage struct {
	Name     string  `json:"name"`
	Service  string  `json:"service"`
	Replica  string  `json:"replica"`
	Attempts int     `json:"attempts"`
	QueueMS  float64 `json:"queue_ms"`
	TimeMS   float64 `json:"time_ms"`
	Cost     float64 `json:"cost"`
}

// Token is one event of a stream.
type Token struct {
	Text string `json:"text"`
}

// Address is one entry a caller may use.
type Address struct {
	Instance string `json:"instance"`
	Address  string `json:"address"` // IP:port
	Hall     string `json:"hall"`
}

// AddressAnswer is the body of GET /v1/addresses.
type AddressAnswer struct {
	Addresses  []Address `json:"addresses"` // best first
	LifetimeMS int64     `json:"lifetime_ms"`
	Ticket     string    `json:"ticket"` // prefix; the caller appends ".NUMBER"
	Home       string    `json:"home"`   // IP:port of the entry that runs the ticket's numbers
}

// Plan answers an intent.
type Plan struct {
	ID        string         `json:"id"`
	Base      uint64         `json:"base_revision"`
	By        string         `json:"by"`
	State     string         `json:"state"` // planned, confirmed, unchanged
	Changes   []string       `json:"changes"`
	Warnings  []string       `json:"warnings,omitempty"`
	Stages    []PlannedStage `json:"stages"`
	Needs     []CapacityNeed `json:"needs"`
	Forecasts []Forecast     `json:"outlooks"`
	Inputs    PlanInputs     `json:"inputs"`
	Text      string         `json:"declaration"`
}

// PlanInputs is what a plan saw of the fleet.
type PlanInputs struct {
	Instances int `json:"instances"`
	Replicas  int `json:"replicas"`
}

// PlannedStep says where a stage runs and how much capacity it gets.
type PlannedStage struct {
	Pipeline          string   `json:"pipeline"`
	Stage             string   `json:"stage"`
	Service           string   `json:"service"`
	Halls             []string `json:"halls"`
	Slots             int      `json:"slots"`
	CapacityPerSecond float64  `json:"capacity_per_second"` // of the service, at the stage's expected time
	BudgetMS          int      `json:"budget_ms"`           // the stage's share of the deadline
	Cost              float64  `json:"cost_per_request"`
}

// PlannedNeed is how much capacity a service should get at the declared peak.
type CapacityNeed struct {
	Service  string  `json:"service"`
	Load     float64 `json:"load_slots"`
	Target   float64 `json:"target_use"` // share of the slots in use at most
	Replicas int     `json:"replicas"`
	Have     int     `json:"have"`
	CostSec  float64 `json:"cost_per_second"`
}

// Outlook is what a pipeline can expect at the declared peak: worked out from
// expected times, not measured.
type Forecast struct {
	Pipeline   string  `json:"pipeline"`
	Attainment float64 `json:"attainment"`
	Cost       float64 `json:"cost_per_request"`
}

// Confirmed answers a confirmation.
type Confirmation struct {
	Plan     string `json:"plan"`
	Revision uint64 `json:"revision"`
	State    string `json:"state"` // confirmed, conflict or undetermined
}

// StoredPlan is a plan as it lies on the platform, without its text.
type StoredPlan struct {
	Plan
	Declaration []byte `json:"packed"` // see package pack
}

// InForce answers GET /v1/config.
type ActiveConfig struct {
	Revision    uint64         `json:"revision"`
	PlanID      string         `json:"plan_id"`
	Declaration string         `json:"declaration"`
	History     []PastRevision `json:"history"`
}

// Stored is the accepted configuration as it lies on the platform.
type StoredConfig struct {
	Revision    uint64         `json:"revision"`
	PlanID      string         `json:"plan_id"`
	By          string         `json:"by"`
	Declaration []byte         `json:"declaration"` // see package pack
	History     []PastRevision `json:"history"`     // newest first, at most MaxHistory
}

// MaxHistory bounds the revisions that Stored remembers.
const MaxHistory = 50

// Past is one accepted revision.
type PastRevision struct {
	Revision uint64 `json:"revision"`
	PlanID   string `json:"plan_id"`
	By       string `json:"by"`
}

// Status is one coord's view of the fleet.
type Status struct {
	Instance  string           `json:"instance"`
	Revision  uint64           `json:"revision"`
	Plan      string           `json:"plan"`
	Instances []InstanceStatus `json:"instances"`
	Replicas  []ReplicaStatus  `json:"replicas"`
}

// InstanceStatus is one instance in a Status.
type InstanceStatus struct {
	Name        string `json:"name"`
	Hall        string `json:"hall"`
	State       string `json:"state"`
	Leaving     bool   `json:"leaving"`
	Incarnation string `json:"incarnation"`
	Entry       string `json:"entry"`
	Revision    uint64 `json:"revision"` // in force there; 0: no answer
}

// Drained answers POST /v1/instances/NAME/drain.
type DrainAnswer struct {
	Instance string `json:"instance"`
}

// ReplicaStatus is one replica in a Status.
type ReplicaStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Hall    string `json:"hall"`
	Leaving bool   `json:"leaving"`
}
