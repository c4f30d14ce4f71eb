// Package warmup bounds what cold replicas get. A replica that has just started,
// or has lost what it had at hand, carries a few requests a second until it is
// warm, and collapses well above that. No instance sees all that is sent to it,
// so the bound is parted beforehand:
//
//   - engines and pools get their work through the owner of their cell, which
//     counts with a Window; for a moment there may be two owners;
//   - for a plain service, which every instance sends to by itself, Quota names
//     a few instances by rendezvous hashing that may use a cold replica.
//
// It is pure: counts and time in, decisions out.
package warmup

import (
	"math"
	"slices"
	"time"

	"quinceroad/coordination/rendezvous"
)

// Limit is what a deployment allows a cold replica beside what its service
// states that it carries.
type Limit struct {
	Overrun float64 // times what it carries
	Slack   float64 // requests in a second beside that
}

// deciders is how many may count for one replica at the same moment: its owner,
// and another while two are taken for it.
const deciders = 2

// Most returns how many requests one who counts may send to a cold replica in
// any second, when it carries so many: no more than that, and no more than its
// part of what is allowed; one at least, so that no service is shut out.
func (l Limit) MaxPerSender(carries float64) int {
	allowed := carries*l.Overrun + l.Slack
	return max(int(math.Floor(min(carries, allowed/deciders))), 1)
}

// span is over which a Window counts. The bound holds for any second.
const span = time.Second

// Window counts what was sent to cold replicas. It is not safe for concurrent use.
type Window struct {
	sent map[string][]time.Duration // by replica, oldest first
}

// NewWindow returns an empty window.
func NewWindow() *Window { return &Window{sent: make(map[string][]time.Duration)} }

// Free returns when one more request may go to a replica that gets most in any
// second: now, or later.
func (w *Window) NextAllowed(now time.Duration, replica string, most int) time.Duration {
	sent := w.recent(now, replica)
	if len(sent) < most {
		return now
	}
	return sent[len(sent)-most] + span
}

// Sent counts a request.
func (w *Window) Record(now time.Duration, replica string) {
	w.sent[replica] = append(w.recent(now, replica), now)
	for id := range w.sent { // who is warm by now is not asked for any more
		if len(w.recent(now, id)) == 0 {
			delete(w.sent, id)
		}
	}
}

func (w *Window) recent(now time.Duration, replica string) []time.Duration {
	sent := w.sent[replica]
	for len(sent) > 0 && now-sent[0] >= span {
		sent = sent[1:]
	}
	return sent
}

// Quota returns how many requests an instance may send to a cold replica of a
// plain service in any second, of the most that all may: the first instances by
// rendezvous get an equal whole number each, the others none.
func Quota(self string, instances []string, replica string, most int) int {
	named := min(most, len(instances))
	if named == 0 {
		return 0
	}
	own := rendezvous.Weight(replica, self)
	before := 0
	for _, name := range instances {
		if w := rendezvous.Weight(replica, name); name != self && (w > own || w == own && name < self) {
			before++
		}
	}
	if before >= named || !slices.Contains(instances, self) {
		return 0
	}
	return most / named
}
