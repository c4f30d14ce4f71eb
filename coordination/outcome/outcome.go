// Package outcome holds the one place where a request's fate is decided, so
// that "not run" is said only of requests that were truly not run (brief,
// "What must always hold").
//
// A Record starts accepted. Refuse ends it while nothing was written towards
// an upstream. Dispatch returns the token that the upstream client demands
// before it writes; from then on no Refusal can be built from the record, which
// the compiler and the record hold together: Refusal has no exported fields and
// only Refuse builds one. Only an upstream's own word takes a dispatch back.
package outcome

import (
	"sync"
	"time"
)

// Kind is what a caller is told of its request.
type Kind string

// The outcomes; every answer carries exactly one.
const (
	Done    Kind = "done"    // ran; the whole answer is here
	NotRun  Kind = "not_run" // nothing was ever written towards an upstream
	Failed  Kind = "failed"  // ran, and an upstream said no
	Unknown Kind = "unknown" // may have run; never runs again under its ticket
)

// Refusal is the proof that a request was not run.
type Refusal struct {
	reason     string
	retryAfter time.Duration
}

// Reason is the refusal's code.
func (r Refusal) Reason() string { return r.reason }

// RetryAfter is when the caller may come back; zero when coming back won't help.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Dispatched is the permission to write towards an upstream.
type DispatchToken struct{ record *Record }

// Valid reports whether the token came from a record.
func (d DispatchToken) Valid() bool { return d.record != nil }

// Record is one request's dispatch state.
type Record struct {
	mu    sync.Mutex
	open  int // attempts that nobody has said were not run
	ended bool
}

// Accept returns the record of a request that was just received.
func NewRecord() *Record { return &Record{} }

// Refuse ends the record as not run. It fails once dispatching began or the
// record ended; the caller must then answer Failed or Unknown.
func (r *Record) Refuse(reason string, retryAfter time.Duration) (Refusal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open > 0 || r.ended {
		return Refusal{}, false
	}
	r.ended = true
	return Refusal{reason: reason, retryAfter: retryAfter}, true
}

// Dispatch moves the record to dispatching. It fails after a refusal.
func (r *Record) Dispatch() (DispatchToken, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return DispatchToken{}, false
	}
	r.open++
	return DispatchToken{record: r}, true
}

// NotRun takes in an upstream's own word, or the proof that nothing was
// written, that a dispatched attempt was not run. Call it once for an attempt.
func (r *Record) MarkNotRun(d DispatchToken) {
	if d.record != r {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open > 0 {
		r.open--
	}
}

// MayHaveRun reports whether an attempt was dispatched that nobody has said
// was not run.
func (r *Record) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open > 0
}
