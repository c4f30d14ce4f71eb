package advisory

import (
	"math/rand/v2"
	"time"
)

// Brittle is what a replica states of itself when it is brittle: it falls over when it has to
// refuse more requests than it tolerates in a second, from all senders together.
type Brittle struct {
	Stated    bool
	Tolerated float64 // refusals per second; 0 or more
}

// BrittleOptions are the settings for brittle replicas.
type BrittleOptions struct {
	// RefusalShare is the fraction of the tolerated refusals that all senders together use.
	RefusalShare float64
	// MaxPause is the longest time for which a replica gets nothing after refusals.
	MaxPause time.Duration
	// InitialHoldTime is the time for which a request is assumed to hold a slot before any
	// has ended.
	InitialHoldTime time.Duration
	// Random returns a number in [0, 1). It keeps instances that don't know of each other
	// from sending at the same time.
	Random func() float64
}

// DefaultBrittleOptions returns the options used in production.
func DefaultBrittleOptions() BrittleOptions {
	return BrittleOptions{RefusalShare: 0.5, MaxPause: 10 * time.Second, InitialHoldTime: 100 * time.Millisecond, Random: rand.Float64}
}

// brittleService is a service whose replicas state that they are brittle. It holds for all of
// them, also for one that has just started and has stated nothing yet.
type brittleService struct {
	opts      *BrittleOptions
	tolerated float64
	senders   int // instances that send to the service's replicas
	slots     int // requests that one of its replicas runs at a time; 0: unknown
	hasEnded  bool

	holdTime time.Duration // mean time for which a request holds a slot; 0: none has ended yet
	pace     safePace
	hasBegun bool // a window has been opened
}

// share returns how many of a replica's slots are this instance's part. A request for which a
// slot is free is not refused, however few may wait.
func (s *brittleService) share() int { return max(1, s.slots/max(s.senders, 1)) }

// isOversubscribed reports whether more instances send than a replica has slots, so that one
// request of each is too many.
func (s *brittleService) isOversubscribed() bool { return s.slots > 0 && s.senders > s.slots }

// safeInterval returns the time between two requests of this instance to the same replica if
// all instances together are to be refused few enough.
func (s *brittleService) safeInterval() time.Duration {
	return s.pace.intervalFor(s.senders, s.slots, s.tolerated, s.expectedHold())
}

// expectedHold returns the time for which a request is expected to hold a slot.
func (s *brittleService) expectedHold() time.Duration {
	if s.holdTime == 0 {
		return s.opts.InitialHoldTime
	}
	return s.holdTime
}

// intervalAt returns the time between two requests of this instance at which all instances
// together send the given number per second.
func (s *brittleService) intervalAt(perSecond float64) time.Duration {
	return boundedInterval(float64(max(s.senders, 1)) / perSecond)
}

// recordHold records for how long a request has held a slot.
func (s *brittleService) recordHold(held time.Duration) {
	if s.holdTime == 0 {
		s.holdTime = held
		return
	}
	s.holdTime += time.Duration(holdTimeWeight * float64(held-s.holdTime))
}

// holdTimeWeight is the weight of the latest request in the mean hold time.
const holdTimeWeight = 0.1

// brittleWindow bounds the concurrent requests of this instance to a brittle replica to its
// part of the replica's slots. If these are not known, it begins with one and is found by
// answers. Each refusal uses up this instance's part of what the replica tolerates: once that is spent, the
// replica gets nothing for a while, and a window that may be too wide is only tried when
// there is some left. With more instances than slots the window also bounds the rate.
type brittleWindow struct {
	*brittleService
	size     int // concurrent requests
	inFlight int
	ceiling  int // window from which on a refusal must be affordable

	budget    float64       // refusals that may still happen now; negative after too many
	updatedAt time.Duration // when budget was updated

	nextSend     time.Duration // no request before this time
	besideLeases bool          // other instances may use all slots, with leases
}

// resize sets the number of slots that the window has for itself. What refusals have taken
// off stays off.
func (w *brittleWindow) resize(slots int) {
	w.size = min(max(w.size+slots-w.slots, 1), slots)
	w.slots = slots
}

// rate returns the refusals per second that are this instance's part.
func (w *brittleWindow) rate() float64 {
	return w.tolerated * w.opts.RefusalShare / float64(max(w.senders, 1))
}

// update adds what has become available since the last update to the budget.
func (w *brittleWindow) update(now time.Duration) {
	rate := w.rate()
	w.budget = min(w.budget+rate*(now-w.updatedAt).Seconds(), max(1, rate))
	w.updatedAt = now
}

// pausedUntil returns until when the replica gets nothing.
func (w *brittleWindow) pausedUntil() time.Duration {
	if w.budget >= 0 {
		return 0
	}
	pause := w.opts.MaxPause
	if rate := w.rate(); rate > 0 {
		pause = time.Duration(min(-w.budget/rate, w.opts.MaxPause.Seconds()) * float64(time.Second))
	}
	return w.updatedAt + pause
}

// BrittleReport is what an answer of a replica of a service says.
type BrittleReport struct {
	Service string
	Brittle Brittle
	Slots   int // of the replica; 0: not stated
	Senders int // instances that may send to the service
}

// RecordBrittle records whether the replicas of a service state that they are brittle, and
// reports whether that has changed.
func (t *Tracker) RecordBrittle(r BrittleReport) bool {
	s := t.brittle[r.Service]
	if !r.Brittle.Stated {
		if s != nil {
			s.hasEnded = true
			delete(t.brittle, r.Service)
		}
		return s != nil
	}
	isNew := s == nil
	if isNew {
		s = &brittleService{opts: &t.opts.Brittle}
		t.brittle[r.Service] = s
	}
	s.tolerated, s.senders, s.slots = r.Brittle.Tolerated, r.Senders, max(s.slots, r.Slots)
	return isNew
}

// IsBrittle reports whether the replicas of a service state that they are brittle.
func (t *Tracker) IsBrittle(service string) bool { return t.brittle[service] != nil }

// SlotAsk returns the request for a slot lease of a replica, or false if its service is not
// brittle.
func (t *Tracker) SlotAsk(service, incarnation string) (SlotAsk, bool) {
	s := t.brittle[service]
	if s == nil {
		return SlotAsk{}, false
	}
	return SlotAsk{Incarnation: incarnation, Tolerated: s.tolerated, Slots: s.slots}, true
}

// RecordHold records for how long a request that has ended held its slot.
func (t *Tracker) RecordHold(now time.Duration, a Attempt) {
	if a.window != nil {
		a.window.recordHold(now - a.startedAt)
	}
}

func newBrittleWindow(now time.Duration, s *brittleService) *brittleWindow {
	return &brittleWindow{brittleService: s, size: s.share(), ceiling: s.share() + 1, updatedAt: now}
}

// windowFor returns the window of an incarnation, which is new if there was none; nil if its
// service is not brittle. The first window after the statement may be used at once: this
// instance has just had an answer, which made room.
func (t *Tracker) windowFor(now time.Duration, incarnation, service string) *brittleWindow {
	s := t.brittle[service]
	if s == nil {
		return nil
	}
	r := t.entry(now, incarnation)
	if w := r.window(); w != nil {
		w.besideLeases = r.grantor.isKnown
		return w
	}
	r.brittle = newBrittleWindow(now, s)
	r.brittle.besideLeases = r.grantor.isKnown
	if s.hasBegun || r.brittle.besideLeases {
		r.brittle.nextSend = now + time.Duration(s.opts.Random()*float64(r.brittle.interval()))
	}
	s.hasBegun = true
	return r.brittle
}

// window returns the entry's window while its service is brittle.
func (r *entry) window() *brittleWindow {
	if r.brittle != nil && r.brittle.hasEnded {
		r.brittle = nil
	}
	return r.brittle
}

// admits reports whether one more request may be sent, and if not, from when on; now if it
// may once another request has ended.
func (w *brittleWindow) admits(now time.Duration) (ok bool, from time.Duration) {
	switch until := w.pausedUntil(); {
	case now < until:
		return false, until
	case now < w.nextSend:
		return false, w.nextSend
	case w.inFlight >= w.size:
		return false, now
	}
	return true, now
}

// interval returns the mean time between two requests; 0: as often as answers allow. Where
// others may use all slots, each request is one that may be refused.
func (w *brittleWindow) interval() time.Duration {
	switch {
	case w.besideLeases:
		return w.intervalAt(affordableRefusals(w.tolerated))
	case w.isOversubscribed():
		return w.safeInterval()
	}
	return 0
}

// begin counts a request that is sent now.
func (w *brittleWindow) begin(now time.Duration) {
	w.inFlight++
	jitter := 0.5 + w.opts.Random()
	w.nextSend = now + time.Duration(jitter*float64(w.interval()))
}

// recordAnswer widens the window after an answer that made full use of it: up to this
// instance's part of the slots, or step by step if the slots are not known.
func (w *brittleWindow) recordAnswer(now time.Duration) {
	if w.inFlight < w.size || w.slots > 0 && w.size >= w.share() {
		return
	}
	w.update(now)
	if w.size+1 >= w.ceiling {
		if w.budget < 1 {
			return
		}
		w.ceiling = w.size + 2 // the next step is tried when there is a budget for it again
		w.budget--
	}
	w.size++
}

// recordRefusal narrows the window and uses up the budget.
func (w *brittleWindow) recordRefusal(now time.Duration) {
	w.update(now)
	w.budget = max(w.budget, -w.rate()*w.opts.MaxPause.Seconds()) - 1
	w.ceiling = max(w.size, 2)
	w.size = max(1, w.size/2)
}

// RecordRefusal records that the replica refused a request for want of room.
func (t *Tracker) RecordRefusal(now time.Duration, a Attempt) {
	if a.window != nil {
		a.window.recordRefusal(now)
	}
}
