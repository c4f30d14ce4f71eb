package node

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"quinceroad/coordination/pace"
	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/placement"
	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

// cell is one scheduler and those who wait for its jobs.
type cell struct {
	owner *owner

	ready        sync.Once
	mu           sync.Mutex
	number       int
	scheduler    *pipeline.Scheduler
	engines      *placement.Placer
	next         uint64                          // number of the next request at an engine
	waiting      map[uint64]chan pipeline.Action // by job: its Deliver or Fail
	calls        map[uint64]context.CancelFunc
	asked        time.Duration                     // when a request last came
	turns        map[string]*pace.Queue            // by service: requests that want turns of its engines
	fingerprints map[string]quarantine.Fingerprint // by id of requests whose stages run

	held map[holding]time.Duration // customers held to a share, since when; of the owner's tick alone
}

func (c *cell) refresh() {
	n := c.owner.node
	w := n.world.Load()
	if w.config == nil {
		return
	}
	replicas := w.cellReplicas(c.number)
	c.do(func(now time.Duration) []pipeline.Action {
		c.engines.SetEngines(w.config.Services, replicas)
		return c.scheduler.SetPools(now, w.config.Services, replicas)
	})
}

// do runs one event of the scheduler and carries its actions out.
func (c *cell) do(step func(now time.Duration) []pipeline.Action) {
	c.mu.Lock()
	actions := step(c.owner.node.now())
	c.mu.Unlock()
	c.carryOut(actions)
}

func (c *cell) carryOut(actions []pipeline.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pipeline.Call:
			ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
			c.mu.Lock()
			c.calls[a.ID] = cancel
			c.mu.Unlock()
			go c.call(ctx, a)
		case pipeline.Free:
			go c.free(a)
		case pipeline.Deliver:
			c.tell(a.Job, a)
		case pipeline.Fail:
			c.tell(a.Job, a)
		case pipeline.Cancel:
			c.mu.Lock()
			cancel := c.calls[a.Call]
			c.mu.Unlock()
			if cancel != nil {
				cancel()
			}
		}
	}
}

func (c *cell) tell(job uint64, end pipeline.Action) {
	c.mu.Lock()
	to := c.waiting[job]
	c.mu.Unlock()
	if to == nil {
		return
	}
	select {
	case to <- end:
	default: // it has its end
	}
}

func (c *cell) call(ctx context.Context, a pipeline.Call) {
	n := c.owner.node
	began, asleep := n.now(), n.clock.Asleep()
	replica := catalog.Replica{ID: a.Replica, Service: a.Service, Version: n.versionOf(a.Replica)}
	ctx, over := context.WithCancel(ctx)
	defer over()
	defer n.running.begin(a.Replica, over)()
	leave := n.rollouts.enter(&replica, false) // its pieces go to another replica
	results, fate := n.runBatch(ctx, a)
	if fate == pipeline.Broken || fate == pipeline.TimedOut && n.quarantine.hasEnded(a.Replica) {
		fate = c.whyBroken(ctx, a, began)
	}
	if fate == pipeline.Answered {
		c.leaveResults(a.Service, leave)
	} else {
		leave()
	}
	n.tellRolloutCall(&replica, wayOf(fate, results), n.clock.Asleep() != asleep, n.now()-began)
	c.log(a, results, n.now()-began)
	c.mu.Lock()
	if cancel := c.calls[a.ID]; cancel != nil {
		cancel()
	}
	delete(c.calls, a.ID)
	c.mu.Unlock()
	n.counters.calls.Inc(1)
	n.counters.pieces.Inc(int64(len(a.Items)))
	if fate != pipeline.Answered {
		n.counters.lostCalls.Inc(1)
		event.NodeCallLost.Log(n.log, "replica", a.Replica, "pieces", len(a.Items), "fate", int(fate))
	}
	if fate == pipeline.WrongReplica {
		n.sawLeaving(a.Replica, "stranger")
	}
	c.do(func(now time.Duration) []pipeline.Action {
		if until, rests := n.statements.restsTo(now, a.Replica); rests {
			c.scheduler.SetBackoff(a.Replica, until)
		}
		return c.scheduler.FinishCall(now, a.ID, fate, results)
	})
}

// whyBroken finds out whether the replica of a call that broke off has ended,
// which speaks against all requests in it.
func (c *cell) whyBroken(ctx context.Context, a pipeline.Call, sent time.Duration) pipeline.Outcome {
	n := c.owner.node
	asked := c.fingerprintsOf(a)
	look := n.brokeOff(&catalog.Replica{ID: a.Replica, Service: a.Service, Address: a.Address}, sent, slices.Collect(maps.Values(asked))...)
	if !n.awaitLook(ctx, look) {
		return pipeline.Broken
	}
	for request, f := range asked {
		if n.verdict(f) == quarantine.Quarantined {
			c.giveUp(request)
		}
	}
	return pipeline.Crashed
}

// fingerprintsOf returns the fingerprints of the requests in a call, by their ids.
func (c *cell) fingerprintsOf(a pipeline.Call) map[string]quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]quarantine.Fingerprint)
	for _, item := range a.Items {
		if f, ok := c.fingerprints[item.RequestID]; ok {
			out[item.RequestID] = f
		}
	}
	return out
}

func (c *cell) forgetFingerprint(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fingerprints, request)
}

// giveUp ends the job of a condemned request.
func (c *cell) giveUp(request string) {
	c.do(func(now time.Duration) []pipeline.Action { return c.scheduler.FailRequest(now, request, whyCondemned) })
}

// whyCondemned is what an owner says of a job whose request is condemned.
const whyCondemned = "condemned"

func (c *cell) log(a pipeline.Call, results []pipeline.Result, took time.Duration) {
	n := c.owner.node
	if !n.log.IsDebug() || len(results) == 0 {
		return
	}
	counts := make(map[pipeline.Reason]int)
	for _, r := range results {
		counts[r.Reason]++
	}
	event.NodeCallDone.Log(n.log, "replica", a.Replica, "service", a.Service, "pieces", len(a.Items), "took", took,
		"no_room", counts[pipeline.MemoryFull], "gone", counts[pipeline.InputMissing], "late", counts[pipeline.Expired], "failed", counts[pipeline.ItemFailed])
}

func (c *cell) free(a pipeline.Free) { c.owner.node.freeResults(a) }

// pools tells what waits at the pools that a job asks for, for a log line.
func (c *cell) pools(job pipeline.Job) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, p := range c.scheduler.Pools(c.owner.node.now()) {
		if !job.Uses(p.Service) {
			continue
		}
		out = append(out, fmt.Sprintf("%s:%d waiting, through in %v, %d replicas", p.Service, p.WaitingItems, p.BacklogTime.Round(time.Millisecond), p.ServingReplicas))
	}
	return strings.Join(out, "; ")
}

// prepare gives a cell that has just been made the world in force and what the
// replicas tell of themselves: another owner may have left pools full and
// prompts at engines.
func (c *cell) prepare() {
	c.ready.Do(func() {
		c.refresh()
		n := c.owner.node
		c.knowSpeeds(n.knownSpeeds())
		w := n.world.Load()
		if w.config == nil {
			return
		}
		var asked sync.WaitGroup
		for _, r := range w.cellReplicas(c.number) {
			switch {
			case !r.AcceptsWork():
			case w.config.Services[r.Service].Pool != nil:
				asked.Go(func() { c.look(r) })
			default:
				go c.askKept(r) // which the first requests need not wait for
			}
		}
		asked.Wait()
	})
}

// look takes in what a replica tells of itself.
func (c *cell) look(r catalog.Replica) {
	n := c.owner.node
	told, err := n.fetchReplicaReport(r)
	if err != nil {
		n.logSideCallFailure("report", r.ID, err)
		return
	}
	if told.Leaves {
		n.takeLeaving(r.ID, itsOwn)
	}
	for _, field := range told.Unread {
		n.noteUnread(r.Service, field, "report")
	}
	c.mu.Lock()
	c.scheduler.RecordReplicaState(n.now(), r.ID, told.Free, told.AtWork)
	c.mu.Unlock()
}

// askKept takes in which parts of prompts an engine keeps. A loss costs
// prompts that are read again.
func (c *cell) askKept(r catalog.Replica) {
	n := c.owner.node
	parts, err := n.fetchCachedParts(r)
	if err != nil {
		event.NodeKeptUnknown.Log(n.log, "replica", r.ID, "error", err)
		return
	}
	c.mu.Lock()
	c.engines.RecordCacheReport(n.now(), r.ID, parts)
	c.mu.Unlock()
}
