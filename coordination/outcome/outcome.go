// Package outcome decides the outcome of each request in one place, so that "not run"
// is never reported for a request that may have run.
//
// Refuse ends a Record while nothing has been written to an upstream. Dispatch returns
// the token that the upstream client requires before it writes; from then on the record
// yields no Refusal. The compiler and the record enforce this together: Refusal has no
// exported fields and only Refuse creates one. A dispatch is revoked only when the
// upstream answers that it didn't run the request, or when nothing can have been
// written.
package outcome

import (
	"sync"
	"time"
)

// Kind is the outcome reported to a caller.
type Kind string

// The outcomes; every answer carries exactly one.
const (
	Done    Kind = "done"    // ran; the answer is complete
	NotRun  Kind = "not_run" // nothing was written to an upstream, or it didn't run the request
	Failed  Kind = "failed"  // ran, and an upstream failed it
	Unknown Kind = "unknown" // may have run; it is never run again under its ticket
)

// Refusal is proof that a request was not run.
type Refusal struct {
	reason     string
	retryAfter time.Duration
}

// Reason is the refusal's code.
func (r Refusal) Reason() string { return r.reason }

// RetryAfter is when the caller may retry; zero if a retry won't help.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// DispatchToken is the permission to write to an upstream.
type DispatchToken struct{ record *Record }

// Valid reports whether the token came from a record.
func (d DispatchToken) Valid() bool { return d.record != nil }

// Record is the dispatch state of one request.
type Record struct {
	mu           sync.Mutex
	openAttempts int // dispatched attempts not known to be not run
	ended        bool
}

// NewRecord returns the record of a request that was just received.
func NewRecord() *Record { return &Record{} }

// Refuse ends the record as not run. It fails after a dispatch or once the record has
// ended; the caller must then answer Failed or Unknown.
func (r *Record) Refuse(reason string, retryAfter time.Duration) (Refusal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.openAttempts > 0 || r.ended {
		return Refusal{}, false
	}
	r.ended = true
	return Refusal{reason: reason, retryAfter: retryAfter}, true
}

// Dispatch starts an attempt. It fails after a refusal.
func (r *Record) Dispatch() (DispatchToken, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return DispatchToken{}, false
	}
	r.openAttempts++
	return DispatchToken{record: r}, true
}

// MarkNotRun records that a dispatched attempt was not run: either the upstream
// answered so, or nothing was written. Call it once per attempt.
func (r *Record) MarkNotRun(d DispatchToken) {
	if d.record != r {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.openAttempts > 0 {
		r.openAttempts--
	}
}

// MayHaveRun reports whether an attempt was dispatched that is not known to be not run.
func (r *Record) MayHaveRun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.openAttempts > 0
}
