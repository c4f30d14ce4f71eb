package node

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A reader's watch that the store had missed in an outage lasted 8.7 s in total, longer
// than the time in which a configuration must be in force.
func TestLostStoreCallIsAbandonedOnRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // a call that blocks forever fails the test at once
		is := is.New(t)
		p := newStoreMonitor()
		hang := make(chan struct{})
		defer close(hang)
		f := &topicFollower{storeRecovery: p.recovery}
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
		p.record(true) // responsive as before
		synctest.Wait()
		select {
		case err := <-ended:
			t.Fatalf("abandoned although the store was responsive: %v", err)
		default:
		}
		p.record(false)
		p.record(true)
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
	p := newStoreMonitor()
	var changes []bool
	for _, answered := range []bool{true, false, false, true, true} {
		changes = append(changes, p.record(answered))
	}
	is.Equal(changes, []bool{false, true, false, true, false})
}
