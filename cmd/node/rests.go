package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/advisory"
	"quinceroad/state/catalog"
)

// restError says that all replicas which a request may go to want nothing now.
type restError struct {
	now, until time.Duration // when the first may get a request again
	paced      bool          // that one states how much it takes, and does not rest
}

// Error implements error.
func (e *restError) Error() string {
	if e.paced {
		return fmt.Sprintf("all replicas take no more for now by the limits that they state, or rest; the first has a turn in %v", e.left().Round(time.Millisecond))
	}
	return fmt.Sprintf("all replicas rest, the first for %v more", e.left().Round(time.Millisecond))
}

func (e *restError) left() time.Duration { return max(e.until-e.now, 0) }

// spreadReturn is how much after a rest's end a caller is told to come back.
func spreadReturn() time.Duration { return time.Duration(newRandom().Float64() * float64(restSpread)) }

// errLeaving says that no replica will serve a request, as all of them leave.
var errLeaving = errors.New("all replicas are leaving")

const (
	restSpread   = time.Second            // over which callers come back after a rest, so that they are no wave: a replica takes some requests in it before it takes any number
	restLook     = 20 * time.Millisecond  // between looks whether a replica may get a request, below an answer's usual time
	shareToWait  = 0.125                  // of the objective, that a request waits for a replica where it has cost nothing yet: a caller told to come back loses more than that
	mostRestLook = 200 * time.Millisecond // the same at most: a replica may come meanwhile
)

// mayAll returns those of some replicas that may get a request now, and an error
// when what they state forbids all of them that this one has not met yet.
func (s *requestHandler) mayAll(now time.Duration, all []catalog.Replica) (may []catalog.Replica, err error) {
	first, fresh, paced := advisory.Never, false, false
	s.node.statements.with(func(b *advisory.Tracker) {
		if b.Empty() && !s.node.statements.paces.HasLimits() {
			may, fresh = all, true
			return
		}
		for _, r := range all {
			met := s.avoid[r.ID] || s.tried[r.ID]
			ok, from := s.node.statements.mayLocked(now, r.ID)
			if ok {
				may = append(may, r)
				fresh = fresh || !met
			} else if !met && from < first {
				first = from
				paced, _ = b.CanSend(now, r.ID)
			}
		}
	})
	if !fresh && first != advisory.Never {
		err = &restError{now: now, until: first, paced: paced}
	}
	return may, err
}

// sooner returns the error that says less; nil where neither says anything.
func sooner(a, b error) error {
	var x, y *restError
	if !errors.As(a, &x) {
		return b
	}
	if errors.As(b, &y) && y.until < x.until {
		return b
	}
	return a
}

// servable returns why nobody can serve the request in time, by what replicas state;
// nil where somebody may. Its stages would be work for nothing.
func (s *requestHandler) servable() error {
	w := s.node.world.Load()
	now := s.node.now()
	listed := replicasInRegions(s.allowedRegions(), w.eligibleByService[s.service.Name])
	if len(listed) == 0 {
		return s.allLeave(w)
	}
	_, err := s.mayAll(now, listed)
	var rest *restError
	if errors.As(err, &rest) && rest.until > s.lastUse() {
		return err
	}
	return nil
}

// lastUse is until when an answer of the request is of use that has yet to begin.
func (s *requestHandler) lastUse() time.Duration {
	if s.route.Objective == 0 {
		return s.deadline
	}
	return min(s.req.ArrivedAt+s.route.Objective, s.deadline)
}

// allLeave tells whether there are replicas for the request, all of which leave.
func (s *requestHandler) allLeave(w *snapshot) error {
	leaves := false
	for _, r := range w.replicas {
		if r.Service != s.service.Name {
			continue
		}
		if !r.Draining {
			return nil
		}
		leaves = true
	}
	if leaves {
		return errLeaving
	}
	return nil
}

// waitsForRest waits until a replica may get the request again and reports that
// it has, where that is better than to refuse it: one whose stages are done, or
// that can't be refused any more, for as long as its answer is of use; another
// one for a moment.
func (s *requestHandler) waitsForRest(ctx context.Context, err error) bool {
	var rest *restError
	if !errors.As(err, &rest) {
		return false
	}
	now := s.node.now()
	last := s.req.ArrivedAt + time.Duration(float64(s.route.Objective)*shareToWait)
	if s.stream.headersSent || s.job != nil && len(s.job.handles) > 0 {
		last = s.lastUse()
	}
	if rest.until > last || now >= last {
		return false
	}
	return process.Pause(ctx, min(max(rest.until-now, restLook), mostRestLook))
}

// placeAgain has the engine chosen anew where what its replica has stated since it
// was chosen, or only to this instance, forbids it: the owner alone sees what runs
// where. It is asked once; what it names then is held against the same.
func (s *requestHandler) placeAgain(ctx context.Context) {
	if s.job == nil || s.job.engine == "" || s.service.Engine == nil {
		return
	}
	if !s.mayUseOwnerChoice() {
		s.requestNewEngine(ctx)
	}
}
