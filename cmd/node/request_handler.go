package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"quinceroad/cmd/node/eventstream"
	"quinceroad/cmd/node/liveness"
	"quinceroad/cmd/node/triallease"
	"quinceroad/cmd/process"
	"quinceroad/coordination/origin"
	"quinceroad/coordination/outcome"
	"quinceroad/coordination/quarantine"
	"quinceroad/coordination/regions"
	"quinceroad/coordination/retry"
	"quinceroad/platform"
	"quinceroad/protocol/clientrequest"
	"quinceroad/state/catalog"
)

const (
	defaultTimeLimit = 30 * time.Second       // for a request without a deadline
	shortRetryAfter  = 300 * time.Millisecond // Retry-After without a better estimate: 1.5 heartbeat intervals
	// Retry-After while no replica may accept the request. The limit of warming replicas is
	// per second.
	longRetryAfter     = time.Second
	maxUnexecutedSends = 4 // sends of one request that reached no replica or were refused
	maxSlotDenials     = 4 // slots of brittle replicas that one request is denied
	// Waits for the stages of a broken stream. With shortRetryAfter they last 1.8 s, less
	// than clients wait for an event.
	maxStageWaits     = 6
	maxStageReruns    = 2 // reruns of a request's stages
	retryAfterDivisor = 3 // a client is asked to wait at most its remaining time divided by this
	// Fraction of that wait that is stated, as the client's clock may differ slightly.
	retryAfterMargin = 0.95
	// Fraction that is used of the retries that the deployment allows in addition to its
	// ratio.
	retrySlackShare   = 0.6
	retryRatioShare   = 0.75 // fraction that is used of the retry ratio
	minRetrySlack     = 1    // an instance's share of them at least, and all that it has before it knows the others
	failureRateWeight = 0.05 // weight of a new signal in a service's failure rate: about the last 20 count
)

// serviceRates holds this instance's retry budget and failure rate of a service.
type serviceRates struct {
	budget      *retry.Budget
	hasShare    bool    // the budget is this instance's share of the slack, not that of its start
	failureRate float64 // share of requests that fail at replicas
}

// requestHandler serves one client request, from admission to its answer.
type requestHandler struct {
	node        *Node
	w           http.ResponseWriter
	req         *clientrequest.Request
	snapshot    *snapshot
	route       *catalog.Route
	service     *catalog.Service
	customer    string
	rank        int
	record      *outcome.Record
	deadline    time.Duration                                // time at which the answer is due, by the process's clock
	probe       *liveness.Probe                              // probe of the last attempt's replica; nil: none
	trials      map[quarantine.Fingerprint]*triallease.Lease // trial leases of its suspect features
	fingerprint quarantine.Fingerprint                       // identifies the request across a caller's retries
	parts       []quarantine.Fingerprint                     // of what it shares with other requests: parts of its prompt, the key of its items

	job                 *stageJob
	tried               map[string]bool // replicas that may have run the request
	avoid               map[string]bool // replicas that refused it or were not reached
	unexecutedSends     int
	slotDenials         int
	stageReruns         int
	stageWaits          int                    // waits for the stages of a broken stream
	lastReplica         string                 // replica of the last send
	lastBuild           string                 // software version of lastReplica
	lastRegion          string                 // region of lastReplica
	lastRelay           string                 // peer that relayed the last attempt; "": none
	cachedRegionsConfig *catalog.Configuration // configuration that cachedRegions was read from
	cachedRegions       regions.Allowed
	lastOwner           string // last owner that was asked to run its stages
	stream              streamState
	binding             origin.Binding  // build that began its stream, once an event has arrived, here or at an earlier try
	stagesDuration      time.Duration   // time from its arrival until its stages were done
	forecast            requestForecast // the owner's estimates
	timeToFirstEvent    time.Duration   // from the request's arrival
	maxEventGap         time.Duration   // longest interval between two events
	lastFetchFrom       string          // address from which the last engine was to fetch cached prompt parts
	chosenBy            chooser         // party that chose the last replica
	lastReplicaDrains   bool            // the last replica stated a drain in its answer
}

// chooser names the party that chose a replica for a request.
type chooser string

const (
	chosenByOwner    chooser = "owner"
	chosenByInstance chooser = "instance" // the instance that serves the request
)

// handleRequest serves a request until it is answered.
func (n *Node) handleRequest(ctx context.Context, w http.ResponseWriter, req *clientrequest.Request) {
	n.counters.requests.Inc(1)
	s, err := n.admit(w, req)
	if err != nil {
		n.writeError(w, req, err)
		return
	}
	ctx, cancel := n.clock.WithDeadline(ctx, s.deadline)
	defer cancel()
	defer s.endJob()
	defer s.endTrial()
	err = s.run(ctx)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		err = errClientGone // whatever error the attempt ended with
	}
	s.node.customers.Record(boundedCustomerName(s.customer), err, s.isOverShare(err))
	s.logRequest(err)
	if err != nil {
		s.answerFailure(ctx, err)
	}
}

// admit finds the request's route, customer and service.
func (n *Node) admit(w http.ResponseWriter, req *clientrequest.Request) (*requestHandler, error) {
	snap := n.snapshot.Load()
	if snap.config == nil {
		return nil, &answerError{status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter, text: errNoConfiguration.Error()}
	}
	route := snap.config.Match(req.Host, req.Path)
	if route == nil {
		return nil, &answerError{status: http.StatusNotFound, text: "no route for this host and path"}
	}
	s := &requestHandler{
		node: n, w: w, req: req, snapshot: snap, route: route,
		record: outcome.NewRecord(),
		tried:  make(map[string]bool),
		avoid:  make(map[string]bool),
		rank:   route.Priority*customerRankFactor + route.Priority,
	}
	if !route.Anonymous {
		customer := snap.config.Customers[req.Key]
		if customer == nil {
			return nil, &answerError{status: http.StatusUnauthorized, text: "the key is not known"}
		}
		s.customer = customer.Name
		if customer.Priority != platform.NoPriority {
			s.rank = customer.Priority*customerRankFactor + route.Priority
		}
	}
	s.deadline = req.ArrivedAt + s.timeLimit()
	if !n.acceptsUntil(s.deadline, s.canFailOver()) {
		return nil, &answerError{status: http.StatusServiceUnavailable, text: errStopping.Error()}
	}
	s.service = snap.config.Services[route.PickService(platform.HashString(req.ID))]
	if !snap.replicasLoaded {
		return nil, &answerError{status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter, text: errNoReplicas.Error()}
	}
	if s.service == nil {
		return nil, &answerError{status: http.StatusServiceUnavailable, retryAfter: shortRetryAfter, text: "the route's service is not configured"}
	}
	if len(req.ItemCounts) != len(route.Stages) {
		return nil, &answerError{status: http.StatusBadRequest, text: "the piece counts don't fit the route's stages"}
	}
	s.fingerprint = quarantine.FingerprintOf(s.customer, req.Method, req.Host, req.Target, req.Body)
	if s.service.Engine != nil {
		s.parts = quarantine.PartFingerprints(s.service.Name, req.SharedPrefix())
	}
	if len(route.Stages) > 0 && req.ItemKey != "" {
		s.parts = append(s.parts, quarantine.KeyFingerprint(boundedCustomerName(s.customer), req.ItemKey))
	}
	s.withServiceRates(func(r *serviceRates) { r.budget.RecordSuccess() })
	return s, nil
}

// elapsed returns the time since the request arrived.
func (s *requestHandler) elapsed() time.Duration { return s.node.now() - s.req.ArrivedAt }

// customerRankFactor ranks requests by their customer's priority first, then by
// their route's.
const customerRankFactor = 10

// timeLimit returns the time that the request may take: its deadline, limited by
// the route's timeout.
func (s *requestHandler) timeLimit() time.Duration {
	left := s.req.Timeout
	if left == 0 {
		left = defaultTimeLimit
	}
	if s.route.Timeout > 0 {
		left = min(left, s.route.Timeout)
	}
	return left
}

// withServiceRates runs f on the rates of the request's service. It holds detectorMu
// meanwhile.
func (s *requestHandler) withServiceRates(f func(*serviceRates)) {
	n := s.node
	share := max(n.settings.RetrySlack*retrySlackShare/float64(n.liveInstanceCount()), minRetrySlack)
	knowsOthers := n.knowsOthers()
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	r := n.rates[s.service.Name]
	if r == nil {
		r = &serviceRates{budget: retry.NewBudget(n.settings.RetryRatio*retryRatioShare, minRetrySlack)}
		n.rates[s.service.Name] = r
	}
	switch {
	case r.hasShare:
		r.budget.SetCapacity(share)
	case knowsOthers:
		r.budget.Fill(share)
		r.hasShare = true
	}
	f(r)
}

// knowsOthers reports whether the number of live instances can be relied on: right after its
// start an instance sees itself alone, and is so only if its settings name no other.
func (n *Node) knowsOthers() bool {
	now := n.now()
	if now >= startupViewTimeout || len(n.otherSeeds()) == 0 {
		return true
	}
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	return n.members.Settled(now)
}

// consumeRetryBudget reports whether one more send of the request is within this
// instance's part of the retry budget, and consumes it if so.
func (s *requestHandler) consumeRetryBudget() bool {
	ok := false
	s.withServiceRates(func(r *serviceRates) { ok = r.budget.Take() })
	return ok
}

// isClientRetry reports whether the client retries a request: it takes a stream up again, or
// its deadline shows that it was refused, as far as this instance knows the usual ones.
func (s *requestHandler) isClientRetry() bool {
	n := s.node
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	isShort := n.deadlines.isRetry(s.route.Name, s.req.Timeout)
	return isShort || s.req.LastEventID != ""
}

// Errors of attempts and of the choice of a replica.
var (
	errReplicaRefused   = errors.New("the replica turned the request away")
	errMissingInputs    = errors.New("the replica did not find the request's inputs")
	errNoReplicaReached = errors.New("no replica was reached")
	errHallsDrained     = errors.New("every hall that has replicas is being emptied")
	errReplicasWarming  = errors.New("all replicas are cold and get as much as they carry")
	errAnswerBroken     = errors.New("the answer broke off")
	errReplicaTimeout   = errors.New("the replica did not answer in time")
	errReplicaRestarted = errors.New("the replica has started again")
	errReplicaFailed    = errors.New("the replica failed the request")
	errStreamBroken     = eventstream.ErrBroken
	errClientGone       = errors.New("the client has gone")
	errNoReplicaOfBuild = errors.New("no replica of the build that began the stream accepts work")
)

// run makes attempts until the request is answered or may not be retried.
func (s *requestHandler) run(ctx context.Context) error {
	if err := s.bindResumedStream(ctx); err != nil {
		return err
	}
	for {
		if err := s.checkQuarantine(ctx); err != nil {
			return err
		}
		if err := s.prepareStages(ctx); err != nil {
			if s.retriesInTrial(err) || s.waitToRetryStages(ctx, err) || s.waitForBackoff(ctx, err) {
				continue
			}
			return err
		}
		if err := s.checkQuarantine(ctx); err != nil { // the verdict may have changed while the stages ran
			return err
		}
		s.isolateSuspect(ctx)
		s.replaceForbiddenEngine(ctx)
		replica, fetchFrom, err := s.pickReplica()
		if err != nil {
			if s.waitForBackoff(ctx, err) {
				continue
			}
			return err
		}
		err = s.attempt(ctx, replica, fetchFrom)
		if err == nil {
			return nil
		}
		if isDone(ctx) || errors.Is(err, errClientGone) || !s.shouldRetry(err) {
			return err
		}
	}
}

// waitToRetryStages pauses and reports whether a stream that broke off midway may
// request its stages again: it can't be refused any more, as its headers are sent.
func (s *requestHandler) waitToRetryStages(ctx context.Context, err error) bool {
	var refused *refusedError
	var failed *failedError
	if !s.stream.headersSent || s.stageWaits >= maxStageWaits || !errors.As(err, &refused) && !errors.As(err, &failed) {
		return false
	}
	s.stageWaits++
	return process.Sleep(ctx, shortRetryAfter)
}

// shouldRetry decides whether the request is sent again after an attempt ended
// with err.
func (s *requestHandler) shouldRetry(err error) bool {
	var denied *slotDenial
	switch {
	case s.stream.isAnswer:
		return false
	case errors.Is(err, errRateLimited): // the denial has recorded the time of the next send grant
		return true
	case errors.As(err, &denied): // the grantor is not asked again before that time
		s.slotDenials++
		return s.slotDenials < maxSlotDenials || s.hasResults()
	case errors.Is(err, errBuildNotLogged): // the same holds for all replicas among which to choose
		return false
	case errors.Is(err, errNoReplicaReached):
		s.avoid[s.lastReplica] = true
		s.unexecutedSends++
		return s.unexecutedSends < maxUnexecutedSends
	case errors.Is(err, errMissingInputs):
		s.endJob()
		s.stageReruns++
		return s.stageReruns <= maxStageReruns && s.consumeRetryBudget()
	case errors.Is(err, errReplicaRefused):
		// A replica in backoff may run the request afterwards.
		if _, inBackoff := s.node.advisories.backoffUntil(s.node.now(), s.lastReplica); !inBackoff {
			s.avoid[s.lastReplica] = true
		}
		s.unexecutedSends++
		return s.unexecutedSends < maxUnexecutedSends && s.consumeRetryBudget()
	}
	if s.job != nil && (len(s.job.handles) == 0 || s.stream.headersSent) {
		s.endJob() // its results are gone or it has none: the owner chooses an engine again
	}
	if errors.Is(err, errReplicaFailed) {
		return true // forwardAnswer dropped the answer for another attempt and has consumed the retry budget
	}
	repeatable := s.route.Kind == catalog.Repeatable || (s.route.Kind == catalog.Stream && s.route.Resumable)
	return repeatable && len(s.tried) < s.route.MaxAttempts && s.consumeRetryBudget()
}
