// Package warmup limits the requests to warming replicas (slow start). A replica that
// has just started or lost its caches serves only a few requests per second until it
// is warm, and collapses well above that. No instance sees all requests to a replica,
// so the limit is divided in advance:
//
//   - engines and pools get their work through the owner of their cell, which
//     counts with a Window; for a moment there may be two owners;
//   - a plain service gets requests from every instance directly; Quota selects a
//     few instances by rendezvous hashing that may use a warming replica.
//
// The package does no I/O and reads no clock: counts and times are passed in.
package warmup

import (
	"math"
	"slices"
	"time"

	"quinceroad/coordination/rendezvous"
)

// Limit is how far a deployment allows the requests to a warming replica to exceed the
// rate that its service declares.
type Limit struct {
	Overrun float64 // factor on the declared rate
	Slack   float64 // requests per second in addition
}

// maxSenders is the number of instances that may count for one replica at the same
// time: its owner, and a second one while two instances consider themselves its owner.
const maxSenders = 2

// MaxPerSender returns how many requests one sender may send to a warming replica in
// any second, given the replica's declared rate: at most that rate and at most the
// sender's part of the limit, but at least one, so that no service is blocked entirely.
func (l Limit) MaxPerSender(rate float64) int {
	allowed := rate*l.Overrun + l.Slack
	return max(int(math.Floor(min(rate, allowed/maxSenders))), 1)
}

// windowLength is the length of a Window's sliding window: the limit holds for any second.
const windowLength = time.Second

// Window counts the requests sent to warming replicas in a sliding window. It is not
// safe for concurrent use.
type Window struct {
	sent map[string][]time.Duration // by replica, oldest first
}

// NewWindow returns an empty window.
func NewWindow() *Window { return &Window{sent: make(map[string][]time.Duration)} }

// NextAllowed returns the earliest time, now or later, at which one more request may
// go to a replica that gets at most maxRequests in any second.
func (w *Window) NextAllowed(now time.Duration, replica string, maxRequests int) time.Duration {
	sent := w.recent(now, replica)
	if len(sent) < maxRequests {
		return now
	}
	return sent[len(sent)-maxRequests] + windowLength
}

// Record counts a request sent at now.
func (w *Window) Record(now time.Duration, replica string) {
	w.sent[replica] = append(w.recent(now, replica), now)
	for id := range w.sent { // replicas that have warmed up are no longer looked up
		if len(w.recent(now, id)) == 0 {
			delete(w.sent, id)
		}
	}
}

func (w *Window) recent(now time.Duration, replica string) []time.Duration {
	sent := w.sent[replica]
	for len(sent) > 0 && now-sent[0] >= windowLength {
		sent = sent[1:]
	}
	return sent
}

// Quota returns how many requests an instance may send to a warming replica of a plain
// service in any second, if all instances together may send maxRequests. The first
// instances by rendezvous weight get an equal whole number each, the others none.
func Quota(self string, instances []string, replica string, maxRequests int) int {
	senders := min(maxRequests, len(instances))
	if senders == 0 {
		return 0
	}
	own := rendezvous.Weight(replica, self)
	before := 0
	for _, name := range instances {
		if w := rendezvous.Weight(replica, name); name != self && (w > own || w == own && name < self) {
			before++
		}
	}
	if before >= senders || !slices.Contains(instances, self) {
		return 0
	}
	return maxRequests / senders
}
