package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/outcome"
	"quinceroad/coordination/quarantine"
	"quinceroad/coordination/regions"
	"quinceroad/coordination/retry"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/exchange"
	"quinceroad/state/catalog"
)

const (
	standardLeft  = 30 * time.Second       // of a request that states no deadline
	backSoon      = 300 * time.Millisecond // when a client may come back where nothing is known of when, one heartbeat and a half
	backLater     = time.Second            // the same while no replica may take it: what cold ones get is counted by the second
	mostUnsent    = 4                      // sends of one request that reached nobody or were turned away
	mostWaits     = 6                      // for stages of a stream that broke off: with backSoon 1.8 s, less than clients wait for an event
	mostRedone    = 2                      // times that a request's stages are run again
	retryPart     = 3                      // clients wait at most this part of the time they have left
	retryMargin   = 0.95                   // of that part, so that a client's clock may differ a little
	shareOfSlack  = 0.6                    // of the retries that the deployment allows beside its ratio
	shareOfRatio  = 0.75                   // of the ratio itself
	failureWeight = 0.05                   // of a new sign in a service's share of failures: the last 20 or so count
)

// serviceRates is what this instance knows of a service as a whole.
type serviceRates struct {
	budget *retry.Budget
	fails  float64 // share of requests that replicas fail
}

// serving is one request on its way through.
type serving struct {
	node        *Node
	w           http.ResponseWriter
	req         *exchange.Request
	world       *world
	route       *catalog.Route
	service     *catalog.Service
	customer    string
	rank        int
	record      *outcome.Record
	end         time.Duration          // by when it must be answered, by the process's clock
	look        *look                  // whether the replica of its last attempt has ended; nil: nobody asked
	trial       *trialLease            // its turn, once it is a suspect
	fingerprint quarantine.Fingerprint // of what its caller repeats when it comes again

	job     *stageJob
	tried   map[string]bool // replicas that may have run it
	avoid   map[string]bool // replicas that turned it away
	unsent  int
	redone  int
	waits   int                    // for stages of a stream that broke off
	replica string                 // the last one it was sent to
	region  string                 // of that
	boundBy *catalog.Configuration // that bound was read from
	bound   regions.Allowed
	owner   string // of the pools that its stages were asked of last
	stream  streamState
	staged  time.Duration // that its stages took
	expects expectation   // of the owner
	first   time.Duration // from its arrival to the first event
	gap     time.Duration // longest pause between events
	fetch   string        // from where the last engine was to fetch
	chosen  chooser       // of the last replica
	leaves  bool          // the last replica said so as it answered
}

// chooser is who chose a replica for a request.
type chooser string

const (
	byOwner    chooser = "owner"
	byInstance chooser = "instance" // that serves the request
)

// serve takes a request through to its answer.
func (n *Node) serve(ctx context.Context, w http.ResponseWriter, req *exchange.Request) {
	n.counters.requests.Inc(1)
	s, err := n.admit(w, req)
	if err != nil {
		n.answerOwn(w, req, err)
		return
	}
	ctx, cancel := n.clock.WithDeadline(ctx, s.end)
	defer cancel()
	defer s.endJob()
	defer s.endTrial()
	err = s.run(ctx)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		err = errLeft // whatever it looked like
	}
	s.node.customers.count(nameOf(s.customer), err, s.beyondShare(err))
	s.log(err)
	if err != nil {
		s.fail(ctx, err)
	}
}

// admit finds the request's route, customer and service.
func (n *Node) admit(w http.ResponseWriter, req *exchange.Request) (*serving, error) {
	world := n.world.Load()
	if world.config == nil {
		return nil, &answerError{status: http.StatusServiceUnavailable, after: backSoon, text: errNoConfiguration.Error()}
	}
	route := world.config.Match(req.Host, req.Path)
	if route == nil {
		return nil, &answerError{status: http.StatusNotFound, text: "no route for this host and path"}
	}
	s := &serving{
		node: n, w: w, req: req, world: world, route: route,
		record: outcome.NewRecord(),
		tried:  make(map[string]bool),
		avoid:  make(map[string]bool),
		rank:   route.Priority*rankStep + route.Priority,
	}
	if !route.Anonymous {
		customer := world.config.Customers[req.Key]
		if customer == nil {
			return nil, &answerError{status: http.StatusUnauthorized, text: "the key is not known"}
		}
		s.customer = customer.Name
		if customer.Priority != platform.NoPriority {
			s.rank = customer.Priority*rankStep + route.Priority
		}
	}
	if !n.acceptsRequest(route.Kind == catalog.Stream) {
		return nil, &answerError{status: http.StatusServiceUnavailable, text: errStopping.Error()}
	}
	s.service = world.config.Services[route.PickService(platform.Hash(req.ID))]
	if !world.listed {
		return nil, &answerError{status: http.StatusServiceUnavailable, after: backSoon, text: errNoReplicas.Error()}
	}
	if s.service == nil {
		return nil, &answerError{status: http.StatusServiceUnavailable, after: backSoon, text: "the route's service is not configured"}
	}
	if len(req.Pieces) != len(route.Stages) {
		return nil, &answerError{status: http.StatusBadRequest, text: "the piece counts don't fit the route's stages"}
	}
	s.end = req.Arrived + s.allowed()
	s.fingerprint = quarantine.FingerprintOf(s.customer, req.Method, req.Host, req.Target, req.Body)
	s.rates(func(r *serviceRates) { r.budget.RecordSuccess() })
	return s, nil
}

// since is how long ago the request came.
func (s *serving) since() time.Duration { return s.node.now() - s.req.Arrived }

// rankStep puts a customer's priority before the route's.
const rankStep = 10

// allowed is the time that the request may take: the client's, and the route's.
func (s *serving) allowed() time.Duration {
	left := s.req.Deadline
	if left == 0 {
		left = standardLeft
	}
	if s.route.Timeout > 0 {
		left = min(left, s.route.Timeout)
	}
	return left
}

// rates runs f on what is known of the request's service.
func (s *serving) rates(f func(*serviceRates)) {
	n := s.node
	instances := float64(n.size())
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	r := n.rates[s.service.Name]
	if r == nil {
		slack := n.settings.RetrySlack * shareOfSlack / instances
		r = &serviceRates{budget: retry.NewBudget(n.settings.RetryRatio*shareOfRatio, max(slack, 1))}
		n.rates[s.service.Name] = r
	}
	f(r)
}

// mayRepeat reports whether one more arrival of the request at a replica is
// within the budget that all instances share, and takes it.
func (s *serving) mayRepeat() bool {
	ok := false
	s.rates(func(r *serviceRates) { ok = r.budget.Take() })
	return ok
}

// came reports whether the client's deadline says that it came back.
func (s *serving) came() bool {
	n := s.node
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	return n.deadlines.cameBack(s.route.Name, s.req.Deadline)
}

// errors of attempts that another attempt may mend.
var (
	errNotRun    = errors.New("the replica turned the request away")
	errInputs    = errors.New("the replica did not find the request's inputs")
	errUnreached = errors.New("no replica was reached")
	errEmptied   = errors.New("every hall that has replicas is being emptied")
	errCold      = errors.New("all replicas are cold and get as much as they carry")
	errBroken    = errors.New("the answer broke off")
	errSilent    = errors.New("the replica did not answer in time")
	errLifeOver  = errors.New("the replica has started again")
	errOwnFault  = errors.New("the replica failed the request")
	errCutOff    = errors.New("the stream broke off midway")
	errLeft      = errors.New("the client has gone")
)

// run sends the request until it is answered or nothing more may be done.
func (s *serving) run(ctx context.Context) error {
	for {
		if err := s.clear(ctx); err != nil {
			return err
		}
		if err := s.prepare(ctx); err != nil {
			if s.waitsFor(ctx, err) || s.waitsForRest(ctx, err) {
				continue
			}
			return err
		}
		if err := s.clear(ctx); err != nil { // its stages took their time
			return err
		}
		s.placeApart(ctx)
		s.placeAgain(ctx)
		engine, fetch, err := s.pick()
		if err != nil {
			if s.waitsForRest(ctx, err) {
				continue
			}
			return err
		}
		err = s.attempt(ctx, engine, fetch)
		if err == nil {
			return nil
		}
		if done(ctx) || errors.Is(err, errLeft) || !s.again(err) {
			return err
		}
	}
}

// clear ends a request that is condemned, and has a suspect wait for its turn.
func (s *serving) clear(ctx context.Context) error {
	verdict := s.node.verdict(s.fingerprint)
	if verdict == quarantine.Suspect && s.trial == nil {
		t, err := s.node.acquireTrial(ctx, s.fingerprint)
		if err != nil {
			s.node.counters.trialsDenied.Inc(1)
			return err
		}
		s.trial = t
		verdict = s.node.verdict(s.fingerprint) // the last trial may have shown more
		event.NodeTries.Log(s.node.log, "request", s.req.ID, "fingerprint", s.fingerprint, "verdict", verdict)
	}
	if verdict == quarantine.Quarantined {
		s.node.counters.quarantined.Inc(1)
		return errQuarantined
	}
	return nil
}

// endTrial gives the request's turn back, once it is known what the trial has
// shown: the client has its answer before that.
func (s *serving) endTrial() {
	t, l := s.trial, s.look
	switch {
	case t == nil:
	case l == nil:
		t.release()
	default:
		go func() {
			s.node.awaitLook(context.Background(), l)
			t.release()
		}()
	}
}

// waitsFor reports, after a pause, whether a stream that broke off midway may
// ask for its stages once more: it can't be refused any more.
func (s *serving) waitsFor(ctx context.Context, err error) bool {
	var refused *refusedError
	var failed *failedError
	if !s.stream.headSent || s.waits >= mostWaits || !errors.As(err, &refused) && !errors.As(err, &failed) {
		return false
	}
	s.waits++
	return process.Pause(ctx, backSoon)
}

// again decides whether the request is sent once more after an attempt ended so.
func (s *serving) again(err error) bool {
	switch {
	case errors.Is(err, errPaced): // it is known now from when on there is one
		return true
	case errors.Is(err, errUnreached):
		s.avoid[s.replica] = true
		s.unsent++
		return s.unsent < mostUnsent
	case errors.Is(err, errInputs):
		s.endJob()
		s.redone++
		return s.redone <= mostRedone && s.mayRepeat()
	case errors.Is(err, errNotRun):
		if _, rests := s.node.advisories.restsTo(s.node.now(), s.replica); !rests { // else it may run the request after that
			s.avoid[s.replica] = true
		}
		s.unsent++
		return s.unsent < mostUnsent && s.mayRepeat()
	}
	if s.job != nil && (len(s.job.handles) == 0 || s.stream.headSent) {
		s.endJob() // its results are gone, or it has none: the owner chooses anew
	}
	if errors.Is(err, errOwnFault) {
		return true // the answer was given up for another attempt, which was paid for
	}
	repeatable := s.route.Kind == catalog.Repeatable || (s.route.Kind == catalog.Stream && s.route.Resumable)
	return repeatable && len(s.tried) < s.route.MaxAttempts && s.mayRepeat()
}
