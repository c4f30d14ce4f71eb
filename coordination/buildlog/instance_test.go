package buildlog

import (
	"maps"
	"slices"
	"time"
)

// instance is one of the system's processes.
type instance struct {
	w              *world
	log            *Log
	isOlder        bool // of a landing without logs and records
	isFirst        bool // of the system's very first start
	isDead         bool
	cutStore       bool // neither calls nor answers
	cutIn, cutOut  bool // messages of other instances
	isSlow         bool // answers others late
	losesAnswers   bool // the store does what it is told, unanswered
	delaysWrites   bool // the store does it later
	standsUntil    time.Duration
	stoppedClock   time.Duration // by how much the own clock is behind
	started        time.Duration
	answered       time.Duration // beginning of the last read that was answered, by the own clock
	hasList        bool
	isBeyondLimits bool
	synced         time.Duration // when the list was up to date
	oldList        bool          // the store says nothing new of the replicas
	list           map[*replica]bool
	routes         map[Route]string
	seesOlder      bool
	isBlind        bool // its list of live instances lacks all others
	holdsNoEntries bool
	hasRead        bool
	table          map[uint64]record
}

func (in *instance) clock() time.Duration { return in.w.now - in.stoppedClock }

func (in *instance) acts() bool { return !in.isDead && in.w.now >= in.standsUntil }

// reachesStore reports whether a call of the store is answered.
func (in *instance) reachesStore() bool { return !in.cutStore && !in.w.store.isDown && in.acts() }

// asks reports whether another instance's answer comes back in time.
func (in *instance) asks(o *instance) bool {
	in.w.score.peer++
	return in.tells(o) && o.acts() && !o.isSlow && !o.cutOut && !in.cutIn
}

func (in *instance) tells(o *instance) bool { return o != in && !in.cutOut && !o.cutIn && !o.isDead }

// reader returns who reads the store for an instance: itself or a peer.
func (in *instance) reader() *instance {
	if in.reachesStore() {
		return in
	}
	for range 2 {
		if o := in.w.pick(); !o.isOlder && in.asks(o) && o.reachesStore() {
			return o
		}
	}
	return nil
}

// read returns the logs as the store has them now.
func (in *instance) read() (*Snapshot, bool) {
	r := in.reader()
	if r == nil || r.losesAnswers && in.w.chance(2) {
		return nil, false
	}
	in.w.score.reads++
	s := &Snapshot{Entries: maps.Clone(in.w.store.entries), Era: in.w.store.era}
	for name, e := range s.Entries {
		in.w.score.readBytes += sizeOf(&e)
		if in.w.off == eraCheck {
			e.Era = s.Era
			s.Entries[name] = e
		}
	}
	in.answered = in.clock()
	if !in.hasRead {
		in.hasRead, in.holdsNoEntries = true, len(s.Entries) == 0
	}
	return s, true
}

// sizeOf returns about how long an entry is.
func sizeOf(e *Entry) int {
	n := 24 + 10*(len(e.Routes)+len(e.Retiring.Routes))
	for _, b := range slices.Concat(e.Builds, e.Retiring.Builds) {
		n += 2 + len(b)
	}
	return n
}

// mayBeFirst reports whether a log that is absent may be created complete.
func (in *instance) mayBeFirst(s *Snapshot) bool {
	switch in.w.off {
	case incompleteAtFirst:
		return true
	case firstByEvidence:
		return in.holdsNoEntries
	}
	return in.isFirst && in.holdsNoEntries && s.Era == firstEra
}

// write does a compare-and-swap and returns the entry if it was acknowledged.
func (in *instance) write(service string, e Entry) (Entry, bool) {
	r := in.reader()
	if r == nil {
		return Entry{}, false
	}
	in.w.score.writes++
	in.w.score.writtenBytes += sizeOf(&e)
	if r.delaysWrites {
		at := in.w.now + time.Duration(1+in.w.rng.IntN(30))*time.Second
		in.w.store.late = append(in.w.store.late, lateWrite{at, service, e})
		return Entry{}, false
	}
	out, ok := in.w.store.write(service, &e)
	if !ok {
		in.w.score.refusedWrites++
	}
	return out, ok && !(r.losesAnswers && in.w.chance(2))
}

// observe takes in an answer of the store.
func (in *instance) observe(s *Snapshot) {
	before, seen, absent, era := maps.Clone(in.log.confirmed), maps.Clone(in.log.seen), maps.Clone(in.log.absent), in.log.known.Era
	in.log.Observe(s)
	if in.w.off == newestEntryCounts && era == s.Era {
		maps.Copy(in.log.confirmed, before)
	}
	if in.w.off == oneWatch {
		in.log.seen, in.log.absent = seen, absent
	}
	for _, service := range []string{llm, other} {
		if in.log.HasSeveral(service) {
			in.persistAll(service)
		}
	}
}

// sync takes in the list of replicas, the configuration and which instances live.
func (in *instance) sync() {
	if !in.reachesStore() || in.oldList {
		return
	}
	in.hasList, in.synced = true, in.w.now
	in.list, in.routes = make(map[*replica]bool), maps.Clone(in.w.routes)
	for _, r := range in.w.replicas {
		if r.inList() {
			in.list[r] = true
		}
	}
	in.seesOlder = !in.isBlind && slices.ContainsFunc(in.w.instances, func(o *instance) bool { return o.isOlder })
	before := maps.Clone(in.log.confirmed)
	for _, service := range []string{llm, other} {
		in.log.Want(service, in.wanted(service))
	}
	if in.w.off == newestEntryCounts || in.w.off == confirmAnew {
		in.log.confirmed = before
	}
}

func (in *instance) wanted(service string) Wanted {
	var out Wanted
	for r := range in.list {
		if r.service == service && !slices.Contains(out.Builds, r.build) {
			out.Builds = append(out.Builds, r.build)
		}
	}
	for route, s := range in.routes {
		if s == service {
			out.Routes = append(out.Routes, route)
		}
	}
	slices.Sort(out.Builds)
	slices.Sort(out.Routes)
	return out
}

// ensure reads the logs, and adds what is wanted of services.
func (in *instance) ensure(services ...string) {
	s, ok := in.read()
	if !ok {
		in.askConfirmed()
		return
	}
	in.observe(s)
	for _, service := range services {
		in.add(s, service)
	}
}

// askConfirmed takes in what peers know that can't read the store either.
func (in *instance) askConfirmed() {
	for range 2 {
		if o := in.w.pick(); !o.isOlder && in.asks(o) {
			in.log.ObserveConfirmed(o.log.Confirmed())
		}
	}
}

// add adds to the log of a service what an answer lacks.
func (in *instance) add(s *Snapshot, service string) {
	e, missing := s.Missing(service, in.wanted(service), in.mayBeFirst(s))
	if !missing {
		return
	}
	if done, ok := in.write(service, e); ok {
		in.observe(&Snapshot{Entries: map[string]Entry{service: done}, Era: e.Era})
	}
}

// duty is what an instance does each minute.
func (in *instance) duty(settles bool) {
	if !in.acts() || in.isOlder {
		return
	}
	gap := in.clock() - in.answered
	in.sync()
	in.ensure(llm, other)
	isInTouch := in.hasList && !in.seesOlder && in.reachesStore() && !in.oldList && gap <= maxSettleGap
	if settles && (isInTouch || in.w.off == oneWatch) {
		in.settle()
	}
}

func (in *instance) settle() {
	now := in.clock()
	if in.w.off == oneWatch {
		in.log.settledAt = now
	}
	out := in.log.Settle(now, in.wanted)
	if in.w.off == twoSteps {
		out = in.dropAtOnce(now)
	}
	for _, service := range slices.Sorted(maps.Keys(out)) {
		in.w.score.settleOps++
		in.write(service, out[service])
	}
}

// dropAtOnce is Settle without marks.
func (in *instance) dropAtOnce(now time.Duration) map[string]Entry {
	out := make(map[string]Entry)
	for service, e := range in.log.known.Entries {
		if e.Era != in.log.known.Era {
			continue
		}
		reduced := e
		reduced.Builds = slices.DeleteFunc(slices.Clone(e.Builds), func(b string) bool {
			return in.isAbsent(now, item{service: service, build: b})
		})
		reduced.Routes = slices.DeleteFunc(slices.Clone(e.Routes), func(r Route) bool {
			return in.isAbsent(now, item{service: service, route: r})
		})
		if now-in.log.seen[service].at >= SettleTime {
			reduced.Incomplete = false
		}
		if len(reduced.Builds) < len(e.Builds) || len(reduced.Routes) < len(e.Routes) || reduced.Incomplete != e.Incomplete {
			out[service] = reduced
		}
	}
	return out
}

func (in *instance) isAbsent(now time.Duration, i item) bool {
	since, ok := in.log.absent[absence{item: i}]
	return ok && now-since >= SettleTime
}
