package rollout

import (
	"fmt"
	"time"
)

// State is the state of an order in its stored status.
type State int

// The states.
const (
	None State = iota // the stored status, if any, is of another order
	Running
	Completed
	RolledBack
)

// String returns the state's name for logs.
func (s State) String() string {
	return [...]string{"none", "running", "completed", "rolled back"}[s]
}

// Status is the status of a service's rollout as stored.
type Status struct {
	Known    bool   // it was read
	Revision uint64 // store revision of the status, whichever order it belongs to; 0: there is none
	State    State  // of this order
}

// Ended reports whether the state is final.
func (s Status) Ended() bool { return s.State >= Completed }

// Inputs holds what the leader of an order decides by.
type Inputs struct {
	Order          OrderState
	Status         Status
	Judgement      Judgement
	Configured     bool          // the service is in the configuration
	NewReady       int           // replicas of the version that may get work and are not warming up
	OldReady       int           // replicas of other versions that may get work
	Sent           int           // requests to the service since the order
	LongestRequest time.Duration // see Report
	Lagging        int           // instances that still send to old replicas
	Pinned         int           // requests at old replicas that can't be moved to another replica
	InFlight       int           // requests at old replicas
	Slack          float64       // requests that a version may get in addition to its share
}

// Step is the action to take now. Reason explains a rejection, or why the order
// doesn't proceed.
type Step struct {
	ReadStatus bool
	SetPhase   Phase
	WriteState State
	Reason     string
}

// The schedule, computed backwards from the end of the order's time limit. Until a
// version is promoted its traffic share is bounded; one that turns bad afterwards gets
// more requests. So it is promoted as late as the remaining steps allow.
const (
	minWatchedFraction = 0.6                    // minimum fraction of the order's time limit before promotion
	propagationTime    = 1 * time.Second        // until all instances have the phase and their reports are back: five heartbeats
	storeWriteTime     = 500 * time.Millisecond // for writing the final state to the store
	drainFactor        = 1.2                    // time for old replicas to drain, as a multiple of Inputs.LongestRequest
	minDrainTime       = 300 * time.Millisecond // for old replicas to drain, also if no request was observed
	// Remaining time below which requests that can be moved to another replica are no
	// longer waited for.
	drainCutoff        = 2 * storeWriteTime
	slackFraction      = 0.5                    // fraction of the slack that a version may get without a verdict
	rampTime           = 2 * rampStepTime       // until all requests go to the version
	evaluationInterval = 100 * time.Millisecond // time between two evaluations of an order
)

// Decide returns the next step of the instance that leads an order.
func Decide(now time.Duration, f *Inputs) Step {
	s := &f.Order
	age := now - s.OrderedAt
	switch {
	case !f.Status.Known:
		return Step{ReadStatus: true, Reason: "its status is not read yet"}
	case s.Phase == Done && s.Rewritten && f.Status.State != Completed:
		return Step{WriteState: Completed, Reason: "the store has lost its completion"}
	case s.Phase == Done:
		return Step{}
	case f.Status.State == Completed:
		return Step{SetPhase: Done}
	case f.Status.State == RolledBack:
		return Step{SetPhase: Rejected}
	case s.Ended:
		return Step{WriteState: RolledBack, Reason: "it was taken back"}
	case s.TimeLimit <= 0:
		return Step{SetPhase: Rejected, WriteState: RolledBack, Reason: "its time is nothing"}
	case s.Phase == Rejected, f.Judgement.Verdict == Harmful:
		return Step{SetPhase: Rejected, WriteState: RolledBack, Reason: f.Judgement.Reason}
	case f.Status.State == None:
		return Step{WriteState: Running, Reason: "its status is not written yet"}
	case !f.Configured && age >= s.TimeLimit:
		return Step{SetPhase: Rejected, WriteState: RolledBack, Reason: "the service is not configured"}
	case f.NewReady == 0 && s.Phase <= Canary && age >= s.TimeLimit:
		return Step{SetPhase: Rejected, WriteState: RolledBack, Reason: "no replica of the version came"}
	case s.Phase < Canary:
		return Step{SetPhase: Canary}
	case f.NewReady == 0 && s.Phase == Canary:
		return Step{Reason: "no replica of the version is ready"}
	case s.Phase == Canary:
		return f.decidePromotion(age)
	}
	return f.decideCompletion(now, age)
}

// decidePromotion decides whether requests start to shift to the version.
func (f *Inputs) decidePromotion(age time.Duration) Step {
	s := &f.Order
	left := s.TimeLimit - age
	need := rampTime + propagationTime + storeWriteTime + max(time.Duration(drainFactor*float64(f.LongestRequest)), minDrainTime)
	watched := time.Duration(minWatchedFraction * float64(s.TimeLimit))
	expected := float64(f.Sent) / max(age, evaluationInterval).Seconds() * max(left, 0).Seconds() // expected requests until the time limit
	switch {
	case f.NewReady < max(f.OldReady, 1):
		return Step{Reason: fmt.Sprintf("%d replicas of the version are ready for %d", f.NewReady, f.OldReady)}
	case age < watched:
		return Step{Reason: fmt.Sprintf("it is watched for %v more", (watched - age).Round(evaluationInterval))}
	case left > need:
		return Step{Reason: fmt.Sprintf("all moves in %v", (left - need).Round(evaluationInterval))}
	case f.watchedFor(s.OrderedAt+age) < propagationTime:
		return Step{Reason: "it looks for a moment only since a gap"}
	case f.Judgement.Verdict == Good:
		return Step{SetPhase: Promoted, Reason: "answers are good"}
	case f.Judgement.inDoubt():
		return Step{Reason: "in doubt of route " + f.Judgement.Worst().Route}
	case expected <= slackFraction*f.Slack:
		return Step{SetPhase: Promoted, Reason: "what is still to come is within the slack"}
	}
	return Step{Reason: "not enough is seen: " + f.Judgement.Reason}
}

// watchedFor returns how long the answers have been observed without a gap: an
// instance that was suspended has not watched the version meanwhile.
func (f *Inputs) watchedFor(now time.Duration) time.Duration { return now - f.Judgement.WatchedSince }

// decideCompletion decides whether the old replicas may stop.
func (f *Inputs) decideCompletion(now, age time.Duration) Step {
	left := f.Order.TimeLimit - age
	switch {
	case !f.Order.IsFullyShifted(now):
		return Step{Reason: "requests move in steps"}
	case f.NewReady < max(f.OldReady, 1):
		return Step{Reason: fmt.Sprintf("%d replicas of the version are ready for %d", f.NewReady, f.OldReady)}
	case f.Lagging > 0:
		return Step{Reason: fmt.Sprintf("%d instances still send to old replicas", f.Lagging)}
	case f.Pinned > 0:
		return Step{Reason: fmt.Sprintf("%d requests at old replicas can't go on elsewhere", f.Pinned)}
	case f.InFlight > 0 && left > drainCutoff:
		return Step{Reason: fmt.Sprintf("%d requests are at old replicas", f.InFlight)}
	case f.Judgement.inDoubt():
		return Step{Reason: "in doubt of route " + f.Judgement.Worst().Route}
	case f.watchedFor(now) < propagationTime:
		return Step{Reason: "it looks for a moment only since a gap"}
	case f.Judgement.Verdict != Good: // completion can't be undone: the old replicas stop
		return Step{Reason: "not enough is seen: " + f.Judgement.Reason}
	}
	return Step{WriteState: Completed}
}
