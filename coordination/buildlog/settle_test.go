package buildlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// settler drives a log as the instance's ticker does, with a store of its own.
type settler struct {
	log    *Log
	now    time.Duration
	stored *Snapshot
	writes int
}

func newSettler(s *Snapshot) *settler { return &settler{log: New(), now: time.Minute, stored: s} }

func (s *settler) run(d time.Duration, w Wanted) {
	for end := s.now + d; s.now < end; s.now += time.Minute {
		s.log.Observe(s.stored)
		s.log.Want(service, w)
		for name, e := range s.log.Settle(s.now, always(w)) {
			s.writes++
			e.Revision += uint64(s.writes)
			s.stored = &Snapshot{Entries: map[string]Entry{name: e}, Era: s.stored.Era}
		}
	}
}

func TestSettleDropsWhatHasLeft(t *testing.T) {
	is := is.New(t)
	s := newSettler(snapshot(1, entry(1, 5, "v1", "v2")))
	s.run(RetireTime, want("v2"))
	is.Equal(s.writes, 0)
	s.run(time.Minute, want("v2"))
	is.Equal(s.stored.Entries[service].Retiring.Builds, []string{"v1"})
	s.run(SettleTime, want("v2"))
	is.Equal(s.writes, 1)
	s.run(2*time.Minute, want("v2"))
	is.Equal(s.stored.Entries[service].Builds, []string{"v2"})
	is.Equal(s.writes, 2)
	build, ok := s.stored.Sole(service, route)
	is.True(ok)
	is.Equal(build, "v2")
	s.run(2*SettleTime, Wanted{})
	s.run(5*time.Minute, Wanted{})
	is.Equal(len(s.stored.Entries[service].Builds), 0) // and no build is known then
	_, ok = s.stored.Sole(service, route)
	is.True(!ok)
}

func TestSettleCompletes(t *testing.T) {
	is := is.New(t)
	e := entry(1, 5, "v1")
	e.Incomplete = true
	s := newSettler(snapshot(1, e))
	s.run(SettleTime, want("v1"))
	is.True(s.stored.Entries[service].Incomplete)
	e.Revision++ // changed by another instance
	s.stored = snapshot(1, e)
	s.run(SettleTime, want("v1"))
	is.True(s.stored.Entries[service].Incomplete)
	s.run(2*time.Minute, want("v1"))
	is.True(!s.stored.Entries[service].Incomplete)
}

func TestSettleStartsAnew(t *testing.T) {
	incomplete := entry(1, 5, "v1", "v2")
	incomplete.Incomplete = true
	incomplete.Retiring.Builds = []string{"v1"}
	tests := []struct {
		name string
		gap  func(s *settler)
	}{
		{"after a stand-still", func(s *settler) { s.now += 2 * SettleTime }},
		{"in a new era with the same revisions", func(s *settler) {
			e := incomplete
			e.Era = 2
			s.stored = snapshot(2, e)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSettler(snapshot(1, incomplete))
			s.run(SettleTime-time.Minute, want("v2"))
			tt.gap(s)
			s.run(SettleTime-time.Minute, want("v2"))
			is.Equal(s.writes, 0)
			s.run(5*time.Minute, want("v2"))
			is.Equal(s.stored.Entries[service].Builds, []string{"v2"})
			is.True(!s.stored.Entries[service].Incomplete)
		})
	}
}

func TestSettleSeesWhatWasWantedBetweenItsCalls(t *testing.T) {
	is := is.New(t)
	s := newSettler(snapshot(1, entry(1, 5, "v1", "v2")))
	s.run(RetireTime, want("v2"))
	both := want("v1", "v2")
	s.log.Want(service, both)
	s.run(RetireTime, want("v2"))
	is.Equal(s.writes, 0)
}

func TestSettleLeavesEarlierErasAlone(t *testing.T) {
	is := is.New(t)
	s := newSettler(snapshot(2, entry(1, 5, "v1", "v2")))
	s.run(3*SettleTime, want("v1"))
	is.Equal(s.writes, 0)
}

func TestNothingGrows(t *testing.T) {
	is := is.New(t)
	l, now := New(), time.Duration(0)
	for i := range uint64(1000) {
		build := fmt.Sprint("v", i)
		w := want(build)
		l.Want(service, w)
		l.Observe(snapshot(1, entry(1, i+1, build)))
		now += time.Minute
		l.Settle(now, always(want()))
	}
	is.True(len(l.absent) <= 2)
	is.True(len(l.confirmed) <= 2)
	is.Equal(len(l.wanted), 1)
	is.Equal([]int{len(l.seen), len(l.several), len(l.known.Entries)}, []int{1, 1, 1})
}
