package rollout

import (
	"fmt"
	"time"
)

// State is what an order's status says.
type State int

// The states.
const (
	None State = iota // nothing of this order
	Running
	Completed
	RolledBack
)

// String returns the state's name for logs.
func (s State) String() string {
	return [...]string{"none", "running", "completed", "rolled back"}[s]
}

// Status is an order's status in the store.
type Status struct {
	Known    bool   // it was read
	Revision uint64 // of the status, whichever order it is of; 0: there is none
	State    State  // of this order
}

// Ended reports whether nothing may be written any more.
func (s Status) Ended() bool { return s.State >= Completed }

// Facts are what whoever leads an order knows of it.
type Inputs struct {
	Order          OrderState
	Status         Status
	Judgement      Judgement
	Configured     bool // the service is in the configuration
	NewReady       int  // replicas of the version that may get work and are not cold
	OldReady       int  // replicas of other versions that may get work
	Sent           int  // requests to the service since the order
	LongestRequest time.Duration
	Lagging        int     // instances that still send to old replicas
	Pinned         int     // requests at old replicas that can't go on elsewhere
	InFlight       int     // requests at old replicas
	Slack          float64 // requests that a version may get beside its share
}

// Step is what is to be done now; Why says why nothing more is.
type Step struct {
	ReadStatus bool
	SetPhase   Phase
	WriteState State
	Reason     string
}

// The plan, reckoned back from the end of the order's time. Until a version is
// trusted its share binds, and what turns bad after it is trusted gets more. So
// it is trusted as late as what follows allows.
const (
	watchedPart = 0.6                    // of the order's time, that a version is watched at least
	toldFor     = 1 * time.Second        // for the phase to all and their reports back: five heartbeats
	writtenFor  = 500 * time.Millisecond // for the last phase at the store
	drainTimes  = 1.2                    // of the longest old request seen
	leastDrain  = 300 * time.Millisecond // where none was seen
	lastCall    = 2 * writtenFor         // before the end: what can go on elsewhere is then not waited for
	slackPart   = 0.5                    // of the slack, that a version may get without a verdict
	rampFor     = 2 * rampStep           // until all requests go there
	lookBack    = 100 * time.Millisecond // a step more than the look that finds it
)

// Decide returns what whoever leads an order does next.
func Decide(now time.Duration, f *Inputs) Step {
	s := &f.Order
	age := now - s.OrderedAt
	switch {
	case !f.Status.Known:
		return Step{ReadStatus: true, Reason: "its status is not read yet"}
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
		return f.trust(age)
	}
	return f.complete(now, age)
}

// trust decides whether the version gets everything from now on.
func (f *Inputs) trust(age time.Duration) Step {
	s := &f.Order
	left := s.TimeLimit - age
	need := rampFor + toldFor + writtenFor + max(time.Duration(drainTimes*float64(f.LongestRequest)), leastDrain)
	watched := time.Duration(watchedPart * float64(s.TimeLimit))
	rest := float64(f.Sent) / max(age, lookBack).Seconds() * max(left, 0).Seconds() // requests that are still to come
	switch {
	case f.NewReady < max(f.OldReady, 1):
		return Step{Reason: fmt.Sprintf("%d replicas of the version are ready for %d", f.NewReady, f.OldReady)}
	case age < watched:
		return Step{Reason: fmt.Sprintf("it is watched for %v more", (watched - age).Round(lookBack))}
	case left > need:
		return Step{Reason: fmt.Sprintf("all moves in %v", (left - need).Round(lookBack))}
	case f.looked(s.OrderedAt+age) < toldFor:
		return Step{Reason: "it looks for a moment only since a gap"}
	case f.Judgement.Verdict == Good:
		return Step{SetPhase: Promoted, Reason: "answers are good"}
	case f.Judgement.inDoubt():
		return Step{Reason: "in doubt of route " + f.Judgement.Worst().Route}
	case rest <= slackPart*f.Slack:
		return Step{SetPhase: Promoted, Reason: "what is still to come is within the slack"}
	}
	return Step{Reason: "not enough is seen: " + f.Judgement.Reason}
}

// looked is for how long the answers have been looked at without a gap: who was
// frozen for some seconds has not watched the version meanwhile.
func (f *Inputs) looked(now time.Duration) time.Duration { return now - f.Judgement.WatchedSince }

// complete decides whether the old replicas may stop.
func (f *Inputs) complete(now, age time.Duration) Step {
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
	case f.InFlight > 0 && left > lastCall:
		return Step{Reason: fmt.Sprintf("%d requests are at old replicas", f.InFlight)}
	case f.Judgement.inDoubt():
		return Step{Reason: "in doubt of route " + f.Judgement.Worst().Route}
	case f.looked(now) < toldFor:
		return Step{Reason: "it looks for a moment only since a gap"}
	case f.Judgement.Verdict != Good: // the old replicas can't be had back
		return Step{Reason: "not enough is seen: " + f.Judgement.Reason}
	}
	return Step{WriteState: Completed}
}
