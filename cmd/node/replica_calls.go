package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/cmd/node/replicacall"
	"quinceroad/cmd/node/slotlease"
	"quinceroad/coordination/advisory"
	"quinceroad/coordination/pipeline"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
	"quinceroad/transport/upstream"
)

const (
	// A running replica accepts a connection in a few ms. The timeout is below a call's
	// fixed time.
	callConnectTimeout  = 250 * time.Millisecond
	defaultCallConnIdle = 8 * time.Second // idle time of a connection to a pool's replica
	// Timeout of a call that frees results. A lost one costs result memory until the
	// results expire.
	freeTimeout = 500 * time.Millisecond
	// Longest wait of a call for a slot of a brittle replica. The scheduler knows which slots
	// its calls use, so that only those of others are waited for.
	callSlotWait = 100 * time.Millisecond
)

// runBatch sends a batch of items to a replica.
func (n *Node) runBatch(ctx context.Context, c pipeline.Call) ([]pipeline.Result, pipeline.Outcome) {
	path, body, err := platform.BatchRequest(c.Items)
	if err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "batch of items", "from", n.settings.Name, "error", err)
		return nil, pipeline.Unreachable
	}
	if !n.replicaAcceptsWork(c.Replica) || !n.rollouts.tryRecordSend(n.snapshot.Load().rolloutByService[c.Service], "", c.Replica, len(c.Items)) {
		return nil, pipeline.Refused
	}
	var results []pipeline.Result
	parse := func(data []byte) (handed []upstream.Handed, err error) {
		results, err = platform.ParseBatchResponse(data, len(c.Items))
		return handedResults(c.Items, results), err
	}
	head, err := n.callReplica(ctx, replicaCall{
		call:   replicacall.Call{Address: c.Address, ExpectedReplica: c.Name, Method: fasthttp.MethodPost, Path: path, Body: body, Parse: parse},
		source: answerSource{incarnation: c.Replica, service: c.Service}, isWork: true,
	})
	switch {
	case errors.Is(err, errAdvisoryForbids):
		return nil, pipeline.Refused
	case errors.Is(err, upstream.ErrConnect):
		return nil, pipeline.Unreachable
	case errors.Is(err, errLinkLost):
		return nil, pipeline.LinkLost
	case errors.Is(err, replicacall.ErrInvalid):
		event.NodeMessageInvalid.Log(n.log, "what", "results of a batch", "from", c.Replica, "error", err)
		return nil, pipeline.Broken
	case err != nil && ctx.Err() != nil:
		return nil, pipeline.TimedOut
	case err != nil:
		return nil, pipeline.Broken
	case head.WrongReplica:
		return nil, pipeline.WrongReplica
	case head.NotRun:
		return nil, pipeline.Refused
	case head.Status != fasthttp.StatusOK:
		return nil, pipeline.Broken
	}
	return results, pipeline.Answered
}

// handedResults returns the handles of results with the items that they are results of.
func handedResults(items []pipeline.Item, results []pipeline.Result) []upstream.Handed {
	var out []upstream.Handed
	for i, r := range results {
		if r.Handle != "" {
			out = append(out, upstream.Handed{Name: r.Handle, For: fmt.Sprintf("%s/%d/%d", items[i].RequestID, items[i].Stage, items[i].Index)})
		}
	}
	return out
}

// freeResults frees results at a replica that are no longer needed, now or later. A lost
// call costs result memory until the results expire.
func (n *Node) freeResults(f pipeline.Free) {
	if !n.deferFree(f) {
		n.sendFreeResults(f)
	}
}

func (n *Node) sendFreeResults(f pipeline.Free) {
	path, body, err := platform.FreeRequest(f.Handles)
	if err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "results to free", "from", n.settings.Name, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	_, err = n.callReplica(ctx, replicaCall{
		call:   replicacall.Call{Address: f.Address, Method: fasthttp.MethodPost, Path: path, Body: body},
		source: answerSource{incarnation: f.Replica, service: f.Service, auxiliary: true},
	})
	n.logSideCallFailure("free results", f.Replica, err)
}

// logSideCallFailure logs the failure of a call that no request depends on.
func (n *Node) logSideCallFailure(what, to string, err error) {
	if err != nil {
		event.NodeSideCallFailed.Log(n.log, "what", what, "to", to, "error", err)
	}
}

const reportTimeout = 60 * time.Millisecond

// fetchReplicaReport asks a pool's replica for its state.
func (n *Node) fetchReplicaReport(r catalog.Replica) (platform.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var report platform.Report
	parse := func(data []byte) (_ []upstream.Handed, err error) {
		report, err = platform.ParseReport(data)
		return nil, err
	}
	err := n.queryReplica(ctx, &r, platform.PathReport, parse)
	return report, err
}

// queryReplica asks a replica for something of its own. parse parses the answer.
func (n *Node) queryReplica(ctx context.Context, r *catalog.Replica, path string, parse func([]byte) ([]upstream.Handed, error)) error {
	head, err := n.callReplica(ctx, replicaCall{
		call:   replicacall.Call{Address: r.Address, ExpectedReplica: r.Name, Method: fasthttp.MethodGet, Path: path, Parse: parse},
		source: answerSource{incarnation: r.ID, service: r.Service, auxiliary: true},
	})
	if err == nil && head.Status != fasthttp.StatusOK {
		err = errCallFailed
	}
	return err
}

// cacheReportTimeout is the timeout of an engine's report of its cache. An engine answers
// only between two steps of its work.
const cacheReportTimeout = time.Second

// fetchCachedParts asks an engine which prompt parts it has cached.
func (n *Node) fetchCachedParts(r catalog.Replica) ([]catalog.PromptPart, error) {
	ctx, cancel := context.WithTimeout(context.Background(), cacheReportTimeout)
	defer cancel()
	var parts []catalog.PromptPart
	parse := func(data []byte) (_ []upstream.Handed, err error) {
		parts, err = platform.ParseCachedParts(data)
		return nil, err
	}
	err := n.queryReplica(ctx, &r, platform.PathCachedParts, parse)
	return parts, err
}

// replicaCall is a call to a replica that forwards no client request.
type replicaCall struct {
	call   replicacall.Call
	source answerSource // incarnation and service to which the answer's advisories apply
	isWork bool         // not sent to a draining replica, and counted in the ramp after a backoff
}

// errCallFailed is the error of a call whose answer is a failure.
var errCallFailed = errors.New("the replica failed the call")

// callReplica calls a replica and reads its answer.
func (n *Node) callReplica(ctx context.Context, c replicaCall) (head platform.ResponseHead, err error) {
	lease, err := n.acquireCallSlot(ctx, &c)
	if err != nil {
		return platform.ResponseHead{}, err
	}
	slotEnd := advisory.LeaseUnused
	defer func() { lease.End(slotEnd) }()
	target := replicaTarget{id: c.source.incarnation, service: c.source.service, address: c.call.Address}
	cn, err := n.connectReplica(ctx, target, "", callConnectTimeout)
	if err != nil {
		return platform.ResponseHead{}, err
	}
	stop := context.AfterFunc(ctx, cn.Close)
	defer stop()
	var isLinkLost atomic.Bool
	if c.isWork && !cn.IsRelayed() {
		defer n.watchLink(target, lateCallTime, func() {
			isLinkLost.Store(true)
			cn.Close()
		})()
	}
	defer func() {
		if err != nil && isLinkLost.Load() {
			err = errors.Join(errLinkLost, err)
		}
	}()
	advisoryAttempt, ok := n.beginCall(c, lease)
	if !ok {
		cn.Close()
		return platform.ResponseHead{}, errAdvisoryForbids
	}
	defer func() { n.advisories.endAttempt(n.now(), advisoryAttempt) }()
	slotEnd = advisory.LeaseAbandoned
	c.call.OnSurplus = func(invalid error) {
		n.counters.surplusAnswers.Inc(1)
		event.NodeSurplusAnswer.Log(n.log, "replica", c.source.incarnation, "service", c.source.service, "path", c.call.Path, "through", cn.RelayedBy(), "invalid", invalid)
	}
	answer, err := replicacall.Do(cn, &c.call)
	if err != nil {
		n.recordBrokenHead(exchangeInfo{replica: c.source.incarnation, service: c.source.service, asked: c.call.Path, through: cn.RelayedBy()}, err)
		return platform.ResponseHead{}, err
	}
	head = n.recordAnswerHead(c.source, advisoryAttempt, answer.Header)
	slotEnd = callLeaseEnd(&head)
	answer.Release(idleTimeoutAfter(&head, defaultCallConnIdle))
	return head, nil
}

// acquireCallSlot obtains a slot for a call that carries work, as acquireSlot does.
func (n *Node) acquireCallSlot(ctx context.Context, c *replicaCall) (*slotlease.Lease, error) {
	r, listed := n.snapshot.Load().replicaByIncarnation(c.source.incarnation)
	if !c.isWork || !listed {
		return nil, nil
	}
	lease, err := n.acquireSlot(ctx, &r, defaultTimeLimit, callSlotWait)
	if err != nil {
		return nil, errors.Join(errAdvisoryForbids, err)
	}
	return lease, nil
}

// callLeaseEnd returns what a complete answer to a call means for the slot that it used.
func callLeaseEnd(h *platform.ResponseHead) advisory.LeaseEnd {
	if h.NotRun && h.Status == fasthttp.StatusServiceUnavailable && h.Backoff == 0 {
		return advisory.LeaseRefused
	}
	return advisory.LeaseCompleted
}

// beginCall reports, right before a call is sent, whether the replica's advisories
// allow it. A draining replica still gets calls that carry no work, such as the
// release of results.
func (n *Node) beginCall(c replicaCall, lease *slotlease.Lease) (advisory.Attempt, bool) {
	if c.isWork {
		return n.advisories.beginAttempt(n.now(), c.source.incarnation, c.source.service, lease)
	}
	if _, inBackoff := n.advisories.backoffUntil(n.now(), c.source.incarnation); inBackoff {
		return advisory.Attempt{}, false
	}
	n.countInternalCall(c.source.incarnation)
	return advisory.Attempt{}, true
}

// idleTimeoutAfter returns the time for which a connection may stay idle after an answer.
func idleTimeoutAfter(h *platform.ResponseHead, defaultIdle time.Duration) time.Duration {
	if h.ClosesConnection {
		return 0
	}
	if h.KeepAlive > 0 {
		return min(defaultIdle, h.KeepAlive*3/4)
	}
	return defaultIdle
}
