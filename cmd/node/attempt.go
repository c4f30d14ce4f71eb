package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/balancer"
	"quinceroad/coordination/health"
	"quinceroad/coordination/outcome"
	"quinceroad/coordination/quarantine"
	"quinceroad/coordination/regions"
	"quinceroad/coordination/sendresult"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
	"quinceroad/transport/answerhead"
	"quinceroad/transport/upstream"
)

const (
	// A running replica accepts a connection in a few ms. The timeout is below the shortest
	// wait of a client.
	replicaConnectTimeout  = 250 * time.Millisecond
	defaultReplicaConnIdle = 6 * time.Second // idle time of a connection to a replica that states none
	timeoutObjectiveShare  = 0.6             // fraction of the objective that a repeatable request waits for one replica
	timeoutMeanFactor      = 4               // the wait is at least this multiple of the replica's mean answer time
	// Multiple of the route's gap objective after which a resumable stream fails over to
	// another replica.
	eventGapFactor = 5
	// Lower bound of that time. Clients abandon a silent stream after 2 s or more; a
	// resumable one fails over only when it would be lost anyway.
	minEventGapTimeout = 2500 * time.Millisecond
	clientWriteTimeout = 5 * time.Second // timeout for a client to read an event
)

// attempt is one send of a request to a replica.
type attempt struct {
	*requestHandler
	replica         catalog.Replica
	token           outcome.DispatchToken
	conn            *upstream.Conn
	exchange        *upstream.Exchange
	head            platform.ResponseHead
	advisoryAttempt advisory.Attempt
	abortReason     atomic.Pointer[error] // reason for which this instance aborted it; nil: not aborted
	sentAt          time.Duration
	suspendedBefore time.Duration // total time that the machine was suspended before the send
	answerStartedAt time.Duration // arrival of the answer, or of a stream's first event; 0: not yet
	answerBegan     atomic.Bool   // its body, or a stream's first event, has arrived
}

// attempt sends the request to a replica and forwards the answer. It returns nil
// once the client has an answer.
func (s *requestHandler) attempt(ctx context.Context, r catalog.Replica, fetchFrom string) error {
	s.lastReplica, s.lastBuild, s.lastRegion, s.lastFetchFrom = r.ID, r.Version, r.Region, fetchFrom
	n := s.node
	if !s.awaitLogged(ctx, &r) {
		return errBuildNotLogged
	}
	if !s.acquireSendGrant(ctx, &r) {
		return errRateLimited
	}
	lease, err := n.acquireSlot(ctx, &r, s.deadline-n.now(), s.latestStart()-n.now())
	if err != nil {
		return err
	}
	slotEnd := advisory.LeaseUnused
	defer func() { lease.End(slotEnd) }()
	conn, err := n.connectReplica(ctx, targetOf(&r), s.req.ID, replicaConnectTimeout)
	if err != nil {
		if !isDone(ctx) {
			s.recordHealth(r.ID, health.Unreachable)
		}
		return errNoReplicaReached
	}
	s.lastRelay = conn.RelayedBy()
	// The request is counted before the checks of whether the replica may receive it.
	defer n.rollouts.startRequest(&r, !s.canFailOver())()
	if !s.allowedRegions().Allows(r.Region) || !n.admitSend(s.service, r.ID) || !n.rollouts.tryRecordSend(n.snapshot.Load().rolloutByService[s.service.Name], s.route.Name, r.ID, 1) {
		conn.Close()
		return errNoReplicaReached
	}
	advisoryAttempt, ok := n.advisories.beginAttempt(n.now(), r.ID, r.Service, lease)
	if !ok {
		conn.Close()
		return errNoReplicaReached
	}
	defer func() { n.advisories.endAttempt(n.now(), advisoryAttempt) }()
	a := &attempt{requestHandler: s, replica: r, conn: conn, sentAt: n.now(), suspendedBefore: n.clock.TotalSuspended(), advisoryAttempt: advisoryAttempt}
	token, ok := s.record.Dispatch()
	if !ok {
		conn.Close()
		return errNoReplicaReached
	}
	a.token = token
	if len(s.tried) > 0 {
		n.counters.retries.Inc(1)
	}
	n.counters.attempts.Inc(1)
	distance := n.distanceTo(r.Hall)
	n.counters.bytesTo(distance).requests.Inc(int64(len(s.req.Body)))
	if distance == regions.Remote {
		n.counters.remoteAttempts.Inc(1)
	}
	s.tried[r.ID] = true
	n.detectorMu.Lock()
	n.loads.Begin(r.ID)
	n.detectorMu.Unlock()
	if n.judge(s.features()).Verdict != quarantine.Unsuspected {
		defer n.trackSuspect(s.fingerprint, r.ID)()
	}
	err = a.sendAndReceive(ctx, fetchFrom)
	if err != nil && !isDone(ctx) {
		a.awaitRelayEnd()
	}
	kind := a.finish(ctx, err)
	slotEnd = leaseEnd(kind, a.head.Backoff > 0)
	return err
}

// closedAfterRefusal reports whether the replica refused the request and closed
// the connection without an advisory, as a draining replica does.
func (a *attempt) closedAfterRefusal() bool {
	h := &a.head
	return h.ClosesConnection && h.NotRun && h.Backoff == 0 && !h.Draining
}

// countAnswerBytes counts bytes of the answer.
func (a *attempt) countAnswerBytes(bytes int) {
	a.node.counters.bytesTo(a.node.distanceTo(a.replica.Hall)).answers.Inc(int64(bytes))
}

// endingKind classifies how the attempt ended.
func (a *attempt) endingKind(ctx context.Context, err error) sendresult.Kind {
	kind := a.apparentEnding(ctx, err)
	switch kind {
	case sendresult.ConnectionBroken, sendresult.ResponseTimeout, sendresult.DeadlineExceeded:
		if !a.isOverCutLink() {
			return kind
		}
		if kind == sendresult.ConnectionBroken {
			a.node.recordLostOpen(a.replica.ID)
		}
		return sendresult.LinkLost
	}
	return kind
}

// apparentEnding classifies how the attempt ended if its link is sound.
func (a *attempt) apparentEnding(ctx context.Context, err error) sendresult.Kind {
	switch {
	case err == nil && a.exchange.Header.StatusCode() >= http.StatusInternalServerError:
		return sendresult.Failed
	case err == nil:
		return sendresult.Succeeded
	case errors.Is(err, errReplicaRefused):
		return sendresult.Refused
	case errors.Is(err, errMissingInputs):
		return sendresult.MissingInputs
	case errors.Is(err, errReplicaFailed), errors.Is(err, errPromiseUnproven):
		return sendresult.Failed
	case errors.Is(err, errReplicaTimeout):
		return sendresult.ResponseTimeout
	case errors.Is(err, errClientGone), errors.Is(err, errQuarantined), errors.Is(err, errBuildNotLogged):
		return sendresult.ClientGone
	case errors.Is(err, errEndDoubtful), errors.Is(err, errRefusalUnnamed):
		return sendresult.EndDoubtful
	case isDone(ctx):
		return sendresult.DeadlineExceeded
	case errors.Is(err, errReplicaRestarted):
		return sendresult.ReplicaRestarted
	}
	return sendresult.ConnectionBroken
}

// finish records how the attempt ended: in the balancer, the health detector, the
// quarantine and the rollout, and returns that. It may wait for the probe of a replica whose
// answer broke off.
func (a *attempt) finish(ctx context.Context, err error) sendresult.Kind {
	n := a.node
	took := n.now() - a.sentAt
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		err = errClientGone
	}
	kind := a.endingKind(ctx, err)
	suspended := n.clock.TotalSuspended() != a.suspendedBefore
	if err != nil {
		event.NodeAttemptFailed.Log(n.log, "request", a.req.ID, "fingerprint", a.fingerprint, "parts", a.parts, "replica", a.replica.ID, "why", err,
			"took", took, "framed", a.isAnswerFramed(), "kept", a.conn.IsReused(), "last_event", a.stream.lastEventID, "chosen", a.chosenBy, "rest", a.head.Backoff, "leaves", a.head.Draining, "through", a.conn.RelayedBy(), "build", a.replica.Version)
	}
	n.detectorMu.Lock()
	if err == nil && !suspended {
		n.loads.End(a.replica.ID, took)
	} else {
		n.loads.End(a.replica.ID, 0)
	}
	if a.head.Slots > 0 {
		n.loads.RecordLoad(n.now(), a.replica.ID, balancer.Load{Running: a.head.Running + a.head.Waiting - 1, Slowdown: a.head.Slowdown})
	}
	n.detectorMu.Unlock()
	switch {
	case a.head.WrongReplica:
		n.recordInferredDrain(a.replica.ID, "answer")
	case a.closedAfterRefusal():
		n.recordRefusalDrain(&a.replica)
	case kind == sendresult.Succeeded && !a.head.Draining:
		if r, listed := n.snapshot.Load().list.Replica(a.replica.ID); listed && !r.AcceptsWork() {
			n.endRefusalDrain(a.replica.ID)
		}
	}
	if kind == sendresult.Refused || kind == sendresult.MissingInputs {
		a.record.MarkNotRun(a.token)
		delete(a.tried, a.replica.ID)
	}
	if kind == sendresult.ResponseTimeout || kind == sendresult.DeadlineExceeded {
		a.checkLinkLater()
	}
	evidence := kind.Evidence()
	if evidence.Health != nil {
		a.recordHealth(a.replica.ID, *evidence.Health)
	}
	switch evidence.Request {
	case sendresult.RequestCleared:
		a.recordWholeAnswer()
	case sendresult.RequestBlamed:
		n.recordAbandonedRequest(a.replica.ID, a.sentAt, a.features(), a.heldTrials())
	case sendresult.RequestProbe:
		n.recordBrokenParts(a.replica.ID, a.sentAt, a.parts, a.heldTrials())
		a.probe = n.recordBrokenAnswers(&a.replica, a.sentAt, a.fingerprint)
	}
	a.recordRollout(kind, suspended, took)
	if evidence.Request == sendresult.RequestProbe && a.canFailOver() && len(a.tried) < a.route.MaxAttempts {
		n.awaitLivenessProbe(ctx, a.probe) // without a further attempt there is nothing to wait for
	}
	return kind
}

// sendAndReceive sends the request and forwards the answer.
func (a *attempt) sendAndReceive(ctx context.Context, fetchFrom string) error {
	// A fallback: normally the context ends the attempt.
	_ = a.conn.SetDeadline(time.Now().Add(a.deadline - a.node.now() + time.Second))
	stop := context.AfterFunc(ctx, a.conn.Close)
	defer stop()
	defer a.node.activeRequests.Add(a.replica.ID, func() { a.abort(errReplicaRestarted) })()
	for _, f := range a.parts {
		defer a.node.requestsByFeature.Add(f.String(), a.abortQuarantined)()
	}
	timer := a.startTimeout()
	defer timer.Stop()

	req := fasthttp.AcquireRequest()
	a.fillRequest(req, fetchFrom)
	x, err := a.conn.Begin(a.token, req)
	if err != nil {
		a.conn.Close()
		return a.abortReasonOr(errAnswerBroken)
	}
	a.exchange = x
	defer func() {
		x.Release(idleTimeoutAfter(&a.head, defaultReplicaConnIdle))
	}()
	if err := x.ReadHead(a.isOwnAnswer); err != nil {
		return a.abortReasonOr(a.headError(err))
	}
	a.head = a.node.recordAnswerHead(a.answerSource(), a.advisoryAttempt, &x.Header)
	a.lastReplicaDrains = a.head.Draining
	a.answerStartedAt = a.node.now()
	return a.forwardAnswer(timer)
}

// headError returns the error of an answer whose head could not be read.
func (a *attempt) headError(err error) error {
	x := exchangeInfo{replica: a.replica.ID, service: a.service.Name, asked: a.route.Name, through: a.conn.RelayedBy()}
	if !a.node.recordBrokenHead(x, err) {
		return errAnswerBroken
	}
	reason, _ := answerhead.ReasonOf(err)
	return &answerhead.Error{Reason: reason}
}

// isAnswerFramed reports whether the answer's head, if it arrived, states how the answer ends: by
// a length or chunks.
func (a *attempt) isAnswerFramed() bool { return a.exchange == nil || a.exchange.IsFramed() }

// abort ends the attempt with this instance's own reason. The first reason wins.
func (a *attempt) abort(why error) {
	a.abortReason.CompareAndSwap(nil, &why)
	a.conn.Close()
}

// abortQuarantined aborts the attempt because the request has become quarantined, unless its
// answer has begun or it is what tells its parts apart.
func (a *attempt) abortQuarantined() {
	if a.answerBegan.Load() {
		return
	}
	if j := a.node.judge(a.features()); j.Verdict == quarantine.Quarantined {
		a.node.counters.quarantinedInFlight.Inc(1)
		a.abort(a.quarantineError(j))
	}
}

// abortReasonOr returns this instance's reason to abort the attempt, or else the
// apparent error.
func (a *attempt) abortReasonOr(apparent error) error {
	if why := a.abortReason.Load(); why != nil {
		return *why
	}
	return apparent
}

// isOwnAnswer reports whether an answer belongs to this request. The advisories in
// a late answer to another request are recorded as well.
func (a *attempt) isOwnAnswer(h *fasthttp.ResponseHeader) bool {
	id := string(h.Peek(platform.HeaderRequestID))
	if id == a.req.ID || (id == "" && h.StatusCode() >= http.StatusBadRequest) {
		return true
	}
	lateSource := a.answerSource()
	lateSource.auxiliary = true
	a.node.recordAnswerHead(lateSource, advisory.Attempt{}, h)
	return false
}

func (a *attempt) answerSource() answerSource {
	return answerSource{incarnation: a.replica.ID, service: a.service.Name}
}

func (a *attempt) fillRequest(req *fasthttp.Request, fetchFrom string) {
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(a.req.Method)
	req.SetRequestURI(a.req.Target)
	req.Header.SetHost(a.req.Host)
	send := &platform.Attempt{
		Replica:   a.replica.Name,
		Customer:  a.customer,
		TimeLeft:  a.deadline - a.node.now(),
		FetchFrom: fetchFrom,
		Urgency:   -1,
		LastEvent: a.req.LastEventID,
	}
	if a.service.Engine != nil {
		send.Urgency = a.rank / customerRankFactor
	}
	if a.job != nil {
		send.Inputs = a.job.handles
	}
	if a.stream.lastEventID != "" {
		send.LastEvent = a.stream.lastEventID
	}
	platform.SetAttemptHeaders(a.req, send, req.Header.Add)
	req.SetBodyRaw(a.req.Body)
}

// shouldRetryFailure reports whether to try another replica after a replica
// answered with a server error, and consumes the retry budget if so. Otherwise the
// client gets that answer.
func (a *attempt) shouldRetryFailure() bool {
	return a.route.Kind == catalog.Repeatable && len(a.tried) < a.route.MaxAttempts && a.hasUntriedReplica() && a.consumeRetryBudget()
}

func (a *attempt) hasUntriedReplica() bool {
	for _, r := range a.eligibleReplicas(a.node.snapshot.Load()) {
		if !a.tried[r.ID] && !a.avoid[r.ID] {
			return true
		}
	}
	return false
}
