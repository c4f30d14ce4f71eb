package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"quinceroad/coordination/listing"
	"quinceroad/coordination/pace"
	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/placement"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

// cell is the state of one cell at its owner: the scheduler of its pools, the placement on
// its engines, and the requests that wait for jobs or send grants.
type cell struct {
	owner *owner

	prepareOnce   sync.Once
	mu            sync.Mutex
	number        int
	scheduler     *pipeline.Scheduler
	engines       *placement.Placer
	lastRequestID uint64                          // ID of the latest request in engines and grantQueues
	jobOutcomes   map[uint64]chan pipeline.Action // by job: receives Deliver or Fail
	calls         map[uint64]context.CancelFunc
	lastRequestAt time.Duration           // arrival of the latest request; 0: this instance does not own the cell
	grantQueues   map[string]*pace.Queue  // by service: requests waiting for a send grant of its engines
	features      map[string]callFeatures // by request ID, while the stages run

	config *catalog.Configuration // as of the last refresh
	listed listing.Cell           // as of the last refresh

	// Start of each customer's throttling, as of the last check. Only the owner's ticks use
	// it.
	throttledSince map[throttledCustomer]time.Duration
}

func (c *cell) refresh() {
	n := c.owner.node
	snap := n.snapshot.Load()
	if snap.config == nil || !snap.divided {
		return
	}
	listed := snap.cell(c.number)
	c.runStep(func(now time.Duration) []pipeline.Action {
		if c.config == snap.config && c.listed.Equal(listed) {
			return nil
		}
		c.config, c.listed = snap.config, listed
		replicas := listed.Replicas()
		c.engines.SetEngines(snap.config.Services, replicas)
		return c.scheduler.SetPools(now, snap.config.Services, replicas)
	})
}

// runStep runs one step of the scheduler and executes the resulting actions.
func (c *cell) runStep(step func(now time.Duration) []pipeline.Action) {
	c.mu.Lock()
	actions := step(c.owner.node.now())
	c.mu.Unlock()
	c.executeActions(actions)
}

func (c *cell) executeActions(actions []pipeline.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pipeline.Call:
			ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
			c.mu.Lock()
			c.calls[a.ID] = cancel
			c.mu.Unlock()
			go c.runCall(ctx, a)
		case pipeline.Free:
			go c.freeResults(a)
		case pipeline.Deliver:
			c.deliverOutcome(a.Job, a)
		case pipeline.Fail:
			c.deliverOutcome(a.Job, a)
		case pipeline.ForeignHandle:
			c.owner.node.counters.foreignHandles.Inc(1)
			event.NodeForeignHandle.Log(c.owner.node.log, "replica", a.Replica, "service", a.Service, "handle", a.Handle, "request", a.Request, "owner", a.Owner)
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

func (c *cell) deliverOutcome(job uint64, outcome pipeline.Action) {
	c.mu.Lock()
	receiver := c.jobOutcomes[job]
	c.mu.Unlock()
	if receiver == nil {
		return
	}
	select {
	case receiver <- outcome:
	default: // the outcome was already delivered
	}
}

func (c *cell) runCall(ctx context.Context, call pipeline.Call) {
	n := c.owner.node
	startedAt, suspendedBefore := n.now(), n.clock.TotalSuspended()
	replica := catalog.Replica{ID: call.Replica, Service: call.Service, Version: n.versionOf(call.Replica)}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer n.activeRequests.Add(call.Replica, stop)()
	finishRequest := n.rollouts.startRequest(&replica, false) // not pinned: items can be sent to another replica
	results, outcome := n.runBatch(ctx, call)
	if outcome == pipeline.Broken || outcome == pipeline.TimedOut && n.quarantine.hasEnded(call.Replica) {
		outcome = c.classifyBrokenCall(ctx, call, startedAt)
	}
	if outcome == pipeline.Answered {
		c.recordSoundKeys(call, results)
		c.finishAfterResults(call.Service, finishRequest)
	} else {
		finishRequest()
	}
	n.recordRolloutBatch(&replica, endingOf(outcome, results), n.clock.TotalSuspended() != suspendedBefore, n.now()-startedAt)
	c.logCall(call, results, n.now()-startedAt)
	c.mu.Lock()
	if cancel := c.calls[call.ID]; cancel != nil {
		cancel()
	}
	delete(c.calls, call.ID)
	c.mu.Unlock()
	n.counters.batches.Inc(1)
	n.counters.items.Inc(int64(len(call.Items)))
	if outcome != pipeline.Answered {
		n.counters.lostBatches.Inc(1)
		event.NodeBatchFailed.Log(n.log, "replica", call.Replica, "pieces", len(call.Items), "fate", int(outcome))
	}
	if outcome == pipeline.WrongReplica {
		n.recordInferredDrain(call.Replica, "stranger")
	}
	c.runStep(func(now time.Duration) []pipeline.Action {
		if until, inBackoff := n.advisories.backoffUntil(now, call.Replica); inBackoff {
			c.scheduler.SetBackoff(call.Replica, until)
		}
		return c.scheduler.FinishCall(now, call.ID, outcome, results)
	})
}

func (c *cell) logCall(call pipeline.Call, results []pipeline.Result, duration time.Duration) {
	n := c.owner.node
	if !n.log.IsDebug() || len(results) == 0 {
		return
	}
	counts := make(map[pipeline.Reason]int)
	for _, r := range results {
		counts[r.Reason]++
	}
	event.NodeBatchDone.Log(n.log, "replica", call.Replica, "service", call.Service, "pieces", len(call.Items), "took", duration,
		"no_room", counts[pipeline.MemoryFull], "gone", counts[pipeline.InputMissing], "late", counts[pipeline.Expired], "failed", counts[pipeline.ItemFailed])
}

func (c *cell) freeResults(a pipeline.Free) { c.owner.node.freeResults(a) }

// describePools describes the load of the pools that a job uses, for a log line.
func (c *cell) describePools(job pipeline.Job) string {
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

// prepare initializes a new cell with the current snapshot and the reports of its replicas:
// jobs of a previous owner may still fill the pools, and engines may have cached prompts.
func (c *cell) prepare() {
	c.prepareOnce.Do(func() {
		n := c.owner.node
		snap := n.dividedSnapshot()
		c.refresh()
		c.seedSpeeds(n.combinedSpeeds())
		if snap.config == nil {
			return
		}
		var reports sync.WaitGroup
		for _, r := range snap.cell(c.number).Replicas() {
			switch {
			case !r.AcceptsWork():
			case snap.config.Services[r.Service].Pool != nil:
				reports.Go(func() { c.loadReplicaReport(r) })
			default:
				go c.loadCacheReport(r) // in the background: the first requests don't have to wait for it
			}
		}
		reports.Wait()
	})
}

// loadReplicaReport requests a pool replica's report and passes it to the scheduler.
func (c *cell) loadReplicaReport(r catalog.Replica) {
	n := c.owner.node
	report, err := n.fetchReplicaReport(r)
	if err != nil {
		n.logSideCallFailure("report", r.ID, err)
		return
	}
	if report.Draining {
		n.recordStatedDrain(r.ID, sourceOwnAnswer)
	}
	for _, field := range report.UnknownFields {
		n.recordUnknownField(r.Service, field, "report")
	}
	c.mu.Lock()
	c.scheduler.RecordReplicaState(n.now(), r.ID, report.FreeMemory, report.Busy)
	c.mu.Unlock()
}

// loadCacheReport requests the list of prompt parts that an engine caches. If that fails,
// some prompts are prefilled again although they are cached.
func (c *cell) loadCacheReport(r catalog.Replica) {
	n := c.owner.node
	parts, err := n.fetchCachedParts(r)
	if err != nil {
		event.NodeCachedPrefixesUnknown.Log(n.log, "replica", r.ID, "error", err)
		return
	}
	c.mu.Lock()
	c.engines.RecordCacheReport(n.now(), r.ID, parts)
	c.mu.Unlock()
}
