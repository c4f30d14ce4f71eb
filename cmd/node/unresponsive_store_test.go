package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"quinceroad/coordination/history"
	"quinceroad/coordination/rollout"
	"quinceroad/platform"
)

// The lowest limits of all deployments, and the resulting maximum time from the end of a
// disturbance until the changes that were acknowledged since are in force.
const (
	// Time after a disturbance until an instance must meet its time limits again: settings
	// of kld-windhoek and mfma-route.
	recoveryTime = 3 * time.Second
	// Time until a configuration is in force: the same settings.
	configApplyTime = 2 * time.Second
	// Both begin with the disturbance if the change is made then, and do not add up.
	inForceWithin = max(recoveryTime, configApplyTime)
)

// pointAt returns a point in the history of a store that states no era.
func pointAt(revision uint64) history.Point { return history.Point{Revision: revision} }

var errNoAnswer = errors.New("the store did not answer")

// fakeStore is a store that can become unresponsive: it never answers calls that it
// receives meanwhile. It holds a configuration and no replicas, and runs on the test's
// fake clock.
type fakeStore struct {
	noStreams
	mu           sync.Mutex
	version      uint64
	unresponsive bool
	stalled      bool          // connections of pending calls hang; new calls are answered
	changed      chan struct{} // closed with every change
}

func newFakeStore() *fakeStore { return &fakeStore{version: 1, changed: make(chan struct{})} }

func (s *fakeStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setUnresponsive(unresponsive bool) {
	s.update(func() { s.unresponsive = unresponsive })
}
func (s *fakeStore) write(version uint64) { s.update(func() { s.version = version }) }

// stallPendingCalls makes the connections of all pending calls hang.
func (s *fakeStore) stallPendingCalls() {
	s.update(func() { s.stalled = true })
	synctest.Wait()
	s.update(func() { s.stalled = false })
}

func (s *fakeStore) state() (version uint64, unresponsive, stalled bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.unresponsive, s.stalled, s.changed
}

func configText(version uint64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)
}

func (s *fakeStore) Probe(timeout time.Duration) error {
	if _, unresponsive, _, _ := s.state(); unresponsive {
		time.Sleep(timeout)
		return errNoAnswer
	}
	return nil
}

func (s *fakeStore) Era() uint64 { return 0 }

func (s *fakeStore) Intent() (platform.Intent, error) {
	if err := s.Probe(platform.CallTimeout); err != nil {
		return platform.Intent{}, err
	}
	version, _, _, _ := s.state()
	return platform.Intent{Configuration: configText(version), At: pointAt(version)}, nil
}

// Watch returns the next change, or nothing at the end of the wait, unless the store has
// missed the call.
func (s *fakeStore) Watch(t platform.Topic, known history.Point, wait time.Duration) ([]platform.Entry, history.Point, error) {
	after := known.Revision
	end := time.NewTimer(wait)
	timeout := time.NewTimer(max(wait+platform.WatchGrace, platform.CallTimeout))
	version, unresponsive, _, changed := s.state()
	received, stalled := !unresponsive, false
	for {
		if received && !unresponsive && t == platform.TopicIntent && version > after {
			return []platform.Entry{platform.ConfigurationEntry(configText(version), version)}, pointAt(version), nil
		}
		select {
		case <-changed:
		case <-end.C:
			if received && !unresponsive {
				return nil, pointAt(max(after, version)), nil
			}
		case <-timeout.C:
			return nil, pointAt(0), errNoAnswer
		}
		version, unresponsive, stalled, changed = s.state()
		received = received && !stalled
	}
}

func (s *fakeStore) Replicas() (map[string][]byte, history.Point, error) {
	return nil, pointAt(1), s.Probe(platform.CallTimeout)
}
func (s *fakeStore) Instances() (map[string][]byte, error) {
	return nil, s.Probe(platform.CallTimeout)
}
func (s *fakeStore) GrantLease(time.Duration) (uint64, error) {
	return 1, s.Probe(platform.CallTimeout)
}
func (s *fakeStore) RenewLease(uint64) error { return s.Probe(platform.CallTimeout) }
func (s *fakeStore) RolloutStatus(rollout.Order) (rollout.Status, error) {
	return rollout.Status{Known: true}, s.Probe(platform.CallTimeout)
}
func (s *fakeStore) WriteRolloutStatus(rollout.OrderState, rollout.Status, rollout.State) error {
	return s.Probe(platform.CallTimeout)
}
func (s *fakeStore) Register(string, []byte, uint64) error {
	return s.Probe(platform.CallTimeout)
}

// withFollower runs f with a node that follows a fake store, under a fake clock.
func withFollower(t *testing.T, f func(t *testing.T, n *Node, s *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := &platform.Settings{
			Name: "n", Hall: "h", StoreAddress: "127.0.0.1:1", RecoveryTime: recoveryTime, ConfigApplyTime: configApplyTime, DrainTime: configApplyTime, HallDrainTime: configApplyTime,
		}
		n := New(settings, hclog.NewNullLogger())
		s := newFakeStore()
		n.store = s
		ctx, cancel := context.WithCancel(context.Background())
		n.isReader.Store(true)
		var loops sync.WaitGroup
		for _, loop := range []func(context.Context){n.followIntent, n.followReplicas, n.monitorStore} {
			loops.Go(func() { loop(ctx) })
		}
		defer func() {
			cancel()
			loops.Wait()
			time.Sleep(time.Minute) // abandoned calls end
		}()
		synctest.Wait()
		f(t, n, s)
	})
}

// expectVersion waits, and fails the test unless the version is in force afterwards.
func expectVersion(t *testing.T, n *Node, version uint64, after time.Duration, description string) {
	t.Helper()
	time.Sleep(after)
	synctest.Wait()
	if got := n.configVersion(); got != version {
		t.Errorf("%s: version %d in force, not %d", description, got, version)
	}
}

// All watches ended while the store was unresponsive, and the store missed the calls
// that followed. The change after the outage must be in force in time all the same.
func TestChangeAfterStoreOutageAppliesInTime(t *testing.T) {
	for outage := 500 * time.Millisecond; outage < 12*time.Second; outage += 500 * time.Millisecond {
		withFollower(t, func(t *testing.T, n *Node, s *fakeStore) {
			s.write(2)
			time.Sleep(300 * time.Millisecond)
			s.setUnresponsive(true)
			time.Sleep(outage)
			s.setUnresponsive(false)
			s.write(3)
			expectVersion(t, n, 3, storeProbeInterval+storeProbeTimeout, outage.String()) // after a probe is answered
		})
	}
}

// Four instances became readers 0.2 to 0.4 s before an unresponsive store recovered.
// They had not detected that it was unresponsive, and waited 8.7 s for answers to the
// calls that the store had missed.
func TestNewReaderDuringStoreOutageAppliesInTime(t *testing.T) {
	for phase := time.Duration(0); phase < storeProbeInterval; phase += 100 * time.Millisecond {
		withFollower(t, func(t *testing.T, n *Node, s *fakeStore) {
			n.isReader.Store(false)
			time.Sleep(10*time.Second + phase) // its calls as a reader have ended
			s.setUnresponsive(true)
			n.isReader.Store(true)
			time.Sleep(300 * time.Millisecond)
			s.setUnresponsive(false)
			s.write(2)
			expectVersion(t, n, 2, platform.CallTimeout+maxStoreRetryDelay, phase.String()) // its call times out, and it pauses
		})
	}
}

// A connection may hang for good while the store answers on others. The changes that a
// watch misses because of that must be in force in time.
func TestChangeAppliesInTimeAfterWatchStalls(t *testing.T) {
	for waited := 500 * time.Millisecond; waited < 8*time.Second; waited += 500 * time.Millisecond {
		withFollower(t, func(t *testing.T, n *Node, s *fakeStore) {
			time.Sleep(waited)
			s.stallPendingCalls()
			s.write(2)
			expectVersion(t, n, 2, inForceWithin, waited.String())
		})
	}
}

func TestWatchTimeFollowsSettings(t *testing.T) {
	is := is.New(t)
	wait := func(recovery, apply, drain, hallDrain time.Duration) time.Duration {
		return watchTimeFor(&platform.Settings{RecoveryTime: recovery, ConfigApplyTime: apply, DrainTime: drain, HallDrainTime: hallDrain})
	}
	// What it missed is in force within the longer of the two spans, whatever began first.
	for recovery := 2 * time.Second; recovery < 9*time.Second; recovery += 500 * time.Millisecond {
		for apply := time.Second; apply < 9*time.Second; apply += 500 * time.Millisecond {
			is.True(wait(recovery, apply, apply, apply)+platform.WatchGrace+changePropagationTime <= max(recovery, apply))
		}
	}
	is.Equal(wait(3*time.Second, 2*time.Second, 2*time.Second, 5*time.Second), 1300*time.Millisecond)
	// The shortest span of a configuration, of a replica's drain and of a hall's counts.
	is.Equal(wait(3*time.Second, 6*time.Second, 5*time.Second, 9*time.Second), 3300*time.Millisecond)
	is.Equal(wait(3*time.Second, 6*time.Second, 5*time.Second, 4*time.Second), 2300*time.Millisecond)
	is.Equal(wait(time.Minute, time.Second, time.Second, time.Second), maxWatchTime)
	is.Equal(wait(0, 0, 0, 0), minWatchTime)
}

// Another instance replaces a reader that can't reach the store only once the reader
// announces that, and the reader becomes eligible again only once it announces that it can.
func TestReaderAnnouncesStoreReachability(t *testing.T) {
	withFollower(t, func(t *testing.T, n *Node, s *fakeStore) {
		is := is.New(t)
		unreachable := func() bool {
			synctest.Wait()
			return n.storeUnreachable()
		}
		is.True(!unreachable())
		s.setUnresponsive(true)
		time.Sleep(storeProbeInterval + storeProbeTimeout + readerCheckInterval)
		is.True(unreachable())
		n.isReader.Store(false) // another instance is the reader now
		time.Sleep(time.Minute)
		is.True(unreachable())
		s.setUnresponsive(false)
		time.Sleep(storeProbeInterval + readerCheckInterval)
		is.True(!unreachable())
	})
}
