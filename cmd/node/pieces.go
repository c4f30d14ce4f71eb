package node

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/outcome"
	"quinceroad/coordination/pipeline"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
	"quinceroad/transport/upstream"
)

const (
	callConnect = 250 * time.Millisecond // a replica that lives takes a connection in a few ms, below a call's fixed time
	callIdle    = 8 * time.Second        // that a connection to a pool's replica is kept
	freeFor     = 500 * time.Millisecond // a loss costs room until results end by themselves
	maxResults  = 1 << 20                // bytes of an answer
)

// runPieces sends a call of pieces to a replica.
func (n *Node) runPieces(ctx context.Context, c pipeline.Call) ([]pipeline.Result, pipeline.Outcome) {
	path, body, err := platform.RunCall(c.Items)
	if err != nil {
		event.NodeMessageBroken.Log(n.log, "what", "call of pieces", "from", n.settings.Name, "error", err)
		return nil, pipeline.Unreachable
	}
	if !n.replicaAcceptsWork(c.Replica) || !n.rollouts.tryRecordSend(n.world.Load().moves[c.Service], "", c.Replica, len(c.Items)) {
		return nil, pipeline.Refused
	}
	status, head, data, err := n.call(ctx, ownCall{address: c.Address, replica: c.Name, from: stater{life: c.Replica, service: c.Service}, work: true, method: fasthttp.MethodPost, path: path, body: body})
	switch {
	case errors.Is(err, errStated):
		return nil, pipeline.Refused
	case errors.Is(err, upstream.ErrConnect):
		return nil, pipeline.Unreachable
	case err != nil && ctx.Err() != nil:
		return nil, pipeline.TimedOut
	case err != nil:
		return nil, pipeline.Broken
	case head.Stranger:
		return nil, pipeline.WrongReplica
	case head.NotRun:
		return nil, pipeline.Refused
	case status != fasthttp.StatusOK:
		return nil, pipeline.Broken
	}
	results, err := platform.ParseRun(data, len(c.Items))
	if err != nil {
		event.NodeMessageBroken.Log(n.log, "what", "results of pieces", "from", c.Replica, "error", err)
		return nil, pipeline.Broken
	}
	return results, pipeline.Answered
}

// freeResults tells a replica what nobody reads any more; a loss costs room
// until the results end by themselves.
func (n *Node) freeResults(f pipeline.Free) {
	if !n.heldFree(f) {
		n.sendFree(f)
	}
}

func (n *Node) sendFree(f pipeline.Free) {
	path, body, err := platform.FreeCall(f.Handles)
	if err != nil {
		event.NodeMessageBroken.Log(n.log, "what", "results to free", "from", n.settings.Name, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeFor)
	defer cancel()
	_, _, _, err = n.call(ctx, ownCall{address: f.Address, from: stater{life: f.Replica, service: f.Service, aside: true}, method: fasthttp.MethodPost, path: path, body: body})
	n.logAside("free results", f.Replica, err)
}

// logAside logs a call beside a request's way that failed.
func (n *Node) logAside(what, to string, err error) {
	if err != nil {
		event.NodeAsideFails.Log(n.log, "what", what, "to", to, "error", err)
	}
}

const reportFor = 60 * time.Millisecond

// report asks a pool's replica for its state.
func (n *Node) report(r catalog.Replica) (platform.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportFor)
	defer cancel()
	status, _, data, err := n.call(ctx, ownCall{address: r.Address, replica: r.Name, from: stater{life: r.ID, service: r.Service, aside: true}, method: fasthttp.MethodGet, path: platform.PathReport})
	if err != nil {
		return platform.Report{}, err
	}
	if status != fasthttp.StatusOK {
		return platform.Report{}, upstream.ErrCut
	}
	return platform.ParseReport(data)
}

// keptFor is how long an engine may take to tell what it keeps: it does so
// between two steps of its work.
const keptFor = time.Second

// keptParts asks an engine which parts of prompts it keeps.
func (n *Node) keptParts(r catalog.Replica) ([]catalog.PromptPart, error) {
	ctx, cancel := context.WithTimeout(context.Background(), keptFor)
	defer cancel()
	status, _, data, err := n.call(ctx, ownCall{address: r.Address, replica: r.Name, from: stater{life: r.ID, service: r.Service, aside: true}, method: fasthttp.MethodGet, path: platform.PathKept})
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, upstream.ErrCut
	}
	return platform.ParseKept(data)
}

// ownCall is a call of the system's own to a replica.
type ownCall struct {
	address string
	replica string // name of the one that is meant; "" for whoever is there
	from    stater // who should answer
	work    bool   // that a replica which leaves must not get, and whose turn is counted
	method  string
	path    string
	body    []byte
}

// call makes one call of the system's own to a replica.
func (n *Node) call(ctx context.Context, c ownCall) (int, platform.Head, []byte, error) {
	cn, err := n.connect(ctx, c.address, callConnect)
	if err != nil {
		return 0, platform.Head{}, nil, err
	}
	stop := context.AfterFunc(ctx, cn.Close)
	defer stop()
	turn, ok := n.mayCall(c)
	if !ok {
		cn.Close()
		return 0, platform.Head{}, nil, errStated
	}
	defer n.advisories.end(turn)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(c.method)
	req.SetRequestURI(c.path)
	req.Header.SetHost(c.address)
	if len(c.body) > 0 {
		req.Header.SetContentType("application/json")
	}
	if c.replica != "" {
		platform.Expect(c.replica, req.Header.Set)
	}
	req.SetBody(c.body)
	record := outcome.NewRecord()
	token, _ := record.Dispatch()
	x, err := cn.Begin(token, req)
	if err != nil {
		cn.Close()
		return 0, platform.Head{}, nil, err
	}
	if err := x.ReadHead(func(*fasthttp.ResponseHeader) bool { return true }); err != nil {
		x.Release(0)
		return 0, platform.Head{}, nil, err
	}
	head := n.takeHead(c.from, turn, &x.Header)
	data, err := io.ReadAll(io.LimitReader(x, maxResults))
	if err == nil && !x.Whole() {
		err = upstream.ErrCut
	}
	x.Release(idleOf(&head, callIdle))
	return x.Header.StatusCode(), head, data, err
}

// mayCall reports, right before a call is sent, whether what its replica states
// allows it: one that leaves is still told what nobody reads any more.
func (n *Node) mayCall(c ownCall) (advisory.Attempt, bool) {
	if c.work {
		return n.advisories.begin(n.now(), c.from.life)
	}
	if _, rests := n.advisories.restsTo(n.now(), c.from.life); rests {
		return advisory.Attempt{}, false
	}
	n.countAside(c.from.life)
	return advisory.Attempt{}, true
}

// connect returns a connection to a replica, a kept one if there is one.
func (n *Node) connect(ctx context.Context, address string, within time.Duration) (*upstream.Conn, error) {
	if cn := n.clients.Kept(address); cn != nil {
		return cn, nil
	}
	n.counters.connections.Inc(1)
	if deadline, ok := ctx.Deadline(); ok {
		within = min(within, time.Until(deadline))
	}
	return n.clients.Dial(address, max(within, time.Millisecond))
}

// idleOf returns how long a connection may be kept after an answer.
func idleOf(h *platform.Head, standard time.Duration) time.Duration {
	if h.Closes {
		return 0
	}
	if h.Idle > 0 {
		return min(standard, h.Idle*3/4)
	}
	return standard
}
