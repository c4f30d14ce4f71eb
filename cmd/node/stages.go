package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/cmd/process"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/ownership"
	"quinceroad/coordination/regions"
	"quinceroad/coordination/shares"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	admissionTimeout   = 500 * time.Millisecond // timeout for an owner to admit or refuse a job
	ownerCheckInterval = 150 * time.Millisecond // interval between checks whether the owner is alive
	// Time since the process's start after which requests no longer wait for a settled view
	// of the owners.
	startupViewTimeout  = 700 * time.Millisecond
	startupViewInterval = 20 * time.Millisecond // interval between checks of that view
	maxOwnersTried      = 3                     // per request
	maxOwnerReplies     = 2                     // per job: admission, then results
)

// refusedError reports that the owner refused a request's stages.
type refusedError struct {
	retryAfter time.Duration
	forecast   requestForecast
}

// Error implements error.
func (e *refusedError) Error() string {
	if s := e.forecast.standing; !s.Within {
		return fmt.Sprintf("over its customer's share, back in %v", e.retryAfter)
	}
	return fmt.Sprintf("stages refused, back in %v", e.retryAfter)
}

// failedError reports that the stages of a request failed.
type failedError struct {
	reason     string
	retryAfter time.Duration
}

// Error implements error.
func (e *failedError) Error() string { return "stages failed: " + e.reason }

var errOwnerLost = errors.New("the owner is not heard of any more")

// stageJob is a request's job at its cell's owner. reportFirstEvent notifies the owner
// that the results have been read; end must be called when the request ends.
type stageJob struct {
	handles            []string
	engine             string // ID of the chosen replica; "" if the owner has none
	fetchFrom          string
	region             string    // region whose replicas run the stages
	hasSendGrant       bool      // the owner has consumed a send grant of the engine for the request
	crashes            int       // number of replicas that had crashed under the request when its engine was chosen
	concurrentSuspects int       // number of other suspects at the engine at that time
	resultsJob         *stageJob // job that holds the results if the engine was chosen again; nil: this job
	engineJob          *stageJob // job that holds the engine in that case
	forecast           requestForecast
	notifyOwner        func(*pb.StagesNews)
	end                func()
}

// requestForecast is an owner's estimate of a request's durations: that of its stages,
// and the following time at its engine until the first event.
type requestForecast struct {
	stages, engine                time.Duration
	prefillTokens, transferTokens uint32 // tokens of the prompt that the engine computes, and that it fetches from a cache
	standing                      shares.Standing
}

func decodeForecast(r *pb.StagesReply) requestForecast {
	return requestForecast{
		stages:        time.Duration(r.ExpectedUs) * time.Microsecond,
		engine:        time.Duration(r.EngineUs) * time.Microsecond,
		prefillTokens: r.Reads, transferTokens: r.Moves,
		standing: decodeStanding(r.Standing),
	}
}

// withEngineOf returns a job with j's results and with the engine of another job.
func (j *stageJob) withEngineOf(engineJob *stageJob) *stageJob {
	return &stageJob{
		resultsJob: j, engineJob: engineJob,
		handles: j.handles, engine: engineJob.engine, fetchFrom: engineJob.fetchFrom, hasSendGrant: engineJob.hasSendGrant, region: j.region, concurrentSuspects: engineJob.concurrentSuspects, forecast: j.forecast,
		notifyOwner: func(m *pb.StagesNews) {
			j.notifyOwner(m)
			engineJob.notifyOwner(m)
		},
		end: func() {
			engineJob.end()
			j.end()
		},
	}
}

// releaseEngine releases the job's engine and returns the job that holds its
// results, nil if it has none.
func (j *stageJob) releaseEngine() *stageJob {
	switch {
	case j.engineJob != nil:
		j.engineJob.end()
		return j.resultsJob
	case len(j.handles) == 0:
		j.end()
		return nil
	}
	return j
}

func (j *stageJob) reportFirstEvent() { j.notifyOwner(&pb.StagesNews{First: true}) }

// stagesRequest is a request to the owner of one region's cell.
type stagesRequest struct {
	ask            *pb.StagesAsk
	region         string                 // region of the cell
	allowedRegions func() regions.Allowed // regions that may serve the request, by the configuration in force
	arrivedAt      time.Duration          // arrival of the request
	objective      time.Duration          // relative to the arrival
	deadline       time.Duration          // relative to the arrival
	onSubmit       func(owner string)     // called with the name of each owner that is tried
}

// runStages submits the stages of a request to the owner of its cell, or to the successor,
// which is the next instance in rank order, if that owner is lost.
func (n *Node) runStages(ctx context.Context, req *stagesRequest) (*stageJob, error) {
	ask := req.ask
	n.awaitOwnerView(ctx, int(ask.Cell), req.region)
	var err error
	tried := make(map[string]bool)
	for range maxOwnersTried {
		owner, ok := n.nextOwner(req, tried)
		if !ok {
			break
		}
		tried[owner.Name] = true
		req.onSubmit(owner.Name)
		elapsed := n.now() - req.arrivedAt
		ask.ObjectiveUs = (req.objective - elapsed).Microseconds()
		ask.DeadlineUs = (req.deadline - elapsed).Microseconds()
		var job *stageJob
		if job, err = n.submitToOwner(ctx, owner, req); err == nil {
			job.region = req.region
			return job, nil
		}
		var refused *refusedError
		var failed *failedError
		if errors.As(err, &refused) || errors.As(err, &failed) || errors.Is(err, errRegionDisallowed) || errors.Is(err, errQuarantined) || errors.Is(err, errBecameSuspect) || ctx.Err() != nil {
			return nil, err
		}
		event.NodeOwnerUnreachable.Log(n.log, "owner", owner.Name, "request", ask.RequestId, "error", err)
		n.gossipMu.Lock()
		n.members.MarkUnreachable(n.now(), owner.Name)
		n.gossipMu.Unlock()
		ask.Again = true // its items were admitted before
	}
	return nil, errors.Join(errOwnerLost, err)
}

// awaitOwnerView waits, right after the process's start, until the view suffices to
// decide who owns a cell: with partial views, instances would choose different owners.
func (n *Node) awaitOwnerView(ctx context.Context, cell int, region string) {
	for n.now() < startupViewTimeout && !n.canDecideOwner(cell, region) && ctx.Err() == nil {
		process.Sleep(ctx, startupViewInterval)
	}
}

// canDecideOwner reports whether the view of the instances suffices to decide who owns
// a cell.
func (n *Node) canDecideOwner(cell int, region string) bool {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	now := n.now()
	return ownership.CanDecide(n.members.Alive(now), cell, region, n.members.Settled(now))
}

// nextOwner returns the next instance in rank order that may own a cell. An owner
// receives data of a request and its prompt, so it must be in an allowed region. If no
// instance is, this instance acts as the owner, as the client has chosen it.
func (n *Node) nextOwner(req *stagesRequest, tried map[string]bool) (gossip.Instance, bool) {
	allowed := req.allowedRegions()
	live, cell := n.live(), int(req.ask.Cell)
	usable := func(i gossip.Instance) bool { return !tried[i.Name] && allowed.Allows(i.Region) }
	candidates := ownership.Candidates(live, cell, req.region)
	if i := slices.IndexFunc(candidates, usable); i >= 0 {
		return candidates[i], true
	}
	all := ownership.Rank(live.Instances, cell, req.region)
	if i := slices.IndexFunc(all, usable); i >= 0 {
		return all[i], true
	}
	self := n.settings.Name
	if allowed.IsRestricted() && !tried[self] {
		return gossip.Instance{Name: self}, true
	}
	return gossip.Instance{}, false
}

// submitToOwner submits a job to one owner, locally or over a link, and waits for its
// results.
func (n *Node) submitToOwner(ctx context.Context, owner gossip.Instance, req *stagesRequest) (*stageJob, error) {
	if owner.Name == n.settings.Name {
		return n.submitToLocalOwner(ctx, req)
	}
	n.counters.bytesTo(n.distanceTo(owner.Hall)).stages.Inc(int64(proto.Size(req.ask)))
	stream, err := n.links.Open(owner.PeerAddress, frame.RunStages, req.ask)
	if err != nil {
		return nil, err
	}
	replies := make(chan *pb.StagesReply, maxOwnerReplies)
	go func() {
		defer close(replies)
		for range maxOwnerReplies {
			r := &pb.StagesReply{}
			if frame.Read(stream, r) != nil {
				return
			}
			replies <- r
		}
	}()
	end := sync.OnceFunc(func() { _ = stream.Close() })
	job := &stageJob{end: end, notifyOwner: func(m *pb.StagesNews) { _ = frame.Write(stream, frame.RunStages, m) }}
	return n.awaitResults(ctx, owner, req, replies, job)
}

func (n *Node) submitToLocalOwner(ctx context.Context, req *stagesRequest) (*stageJob, error) {
	updates := make(chan *pb.StagesNews, 1)
	replies := make(chan *pb.StagesReply, maxOwnerReplies)
	job := &stageJob{end: sync.OnceFunc(func() { close(updates) }), notifyOwner: func(m *pb.StagesNews) { updates <- m }}
	ask := proto.CloneOf(req.ask) // the local owner may still read it while runStages changes it for the next owner
	go n.owner.cell(int(ask.Cell)).serveRequest(ask, updates, func(r *pb.StagesReply) error {
		replies <- r
		return nil
	})
	return n.awaitResults(ctx, gossip.Instance{}, req, replies, job)
}

// awaitResults waits for the admission and the results of a job, while its owner
// is alive and the cell's region may serve the request.
func (n *Node) awaitResults(ctx context.Context, owner gossip.Instance, req *stagesRequest, replies <-chan *pb.StagesReply, job *stageJob) (*stageJob, error) {
	admission := time.NewTimer(admissionTimeout)
	defer admission.Stop()
	ownerCheck := time.NewTicker(ownerCheckInterval)
	defer ownerCheck.Stop()
	admitted := false
	for {
		select {
		case <-ctx.Done():
			job.end()
			return nil, ctx.Err()
		case r, open := <-replies:
			switch {
			case !open:
				job.end()
				return nil, errOwnerLost
			case r.Refused:
				job.end()
				return nil, &refusedError{retryAfter: time.Duration(r.RetryAfterUs) * time.Microsecond, forecast: decodeForecast(r)}
			case r.Failed != "":
				job.end()
				if r.Failed == reasonQuarantined {
					return nil, errQuarantined
				}
				if r.Failed == reasonSuspect {
					return nil, errBecameSuspect
				}
				return nil, &failedError{reason: r.Failed, retryAfter: time.Duration(r.RetryAfterUs) * time.Microsecond}
			case r.Admitted:
				admitted = true
				job.forecast = decodeForecast(r)
			default:
				job.handles, job.engine, job.fetchFrom, job.concurrentSuspects = r.Handles, n.incarnationOf(r.Engine), r.Fetch, int(r.Beside)
				job.hasSendGrant = r.Paced
				return job, nil
			}
		case <-admission.C:
			if !admitted && owner.Name != "" { // the local owner has no successor
				job.end()
				return nil, errOwnerLost
			}
		case <-ownerCheck.C:
			if !req.allowedRegions().Allows(req.region) {
				job.end()
				return nil, errRegionDisallowed
			}
			if owner.Name != "" && !n.isInstanceAlive(owner) {
				job.end()
				return nil, errOwnerLost
			}
		}
	}
}

// isInstanceAlive reports whether an incarnation of an instance is alive.
func (n *Node) isInstanceAlive(i gossip.Instance) bool {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	return n.members.IsAlive(n.now(), i.Name, i.Incarnation)
}
