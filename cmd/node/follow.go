package node

import (
	"context"
	"errors"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/readers"
	"quinceroad/platform"
	"quinceroad/protocol/event"
)

const (
	gather     = 250 * time.Millisecond // after a change of the replicas, for others that come with it
	retryFirst = 100 * time.Millisecond // after a failed call, doubled each time
	retryMost  = 1 * time.Second        // an outage's end is seen within the 2 s in which a configuration must be in force
	emptyWait  = 250 * time.Millisecond // before a topic that nobody has written is read again
	roleLook   = 100 * time.Millisecond // between looks whether this instance is to read
	askEach    = 300 * time.Millisecond // between reads of a topic of which nothing is known: 75 times a usual answer
	mostAsks   = 5                      // of these under way, of one topic; the first ends with its time-out then
)

// Bounds of one wait for changes, and what is left of a deployment's time for
// the news when it has ended.
const (
	leastWatch = 1 * time.Second // chosen: two calls a second of a reader at most, with the grace
	mostWatch  = 8 * time.Second // as before bounds were read from the settings
	newsFor    = 1 * time.Second // for the next call, its pause before, and what peers need to hear of it: 0.6 s in plays
)

// watchFor returns how long a wait for changes may last. A connection may fall
// silent for good while the store answers on others, and nothing tells it from
// one on which there is no news. So a wait ends early enough for what it has
// missed to be in force when the deployment wants it.
func watchFor(s *platform.Settings) time.Duration {
	wanted := s.ContactFor + min(s.ApplyFor, s.DrainFor, s.EmptyFor)
	return min(max(wanted-platform.WatchGrace-newsFor, leastWatch), mostWatch)
}

// notLost is when a topic was lost that is not.
const notLost = time.Duration(-1)

// errMissed says that a call was given up: the store has been silent since it began.
var errMissed = errors.New("the store missed the call")

// follow keeps a topic of the store: it reads it whole once, and then waits for
// its changes while this instance is one of those that read for others.
type follow struct {
	node    *Node
	back    func() <-chan struct{} // closed when the store answers again after a silence
	name    string
	known   func() bool                                       // the topic was read, or learnt from a peer
	resumes bool                                              // what a peer told goes on with its changes
	read    func() (take func(), err error)                   // reads the whole topic; take takes it in
	changes func(wait time.Duration) (take func(), err error) // asks for changes, and waits so long for the first
}

func (f *follow) run(ctx context.Context) {
	n := f.node
	wait := retryFirst
	lost := notLost
	whole := !f.resumes // the next call reads the whole topic
	heard := false      // the store has answered this reader, and has not failed it since
	for ctx.Err() == nil {
		switch {
		case f.known() && !n.isReader.Load():
			heard = false
			process.Pause(ctx, roleLook)
			continue
		case !f.known() && n.leavesFirstRead():
			process.Pause(ctx, meetLook)
			continue
		}
		began := n.now()
		err := f.step(whole, heard)
		waited := n.now() - began
		heard = err == nil
		switch {
		case err == nil:
			whole = false
			wait = retryFirst
			if lost != notLost {
				event.NodeStoreBack.Log(n.log, "topic", f.name, "after", n.now()-lost)
				lost = notLost
				n.sees(true)
			}
			continue
		case errors.Is(err, errMissed):
			n.counters.cancelledStoreCalls.Inc(1)
			event.NodeStoreGivenUp.Log(n.log, "topic", f.name, "waited", waited)
			continue
		case errors.Is(err, platform.ErrCompacted):
			whole = true
			continue
		case errors.Is(err, platform.ErrNoKey): // nothing was ever written
			process.Pause(ctx, emptyWait)
			continue
		}
		if lost == notLost {
			lost = n.now()
			event.NodeStoreLost.Log(n.log, "topic", f.name, "waited", waited, "error", err)
			n.storeFailed.Store(true)
			n.sees(false)
		}
		process.Pause(ctx, wait)
		wait = min(2*wait, retryMost)
	}
}

// step makes the topic's next call. It waits for changes only at a store that
// has just answered: one that is silent never answers what it is asked
// meanwhile, and who has only begun to read can't know.
func (f *follow) step(whole, heard bool) error {
	switch {
	case !f.known():
		return f.learn()
	case whole:
		return f.await(f.read)
	case heard:
		return f.await(func() (func(), error) { return f.changes(watchFor(f.node.settings)) })
	}
	return f.await(func() (func(), error) { return f.changes(0) })
}

// answer is what became of a call to the store; take takes its news in.
type answer struct {
	take func()
	err  error
}

func ask(call func() (func(), error), to chan<- answer) {
	take, err := call()
	to <- answer{take, err}
}

// await makes a call and takes its news in, unless the store was silent
// meanwhile and answers again: it won't answer what it missed.
func (f *follow) await(call func() (func(), error)) error {
	back := f.back()
	answers := make(chan answer, 1)
	go ask(call, answers)
	select {
	case a := <-answers:
		if a.err == nil {
			a.take()
		}
		return a.err
	case <-back:
		return errMissed
	}
}

// learn reads a topic of which nothing is known. It asks again while earlier
// calls wait: a store that was away never answers those that it missed, and
// nothing can be served until it has.
func (f *follow) learn() error {
	answers := make(chan answer, mostAsks)
	again := time.NewTicker(askEach)
	defer again.Stop()
	asked, ended := 1, 0
	go ask(f.read, answers)
	for {
		select {
		case a := <-answers:
			ended++
			if a.err == nil {
				a.take() // the first one; later ones may be older
				return nil
			}
			if ended == asked {
				return a.err
			}
		case <-again.C:
			if f.known() { // a peer told it
				return nil
			}
			if asked < mostAsks {
				asked++
				go ask(f.read, answers)
			}
		}
	}
}

// sees notes whether the store is reached; who does not reach it reads for
// others last.
func (n *Node) sees(store bool) {
	n.gossipMu.Lock()
	n.members.SetStoreUnreachable(!store)
	n.gossipMu.Unlock()
}

// blind reports whether this instance last failed to reach the store.
func (n *Node) blind() bool {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	return n.members.Self().StoreUnreachable
}

// leavesFirstRead reports whether this instance, which has just started and
// knows nothing, waits for the news of those that read for others.
func (n *Node) leavesFirstRead() bool {
	n.takeRole(n.alive())
	start := readers.Startup{Age: n.now(), KnowsPeers: n.met(), IsReader: n.isReader.Load(), Jitter: n.jitter}
	return !start.ShouldRead()
}

// met reports whether this instance knows who else there is, as far as can be
// told: nobody new was heard of for a moment, or nobody at all for a while.
func (n *Node) met() bool {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	now := n.now()
	return now >= meetFor || n.members.Settled(now) || now >= aloneFor && len(n.members.Alive(now)) == 1
}

// takeRole finds out whether this instance is one of those that follow the
// store, once it has met the others.
func (n *Node) takeRole(alive []gossip.Instance) {
	if !n.met() {
		return
	}
	reads := readers.IsReader(n.settings.Name, alive)
	if n.isReader.Swap(reads) == reads {
		return
	}
	n.gossipMu.Lock()
	n.members.SetReader(reads)
	n.gossipMu.Unlock()
	event.NodeReads.Log(n.log, "reads", reads)
}
