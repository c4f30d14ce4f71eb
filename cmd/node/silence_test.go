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

	"quinceroad/coordination/rollout"
	"quinceroad/platform"
)

// The least that deployments have stated, and so the time from the end of a
// disturbance until what was acknowledged since must be in force.
const (
	contactFor    = 3 * time.Second // until an instance is held to bounds again: kld-windhoek's and mfma-route's settings
	applyFor      = 2 * time.Second // until a configuration is in force: the same settings
	inForceWithin = contactFor + applyFor
)

var errNoAnswer = errors.New("time-out")

// fakeStore is a store that falls silent: it never answers what it is asked
// meanwhile. It holds a configuration and no replicas; time is the test's.
type fakeStore struct {
	mu      sync.Mutex
	version uint64
	silent  bool
	cut     bool          // what waits now has lost its connection; new calls are answered
	changed chan struct{} // closed with every change
}

func newFakeStore() *fakeStore { return &fakeStore{version: 1, changed: make(chan struct{})} }

func (s *fakeStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setSilent(silent bool) { s.update(func() { s.silent = silent }) }
func (s *fakeStore) write(version uint64)  { s.update(func() { s.version = version }) }

// cutWaiting silences the connections of all calls that wait.
func (s *fakeStore) cutWaiting() {
	s.update(func() { s.cut = true })
	synctest.Wait()
	s.update(func() { s.cut = false })
}

func (s *fakeStore) look() (version uint64, silent, cut bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.silent, s.cut, s.changed
}

func text(version uint64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}`, version)
}

func (s *fakeStore) Answers(within time.Duration) error {
	if _, silent, _, _ := s.look(); silent {
		time.Sleep(within)
		return errNoAnswer
	}
	return nil
}

func (s *fakeStore) Intent() (platform.Intent, error) {
	if err := s.Answers(platform.CallTimeout); err != nil {
		return platform.Intent{}, err
	}
	version, _, _, _ := s.look()
	return platform.Intent{Configuration: text(version), At: version}, nil
}

// Watch is answered, when the store knows of it, with the next change or at the
// end of the wait.
func (s *fakeStore) Watch(t platform.Topic, after uint64, wait time.Duration) ([]platform.Item, uint64, error) {
	end := time.NewTimer(wait)
	lost := time.NewTimer(max(wait+platform.WatchGrace, platform.CallTimeout))
	version, silent, _, changed := s.look()
	known, cut := !silent, false
	for {
		if known && !silent && t == platform.TopicIntent && version > after {
			return []platform.Item{platform.ConfigurationItem(text(version), version)}, version, nil
		}
		select {
		case <-changed:
		case <-end.C:
			if known && !silent {
				return nil, max(after, version), nil
			}
		case <-lost.C:
			return nil, 0, errNoAnswer
		}
		version, silent, cut, changed = s.look()
		known = known && !cut
	}
}

func (s *fakeStore) Replicas() (map[string][]byte, uint64, error) {
	return nil, 1, s.Answers(platform.CallTimeout)
}
func (s *fakeStore) Instances() (map[string][]byte, error) {
	return nil, s.Answers(platform.CallTimeout)
}
func (s *fakeStore) Lease(time.Duration) (uint64, error) { return 1, s.Answers(platform.CallTimeout) }
func (s *fakeStore) Keep(uint64) error                   { return s.Answers(platform.CallTimeout) }
func (s *fakeStore) RolloutStatus(rollout.Order) (rollout.Status, error) {
	return rollout.Status{Known: true}, s.Answers(platform.CallTimeout)
}
func (s *fakeStore) WriteRollout(rollout.OrderState, rollout.Status, rollout.State) error {
	return s.Answers(platform.CallTimeout)
}
func (s *fakeStore) Register(string, []byte, uint64) error {
	return s.Answers(platform.CallTimeout)
}

// follower runs f beside a node that follows a fake store, in the test's time.
func follower(t *testing.T, f func(t *testing.T, n *Node, s *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := &platform.Settings{
			Name: "n", Hall: "h", Store: "127.0.0.1:1", ContactFor: contactFor, ApplyFor: applyFor, DrainFor: applyFor,
		}
		n := New(settings, hclog.NewNullLogger())
		s := newFakeStore()
		n.store = s
		ctx, cancel := context.WithCancel(context.Background())
		n.isReader.Store(true)
		var loops sync.WaitGroup
		for _, loop := range []func(context.Context){n.followIntent, n.followReplicas, n.feelPulse} {
			loops.Go(func() { loop(ctx) })
		}
		defer func() {
			cancel()
			loops.Wait()
			time.Sleep(time.Minute) // calls that were given up end
		}()
		synctest.Wait()
		f(t, n, s)
	})
}

// inForce waits and fails the test unless the version is in force then.
func inForce(t *testing.T, n *Node, version uint64, after time.Duration, what string) {
	t.Helper()
	time.Sleep(after)
	synctest.Wait()
	if got := n.version(); got != version {
		t.Errorf("%s: version %d in force, not %d", what, got, version)
	}
}

// inc1 on the landing before the last one: all watches ended in a silence, and
// the next ones, begun in it, were missed.
func TestAChangeAfterASilenceIsInForceInTime(t *testing.T) {
	for silence := 500 * time.Millisecond; silence < 12*time.Second; silence += 500 * time.Millisecond {
		follower(t, func(t *testing.T, n *Node, s *fakeStore) {
			s.write(2)
			time.Sleep(300 * time.Millisecond)
			s.setSilent(true)
			time.Sleep(silence)
			s.setSilent(false)
			s.write(3)
			inForce(t, n, 3, pulseEach+pulseFor, silence.String()) // a question is answered
		})
	}
}

// Four instances took the readers' roles over 0.2 to 0.4 s before a silent
// store's return. They had heard no silence, and waited 8.7 s for the answers to
// what they had asked in it.
func TestWhoBeginsToReadInASilenceIsNotLate(t *testing.T) {
	for phase := time.Duration(0); phase < pulseEach; phase += 100 * time.Millisecond {
		follower(t, func(t *testing.T, n *Node, s *fakeStore) {
			n.isReader.Store(false)
			time.Sleep(10*time.Second + phase) // what it had asked as a reader has ended
			s.setSilent(true)
			n.isReader.Store(true)
			time.Sleep(300 * time.Millisecond)
			s.setSilent(false)
			s.write(2)
			inForce(t, n, 2, platform.CallTimeout+retryMost, phase.String()) // its call ends, and it pauses
		})
	}
}

// A connection may fall silent for good while the store answers on others.
func TestAWatchWhoseConnectionFellSilentIsNotLate(t *testing.T) {
	for waited := 500 * time.Millisecond; waited < 8*time.Second; waited += 500 * time.Millisecond {
		follower(t, func(t *testing.T, n *Node, s *fakeStore) {
			time.Sleep(waited)
			s.cutWaiting()
			s.write(2)
			inForce(t, n, 2, inForceWithin, waited.String())
		})
	}
}

func TestAWaitIsBoundByWhatTheDeploymentWants(t *testing.T) {
	is := is.New(t)
	wait := func(contact, apply, drain, empty time.Duration) time.Duration {
		return watchFor(&platform.Settings{ContactFor: contact, ApplyFor: apply, DrainFor: drain, EmptyFor: empty})
	}
	is.Equal(wait(3*time.Second, 2*time.Second, 2*time.Second, 5*time.Second), 3300*time.Millisecond)
	is.Equal(wait(4*time.Second, 3*time.Second, 2*time.Second, 5*time.Second), 4300*time.Millisecond) // the list of replicas, too
	is.Equal(wait(3*time.Second, 2*time.Second, 2*time.Second, time.Second), 2300*time.Millisecond)   // and an evacuation
	is.Equal(wait(time.Minute, time.Second, time.Second, time.Second), mostWatch)
	is.Equal(wait(0, 0, 0, 0), leastWatch)
}

// A reader to whom the store is silent hands over only when it says so, and who
// has handed over is taken for one that reaches the store only when it says that.
func TestAReaderSaysSoonThatTheStoreIsSilentAndWhenItAnswers(t *testing.T) {
	follower(t, func(t *testing.T, n *Node, s *fakeStore) {
		is := is.New(t)
		blind := func() bool {
			synctest.Wait()
			return n.blind()
		}
		is.True(!blind())
		s.setSilent(true)
		time.Sleep(pulseEach + pulseFor + roleLook)
		is.True(blind())
		n.isReader.Store(false) // another one has taken over
		time.Sleep(time.Minute)
		is.True(blind())
		s.setSilent(false)
		time.Sleep(pulseEach + roleLook)
		is.True(!blind())
	})
}
