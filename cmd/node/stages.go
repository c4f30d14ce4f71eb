package node

import (
	"context"
	"errors"
	"fmt"
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
	verdictFor  = 500 * time.Millisecond // that an owner may take to admit or refuse
	watchOwner  = 150 * time.Millisecond // between looks whether it is still heard of
	meetFor     = 700 * time.Millisecond // from the start, that an instance waits to hear who owns pools
	meetLook    = 20 * time.Millisecond  // between looks at the view while it is not clear
	mostOwners  = 3                      // asked for one request
	mostReplies = 2                      // of an owner to one job
)

// refusedError says that the owner does not take a request's stages.
type refusedError struct {
	after   time.Duration
	expects expectation
}

// Error implements error.
func (e *refusedError) Error() string {
	if s := e.expects.standing; !s.Within {
		return fmt.Sprintf("over its customer's share, back in %v", e.after)
	}
	return fmt.Sprintf("stages refused, back in %v", e.after)
}

// failedError says that the stages of a request could not be done.
type failedError struct {
	why   string
	after time.Duration
}

// Error implements error.
func (e *failedError) Error() string { return "stages failed: " + e.why }

var errOwnerLost = errors.New("the owner is not heard of any more")

// stageJob is a request at its owner. first tells the owner that the results
// are read; end must be called when the request ends.
type stageJob struct {
	handles []string
	engine  string // replica that should run it; "" when the owner knows none
	fetch   string
	region  string    // whose replicas do its work
	paced   bool      // the owner has counted the request against what the engine takes
	ended   int       // replicas that had ended under the request when its engine was chosen
	beside  int       // suspects at the engine then
	results *stageJob // that has the results, where the engine was chosen anew; nil: this one
	placed  *stageJob // that has the engine then
	expects expectation
	news    func(*pb.StagesNews)
	end     func()
}

// expectation is what an owner reckons that a request takes: its stages, then
// its engine to the first event.
type expectation struct {
	stages, engine time.Duration
	reads, moves   uint32 // tokens of its prompt that the engine reads, and fetches
	standing       shares.Standing
}

func expectationOf(r *pb.StagesReply) expectation {
	return expectation{
		stages: time.Duration(r.ExpectedUs) * time.Microsecond,
		engine: time.Duration(r.EngineUs) * time.Microsecond,
		reads:  r.Reads, moves: r.Moves,
		standing: standingOf(r.Standing),
	}
}

// at returns the job with its results, and the engine that was chosen in another.
func (j *stageJob) at(placed *stageJob) *stageJob {
	return &stageJob{
		results: j, placed: placed,
		handles: j.handles, engine: placed.engine, fetch: placed.fetch, paced: placed.paced, region: j.region, beside: placed.beside, expects: j.expects,
		news: func(m *pb.StagesNews) {
			j.news(m)
			placed.news(m)
		},
		end: func() {
			placed.end()
			j.end()
		},
	}
}

// unplaced gives up the job's engine and returns what is left of it: its results,
// nil where it has none.
func (j *stageJob) unplaced() *stageJob {
	switch {
	case j.placed != nil:
		j.placed.end()
		return j.results
	case len(j.handles) == 0:
		j.end()
		return nil
	}
	return j
}

func (j *stageJob) first() { j.news(&pb.StagesNews{First: true}) }

// stageWork is what the owner of one region's cell is asked.
type stageWork struct {
	ask       *pb.StagesAsk
	region    string                 // of the cell
	homes     func() regions.Allowed // as of now
	began     time.Duration          // when the request came
	objective time.Duration          // from then
	deadline  time.Duration          // the same
	asked     func(owner string)
}

// runStages has the stages of a request run by the owner of its cell, or by
// the next in line when that one is lost.
func (n *Node) runStages(ctx context.Context, w *stageWork) (*stageJob, error) {
	ask := w.ask
	n.awaitView(ctx, int(ask.Cell), w.region)
	var err error
	tried := make(map[string]bool)
	for range mostOwners {
		to, ok := n.nextOwner(w, tried)
		if !ok {
			break
		}
		tried[to.Name] = true
		w.asked(to.Name)
		spent := n.now() - w.began
		ask.ObjectiveUs = (w.objective - spent).Microseconds()
		ask.DeadlineUs = (w.deadline - spent).Microseconds()
		var job *stageJob
		if job, err = n.askOwner(ctx, to, w); err == nil {
			job.region = w.region
			return job, nil
		}
		var refused *refusedError
		var failed *failedError
		if errors.As(err, &refused) || errors.As(err, &failed) || errors.Is(err, errNarrowed) || errors.Is(err, errQuarantined) || ctx.Err() != nil {
			return nil, err
		}
		event.NodeOwnerLost.Log(n.log, "owner", to.Name, "request", ask.RequestId, "error", err)
		n.gossipMu.Lock()
		n.members.MarkUnreachable(n.now(), to.Name)
		n.gossipMu.Unlock()
		ask.Again = true // its pieces were admitted once
	}
	return nil, errors.Join(errOwnerLost, err)
}

// awaitView waits, right after the start, until it is heard who owns a cell:
// those that choose by a view of some of the others make many owners at once.
func (n *Node) awaitView(ctx context.Context, cell int, region string) {
	for n.now() < meetFor && !n.clear(cell, region) && ctx.Err() == nil {
		process.Pause(ctx, meetLook)
	}
}

// clear reports whether it is heard who owns a cell, or may.
func (n *Node) clear(cell int, region string) bool {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	now := n.now()
	return ownership.CanDecide(n.members.Alive(now), cell, region, n.members.Settled(now))
}

// nextOwner returns the next instance in line that may own a cell. An owner
// keeps what it is told of a request and its prompt, so it is in a region that
// may; where none is, this instance, whom the client chose, owns the cell.
func (n *Node) nextOwner(w *stageWork, tried map[string]bool) (gossip.Instance, bool) {
	homes := w.homes()
	for _, i := range ownership.Rank(n.alive(), int(w.ask.Cell), w.region) {
		if !tried[i.Name] && homes.Allows(i.Region) {
			return i, true
		}
	}
	self := n.settings.Name
	if homes.IsRestricted() && !tried[self] {
		return gossip.Instance{Name: self}, true
	}
	return gossip.Instance{}, false
}

// askOwner runs a job at one owner: this instance itself, or over a link.
func (n *Node) askOwner(ctx context.Context, to gossip.Instance, w *stageWork) (*stageJob, error) {
	if to.Name == n.settings.Name {
		return n.askSelf(ctx, w)
	}
	if to.Region != n.home {
		n.counters.remoteBytes.stages.Inc(int64(proto.Size(w.ask)))
	}
	stream, err := n.links.Open(to.PeerAddress, frame.Stages, w.ask)
	if err != nil {
		return nil, err
	}
	replies := make(chan *pb.StagesReply, mostReplies)
	go func() {
		defer close(replies)
		for range mostReplies {
			r := &pb.StagesReply{}
			if frame.Read(stream, r) != nil {
				return
			}
			replies <- r
		}
	}()
	end := sync.OnceFunc(func() { _ = stream.Close() })
	job := &stageJob{end: end, news: func(m *pb.StagesNews) { _ = frame.Write(stream, frame.Stages, m) }}
	return n.await(ctx, to, w, replies, job)
}

func (n *Node) askSelf(ctx context.Context, w *stageWork) (*stageJob, error) {
	news := make(chan *pb.StagesNews, 1)
	replies := make(chan *pb.StagesReply, mostReplies)
	job := &stageJob{end: sync.OnceFunc(func() { close(news) }), news: func(m *pb.StagesNews) { news <- m }}
	ask := proto.CloneOf(w.ask) // the next owner is asked by another one while this one may still read it
	go n.owner.cell(int(ask.Cell)).run(ask, news, func(r *pb.StagesReply) error {
		replies <- r
		return nil
	})
	return n.await(ctx, gossip.Instance{}, w, replies, job)
}

// await waits for the verdict and the results of a job, while its owner is
// heard of and the cell's region may serve the request.
func (n *Node) await(ctx context.Context, owner gossip.Instance, w *stageWork, replies <-chan *pb.StagesReply, job *stageJob) (*stageJob, error) {
	verdict := time.NewTimer(verdictFor)
	defer verdict.Stop()
	look := time.NewTicker(watchOwner)
	defer look.Stop()
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
				return nil, &refusedError{after: time.Duration(r.RetryAfterUs) * time.Microsecond, expects: expectationOf(r)}
			case r.Failed != "":
				job.end()
				if r.Failed == whyCondemned {
					return nil, errQuarantined
				}
				return nil, &failedError{why: r.Failed, after: time.Duration(r.RetryAfterUs) * time.Microsecond}
			case r.Admitted:
				admitted = true
				job.expects = expectationOf(r)
			default:
				job.handles, job.engine, job.fetch, job.beside = r.Handles, n.lifeOf(r.Engine), r.Fetch, int(r.Beside)
				job.paced = r.Paced
				return job, nil
			}
		case <-verdict.C:
			if !admitted && owner.Name != "" { // nobody comes after this instance itself
				job.end()
				return nil, errOwnerLost
			}
		case <-look.C:
			if !w.homes().Allows(w.region) {
				job.end()
				return nil, errNarrowed
			}
			if owner.Name != "" && !n.heardOf(owner) {
				job.end()
				return nil, errOwnerLost
			}
		}
	}
}

// heardOf reports whether that life of an instance is still heard of.
func (n *Node) heardOf(i gossip.Instance) bool {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	return n.members.IsAlive(n.now(), i.Name, i.Incarnation)
}
