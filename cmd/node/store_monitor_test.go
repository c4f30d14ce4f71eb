package node

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A watch that the store had missed during an outage must end when the store recovers. It
// lasted 8.7 s in total, longer than the time in which a configuration must be in force.
func TestLostStoreCallIsAbandonedOnRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // a call that blocks forever fails the test at once
		is := is.New(t)
		m := newStoreMonitor()
		hang := make(chan struct{})
		defer close(hang)
		f := &topicFollower{storeRecovery: m.recovery}
		started := make(chan struct{})
		ended := make(chan error)
		go func() {
			ended <- f.applyCall(func() (func(), error) {
				close(started)
				<-hang
				return nil, nil
			})
		}()
		<-started
		m.record(true) // responsive as before
		synctest.Wait()
		select {
		case err := <-ended:
			t.Fatalf("abandoned although the store was responsive: %v", err)
		default:
		}
		m.record(false)
		m.record(true)
		is.Equal(<-ended, errCallAbandoned)
	})
}

func TestStoreAnswerIsApplied(t *testing.T) {
	is := is.New(t)
	applied := false
	f := &topicFollower{storeRecovery: newStoreMonitor().recovery}
	is.NoErr(f.applyCall(func() (func(), error) { return func() { applied = true }, nil }))
	is.True(applied)
}

// An unresponsive store and its recovery are logged once each, not with every probe.
func TestStoreMonitorReportsOnlyChanges(t *testing.T) {
	is := is.New(t)
	m := newStoreMonitor()
	var changes []bool
	for _, answered := range []bool{true, false, false, true, true} {
		changes = append(changes, m.record(answered))
	}
	is.Equal(changes, []bool{false, true, false, true, false})
}
