package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/ending"
	"quinceroad/coordination/health"
	"quinceroad/coordination/outcome"
	"quinceroad/coordination/regions"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
	"quinceroad/transport/upstream"
)

const (
	connectFor    = 250 * time.Millisecond  // a replica that lives takes a connection in a few ms, below the shortest wait of a client
	connIdle      = 6 * time.Second         // that a connection to a replica is kept where it states no time itself
	maxAnswer     = 64 << 20                // bytes
	patienceShare = 0.6                     // of the objective, that a repeatable request waits at one replica
	patienceTimes = 4                       // of the replica's usual time
	gapTimes      = 5                       // of the longest pause in time, after which a resumable stream moves on
	leastGap      = 2500 * time.Millisecond // clients give a silent stream up after 2 s or more; a resumable one moves on when it would be lost anyway
	clientWrite   = 5 * time.Second         // that a client may take to read an event
)

// attempt is one send of a request to a replica.
type attempt struct {
	*serving
	replica catalog.Replica
	token   outcome.DispatchToken
	conn    *upstream.Conn
	x       *upstream.Exchange
	head    platform.Head
	turn    advisory.Attempt
	cut     atomic.Pointer[error] // why this instance ended it; nil: it did not
	sent    time.Duration
	asleep  time.Duration // that the machine had been when it was sent
	began   time.Duration // the answer; of a stream its first event; 0: not yet
}

// attempt sends the request to a replica and passes the answer on. It returns
// nil once the client has an answer.
func (s *serving) attempt(ctx context.Context, r catalog.Replica, fetch string) error {
	s.replica, s.region, s.fetch = r.ID, r.Region, fetch
	n := s.node
	if !s.hasTurn(ctx, &r) {
		return errPaced
	}
	conn, err := n.connect(ctx, r.Address, connectFor)
	if err != nil {
		if !done(ctx) {
			s.note(r.ID, health.Unreachable)
		}
		return errUnreached
	}
	defer n.rollouts.startRequest(&r, !s.canMove())() // before it is asked whether the replica may get it
	if !s.homes().Allows(r.Region) || !n.mayGet(s.service, r.ID) || !n.rollouts.tryRecordSend(n.world.Load().moves[s.service.Name], s.route.Name, r.ID, 1) {
		conn.Close()
		return errUnreached
	}
	turn, ok := n.advisories.begin(n.now(), r.ID)
	if !ok {
		conn.Close()
		return errUnreached
	}
	defer func() { n.advisories.end(turn) }()
	a := &attempt{serving: s, replica: r, conn: conn, sent: n.now(), asleep: n.clock.Asleep(), turn: turn}
	token, ok := s.record.Dispatch()
	if !ok {
		conn.Close()
		return errUnreached
	}
	a.token = token
	if len(s.tried) > 0 {
		n.counters.retries.Inc(1)
	}
	n.counters.attempts.Inc(1)
	if n.distance(r.Hall) == regions.Remote {
		n.counters.remoteAttempts.Inc(1)
		n.counters.remoteBytes.requests.Inc(int64(len(s.req.Body)))
	}
	s.tried[r.ID] = true
	n.detectorMu.Lock()
	n.loads.Begin(r.ID)
	n.detectorMu.Unlock()
	if n.crashesUnder(s.fingerprint) > 0 {
		defer n.trackSuspect(s.fingerprint, r.ID)()
	}
	err = a.exchange(ctx, fetch)
	a.finish(ctx, err)
	return err
}

// closesAtRefusal reports whether the replica turned the request away and closed
// the connection, as one that leaves does, and stated no reason itself.
func (a *attempt) closesAtRefusal() bool {
	h := &a.head
	return h.Closes && h.NotRun && h.Rest == 0 && !h.Leaves
}

// countAnswer counts what comes from another region.
func (a *attempt) countAnswer(bytes int) {
	if a.node.distance(a.replica.Hall) == regions.Remote {
		a.node.counters.remoteBytes.answers.Inc(int64(bytes))
	}
}

// way tells how the attempt ended.
func (a *attempt) way(ctx context.Context, err error) ending.Kind {
	switch {
	case err == nil && a.x.Header.StatusCode() >= http.StatusInternalServerError:
		return ending.Failed
	case err == nil:
		return ending.Succeeded
	case errors.Is(err, errNotRun):
		return ending.Refused
	case errors.Is(err, errInputs):
		return ending.MissingInputs
	case errors.Is(err, errOwnFault):
		return ending.Failed
	case errors.Is(err, errSilent):
		return ending.ResponseTimeout
	case errors.Is(err, errLeft):
		return ending.ClientGone
	case done(ctx):
		return ending.DeadlineExceeded
	case errors.Is(err, errLifeOver):
		return ending.ReplicaRestarted
	}
	return ending.ConnectionBroken
}

// finish takes in how the attempt ended.
func (a *attempt) finish(ctx context.Context, err error) {
	n := a.node
	took := n.now() - a.sent
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		err = errLeft
	}
	way := a.way(ctx, err)
	suspended := n.clock.Asleep() != a.asleep
	if err != nil {
		event.NodeAttempt.Log(n.log, "request", a.req.ID, "fingerprint", a.fingerprint, "replica", a.replica.ID, "why", err,
			"took", took, "kept", a.conn.Kept(), "last_event", a.stream.lastEvent, "chosen", a.chosen, "rest", a.head.Rest, "leaves", a.head.Leaves)
	}
	n.detectorMu.Lock()
	if err == nil && !suspended {
		n.loads.End(a.replica.ID, took)
	} else {
		n.loads.End(a.replica.ID, 0)
	}
	if a.head.Slots > 0 {
		n.loads.RecordLoad(n.now(), a.replica.ID, a.head.Running+a.head.Waiting-1)
	}
	n.detectorMu.Unlock()
	if a.head.Stranger || a.closesAtRefusal() {
		n.sawLeaving(a.replica.ID, "answer")
	}
	if way == ending.Refused || way == ending.MissingInputs {
		a.record.MarkNotRun(a.token)
		delete(a.tried, a.replica.ID)
	}
	says := way.Evidence()
	if says.Health != nil {
		a.note(a.replica.ID, *says.Health)
	}
	switch says.Request {
	case ending.RequestCleared:
		n.recordCompleteAnswer(a.fingerprint)
	case ending.RequestBlamed:
		n.endedUnfinished(a.replica.ID, a.sent, a.fingerprint)
	case ending.RequestProbe:
		a.look = n.brokeOff(&a.replica, a.sent, a.fingerprint)
	}
	a.recordRollout(way, suspended, took)
	if says.Request == ending.RequestProbe && a.canMove() && len(a.tried) < a.route.MaxAttempts {
		n.awaitLook(ctx, a.look) // else there is nothing to wait for: it has its end at once
	}
}

// exchange writes the request and passes the answer on.
func (a *attempt) exchange(ctx context.Context, fetch string) error {
	_ = a.conn.SetDeadline(time.Now().Add(a.end - a.node.now() + time.Second)) // the context ends it; this is for what the context misses
	stop := context.AfterFunc(ctx, a.conn.Close)
	defer stop()
	defer a.node.activeRequests.add(a.replica.ID, func() { a.cutOff(errLifeOver) })()
	watch := a.watch()
	defer watch.Stop()

	req := fasthttp.AcquireRequest()
	a.fill(req, fetch)
	x, err := a.conn.Begin(a.token, req)
	if err != nil {
		a.conn.Close()
		return a.broken(errBroken)
	}
	a.x = x
	defer func() {
		x.Release(idleOf(&a.head, connIdle))
	}()
	if err := x.ReadHead(a.own); err != nil {
		return a.broken(errBroken)
	}
	a.head = a.node.takeHead(a.stater(), a.turn, &x.Header)
	a.leaves = a.head.Leaves
	a.began = a.node.now()
	return a.answer(watch)
}

// cutOff ends the attempt for a reason of this instance's own.
func (a *attempt) cutOff(why error) {
	a.cut.CompareAndSwap(nil, &why)
	a.conn.Close()
}

// broken returns why the answer broke off: this instance's own reason to end it,
// else what it looks like.
func (a *attempt) broken(looks error) error {
	if why := a.cut.Load(); why != nil {
		return *why
	}
	return looks
}

// own reports whether an answer is this request's. What its replica states in
// another one, which came late, is stated all the same.
func (a *attempt) own(h *fasthttp.ResponseHeader) bool {
	id := string(h.Peek(platform.HeaderID))
	if id == a.req.ID || (id == "" && h.StatusCode() >= http.StatusBadRequest) {
		return true
	}
	late := a.stater()
	late.aside = true
	a.node.takeHead(late, advisory.Attempt{}, h)
	return false
}

func (a *attempt) stater() stater { return stater{life: a.replica.ID, service: a.service.Name} }

func (a *attempt) fill(req *fasthttp.Request, fetch string) {
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(a.req.Method)
	req.SetRequestURI(a.req.Target)
	req.Header.SetHost(a.req.Host)
	send := &platform.Send{
		Replica:   a.replica.Name,
		Customer:  a.customer,
		Left:      a.end - a.node.now(),
		Fetch:     fetch,
		Urgency:   -1,
		LastEvent: a.req.LastEvent,
	}
	if a.service.Engine != nil {
		send.Urgency = a.rank / rankStep
	}
	if a.job != nil {
		send.Inputs = a.job.handles
	}
	if a.stream.lastEvent != "" {
		send.LastEvent = a.stream.lastEvent
	}
	platform.Fill(a.req, send, req.Header.Add)
	req.SetBodyRaw(a.req.Body)
}

// watch ends the attempt after too long a silence, where the request may go
// on elsewhere; else it never fires.
func (a *attempt) watch() *time.Timer {
	wait := a.patience()
	if wait == 0 {
		wait = a.end - a.node.now() + time.Hour
	}
	return time.AfterFunc(wait, func() {
		if a.node.stopping.Load() {
			return // a stop ends nothing that may still come
		}
		a.cutOff(errSilent)
	})
}

// patience is how long the attempt waits for its answer to begin; 0: to the end.
func (a *attempt) patience() time.Duration {
	if len(a.tried) >= a.route.MaxAttempts || a.route.Objective == 0 {
		return 0
	}
	n := a.node
	n.detectorMu.Lock()
	usual := n.loads.MeanAnswerTime(a.replica.ID)
	n.detectorMu.Unlock()
	switch {
	case a.route.Kind == catalog.Repeatable:
		return max(time.Duration(float64(a.route.Objective)*patienceShare), patienceTimes*usual)
	case a.route.Kind == catalog.Stream && a.route.Resumable:
		return max(a.route.Objective, time.Second)
	}
	return 0
}

// answer passes an answer on whose head has come.
func (a *attempt) answer(watch *time.Timer) error {
	status := a.x.Header.StatusCode()
	switch {
	case a.head.NotRun && status == http.StatusConflict:
		_, _ = io.Copy(io.Discard, a.x)
		return errInputs
	case a.head.NotRun:
		_, _ = io.Copy(io.Discard, a.x)
		return errNotRun
	case status < http.StatusMultipleChoices && !a.head.FullSignature():
		return errBroken
	case status < http.StatusMultipleChoices && a.route.Kind == catalog.Stream:
		return a.passStream(watch)
	}
	body, err := io.ReadAll(io.LimitReader(a.x, maxAnswer))
	if err != nil || !a.x.Whole() {
		return a.broken(errBroken)
	}
	watch.Stop()
	if status >= http.StatusInternalServerError && a.mayMend() {
		return errOwnFault
	}
	if a.stream.headSent {
		return errCutOff
	}
	a.copyHead()
	a.node.counters.answers(status).Inc(1)
	a.w.WriteHeader(status)
	_, _ = a.w.Write(body)
	a.countAnswer(len(body))
	return nil
}

// mayMend reports whether another replica is tried after a replica's own
// failure; where it may not, the client gets that answer.
func (a *attempt) mayMend() bool {
	return a.route.Kind == catalog.Repeatable && len(a.tried) < a.route.MaxAttempts && a.hasOthers() && a.mayRepeat()
}

func (a *attempt) hasOthers() bool {
	for _, r := range permitted(a.homes(), a.node.world.Load().services[a.service.Name]) {
		if !a.tried[r.ID] && !a.avoid[r.ID] {
			return true
		}
	}
	return false
}

// copyHead gives the replica's headers to the client.
func (a *attempt) copyHead() {
	h := a.w.Header()
	for name, value := range a.x.Header.All() {
		if platform.PassedOn(string(name)) {
			h.Add(string(name), string(value))
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the library must not guess one
	}
}
