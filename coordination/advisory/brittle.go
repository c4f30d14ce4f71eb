package advisory

import "time"

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
}

// DefaultBrittleOptions returns the options used in production.
func DefaultBrittleOptions() BrittleOptions {
	return BrittleOptions{RefusalShare: 0.5, MaxPause: 10 * time.Second}
}

// brittleService is a service whose replicas state that they are brittle. It holds for all of
// them, also for one that has just started and has stated nothing yet.
type brittleService struct {
	opts      *BrittleOptions
	tolerated float64
	senders   int // instances that send to the service's replicas
	slots     int // requests that one of its replicas runs at a time; 0: unknown
	hasEnded  bool
}

// share returns how many of a replica's slots are this instance's part. A request for which a
// slot is free is not refused, however few may wait.
func (s *brittleService) share() int { return max(1, s.slots/max(s.senders, 1)) }

// brittleWindow bounds the concurrent requests of this instance to a brittle replica to its
// part of the replica's slots. If these are not known, it begins with one and is found by
// answers. Each refusal uses up this instance's part of what the replica tolerates: once that is spent, the
// replica gets nothing for a while, and a window that may be too wide is only tried when
// there is some left.
type brittleWindow struct {
	*brittleService
	size     int // concurrent requests
	inFlight int
	ceiling  int // window from which on a refusal must be affordable

	budget    float64       // refusals that may still happen now; negative after too many
	updatedAt time.Duration // when budget was updated
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

// windowFor returns the window of an incarnation, which is new if there was none; nil if its
// service is not brittle.
func (t *Tracker) windowFor(now time.Duration, incarnation, service string) *brittleWindow {
	s := t.brittle[service]
	if s == nil {
		return nil
	}
	r := t.entry(now, incarnation)
	if w := r.window(); w != nil {
		return w
	}
	r.brittle = &brittleWindow{brittleService: s, size: s.share(), ceiling: s.share() + 1, updatedAt: now}
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
	case w.inFlight >= w.size:
		return false, now
	}
	return true, now
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
