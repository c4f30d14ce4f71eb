package node

import (
	"fmt"
	"time"

	"quinceroad/coordination/quarantine"
)

// QuarantineState is a node's record of a request under which replicas crashed.
type QuarantineState struct {
	Fingerprint   string
	Kind          string // "request", or "part" that requests share
	Verdict       string
	Ended         int    // number of replicas that crashed under it
	Tried         int    // those that crashed in a trial of a part
	Cleared       int    // number of replicas that ended while running it before a complete answer cleared the request
	LastRequested string `json:"Asked"` // time since a caller last sent it or its entry changed
}

func (n *Node) quarantineStates() []QuarantineState {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	now := n.now()
	var out []QuarantineState
	for _, e := range q.tracker.All(now) {
		out = append(out, QuarantineState{
			Fingerprint: e.Fingerprint.String(), Kind: e.Kind.String(), Verdict: q.tracker.Verdict(e.Fingerprint).String(),
			Ended: len(e.Ended), Tried: len(e.Tried), Cleared: len(e.Cleared), LastRequested: e.Age.Round(time.Second).String(),
		})
	}
	return out
}

// releaseFingerprint releases a request from quarantine by an operator's order.
func (n *Node) releaseFingerprint(fingerprint string) error {
	f, err := quarantine.ParseFingerprint(fingerprint)
	if err != nil {
		return fmt.Errorf("%q is no fingerprint", fingerprint)
	}
	found := false
	n.updateQuarantine(causeOperator, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change {
		changes := t.Release(now, f)
		found = len(changes) > 0
		return changes
	})
	if !found {
		return fmt.Errorf("nothing speaks against %s here", f)
	}
	return nil
}
