// Package api defines the HTTP headers and JSON bodies that are exchanged with
// callers, operators, upstreams and the platform.
package api

import (
	"quinceroad/coordination/outcome"
)

// HTTP headers of a caller's request.
const (
	HeaderAuthorization = "Authorization" // "Bearer KEY"
	HeaderTicket        = "Quince-Ticket" // PREFIX.NUMBER, for pipelines that may not be repeated
	HeaderRequestID     = "Quince-Request-Id"
	HeaderHall          = "Quince-Hall" // the caller's hall, to prefer addresses in it
)

// HTTP headers between an entry and an upstream. A replica repeats the identity
// headers (request, stage, attempt, input digest) in its answer, which is
// accepted only if they match.
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
	HeaderFence        = "X-Fence" // of an order: the fencing token of the coord that sends it
)

// Error is the body of every answer that is not a complete result.
type Error struct {
	ID           string       `json:"id"` // of the request
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
	DeadlineMS int    `json:"deadline_ms,omitempty"` // from receipt; defaults to the pipeline's deadline
	Priority   string `json:"priority,omitempty"`
	Stream     bool   `json:"stream,omitempty"` // send tokens as server-sent events
}

// RunAnswer is the body of a complete answer, and the last event of a stream.
type RunAnswer struct {
	ID        string       `json:"id"`
	Outcome   outcome.Kind `json:"outcome"`
	Output    string       `json:"output,omitempty"`
	Count     int          `json:"count"`  // length of the output in bytes
	Digest    string       `json:"digest"` // xxhash64 of the output, in hex
	ElapsedMS float64      `json:"elapsed_ms"`
	Cost      float64      `json:"cost"`
	Stages    []Stage      `json:"stages"`
}

// Stage describes the execution of one stage of a run.
type Stage struct {
	Name     string  `json:"name"`
	Service  string  `json:"service"`
	Replica  string  `json:"replica"`
	Attempts int     `json:"attempts"`
	QueueMS  float64 `json:"queue_ms"`
	TimeMS   float64 `json:"time_ms"`
	Cost     float64 `json:"cost"`
}

// Token is the data of one token event of a stream.
type Token struct {
	Text string `json:"text"`
}

// Address is an entry that a caller may use.
type Address struct {
	Instance string `json:"instance"`
	Address  string `json:"address"` // IP:port
	Hall     string `json:"hall"`
}

// AddressAnswer is the body of GET /v1/addresses.
type AddressAnswer struct {
	Addresses  []Address `json:"addresses"` // best first
	LifetimeMS int64     `json:"lifetime_ms"`
	Ticket     string    `json:"ticket"` // prefix to which the caller appends ".NUMBER"
	Home       string    `json:"home"`   // IP:port of the entry that runs requests with this ticket
}

// Plan is the answer to an operator's intent.
type Plan struct {
	ID        string         `json:"id"`
	Base      uint64         `json:"base_revision"` // revision that the plan replaces
	By        string         `json:"by"`            // name of the operator
	State     string         `json:"state"`         // planned, confirmed, unchanged
	Changes   []string       `json:"changes"`
	Warnings  []string       `json:"warnings,omitempty"`
	Stages    []PlannedStage `json:"stages"`
	Needs     []CapacityNeed `json:"needs"`
	Forecasts []Forecast     `json:"outlooks"`
	Inputs    PlanInputs     `json:"inputs"`
	Text      string         `json:"declaration"`
}

// PlanInputs holds the numbers of instances and replicas on which a plan is based.
type PlanInputs struct {
	Instances int `json:"instances"`
	Replicas  int `json:"replicas"`
}

// PlannedStage states where a stage runs and how much capacity it gets.
type PlannedStage struct {
	Pipeline          string   `json:"pipeline"`
	Stage             string   `json:"stage"`
	Service           string   `json:"service"`
	Halls             []string `json:"halls"`
	Slots             int      `json:"slots"`
	CapacityPerSecond float64  `json:"capacity_per_second"` // of the service, if each call takes the stage's expected time
	BudgetMS          int      `json:"budget_ms"`           // the stage's share of the deadline
	CostPerRequest    float64  `json:"cost_per_request"`
}

// CapacityNeed is the capacity that a service needs at the declared peak.
type CapacityNeed struct {
	Service           string  `json:"service"`
	SlotsInUse        float64 `json:"load_slots"`      // average number of slots in use
	TargetUtilization float64 `json:"target_use"`      // maximum utilization of the slots
	RequiredReplicas  int     `json:"replicas"`        // number that keeps the use at TargetUtilization
	LiveReplicas      int     `json:"have"`            // live replicas that are not leaving
	CostPerSecond     float64 `json:"cost_per_second"` // units per second for the load itself
}

// Forecast is the expected service level of a pipeline at the declared peak,
// computed from expected times rather than measured.
type Forecast struct {
	Pipeline       string  `json:"pipeline"`
	Attainment     float64 `json:"attainment"`       // share of requests completed within the deadline
	CostPerRequest float64 `json:"cost_per_request"` // units per request
}

// Confirmation is the answer to the confirmation of a plan.
type Confirmation struct {
	Plan     string `json:"plan"`
	Revision uint64 `json:"revision"`
	State    string `json:"state"` // confirmed, conflict or undetermined
}

// StoredPlan is a plan as stored on the platform, with its text compressed.
type StoredPlan struct {
	Plan
	Declaration []byte `json:"packed"` // see package pack
}

// ActiveConfig is the body of GET /v1/config: the accepted configuration.
type ActiveConfig struct {
	Revision    uint64         `json:"revision"`
	PlanID      string         `json:"plan_id"`
	Declaration string         `json:"declaration"`
	History     []PastRevision `json:"history"`
}

// StoredConfig is the accepted configuration as stored on the platform.
type StoredConfig struct {
	Revision    uint64         `json:"revision"`
	PlanID      string         `json:"plan_id"`
	By          string         `json:"by"`
	Declaration []byte         `json:"declaration"` // see package pack
	History     []PastRevision `json:"history"`     // newest first, at most MaxHistory
}

// MaxHistory is the maximum number of revisions in StoredConfig.History.
const MaxHistory = 50

// PastRevision is a revision that was accepted.
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
	Revision    uint64 `json:"revision"` // applied there; 0: unknown because the instance did not answer
}

// DrainAnswer is the body of the answer to POST /v1/instances/NAME/drain.
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
