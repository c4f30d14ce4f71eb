package node

import (
	"context"
	"time"

	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// callFeatures names the features of a request that may crash the replicas of its stages.
type callFeatures struct {
	quarantine.Request
	inTrial bool // the requester holds the trial leases of its suspect features
}

func featuresOf(ask *pb.StagesAsk) callFeatures {
	f := callFeatures{Request: quarantine.Request{Whole: quarantine.Fingerprint(ask.Fingerprint)}, inTrial: ask.Ended > 0}
	if ask.Key != "" {
		f.Parts = []quarantine.Fingerprint{quarantine.KeyFingerprint(ask.Customer, ask.Key)}
	}
	return f
}

// trials returns the shared parts for which the requester holds trial leases.
func (f *callFeatures) trials() []quarantine.Fingerprint {
	if !f.inTrial {
		return nil
	}
	return f.Parts
}

// Failure reasons of jobs for the quarantine.
const (
	reasonQuarantined = "condemned" // the request is quarantined
	reasonSuspect     = "suspect"   // it needs a trial lease for a part that it shares with others
)

// classifyBrokenCall probes whether the replica of a broken call has crashed. A crash
// counts against all requests in the call.
func (c *cell) classifyBrokenCall(ctx context.Context, call pipeline.Call, sentAt time.Duration) pipeline.Outcome {
	n := c.owner.node
	requests := c.requestsIn(call)
	var whole []quarantine.Fingerprint
	for _, f := range requests {
		whole = append(whole, f.Whole)
		n.recordBrokenParts(call.Replica, sentAt, f.Parts, f.trials())
	}
	probe := n.recordBrokenAnswers(&catalog.Replica{ID: call.Replica, Service: call.Service, Address: call.Address}, sentAt, whole...)
	if !n.awaitLivenessProbe(ctx, probe) {
		if n.replicaLinks.isCut(call.Replica) {
			n.recordLostOpen(call.Replica)
			return pipeline.LinkLost
		}
		return pipeline.Broken
	}
	for request, f := range requests {
		if reason := n.reasonToFail(&f); reason != "" {
			c.failJob(request, reason)
		}
	}
	return pipeline.Crashed
}

// reasonToFail returns why a job is given up after a crash, "" if it is not.
func (n *Node) reasonToFail(f *callFeatures) string {
	j := n.judge(f.Request)
	if j.Verdict == quarantine.Quarantined {
		return reasonQuarantined
	}
	for _, trial := range j.Trials {
		if trial != f.Whole && !f.inTrial { // the owner isolates whole requests itself
			return reasonSuspect
		}
	}
	return ""
}

// requestsIn returns the features of the requests in a call, by request ID.
func (c *cell) requestsIn(call pipeline.Call) map[string]callFeatures {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]callFeatures)
	for _, item := range call.Items {
		if f, ok := c.features[item.RequestID]; ok {
			out[item.RequestID] = f
		}
	}
	return out
}

// recordSoundKeys records the keys of the items that a replica ran to their results.
func (c *cell) recordSoundKeys(call pipeline.Call, results []pipeline.Result) {
	requests := c.requestsIn(call)
	var sound []quarantine.Fingerprint
	for i, item := range call.Items {
		if i < len(results) && results[i].Reason == pipeline.NoReason {
			sound = append(sound, requests[item.RequestID].Parts...)
		}
	}
	if len(sound) > 0 {
		c.owner.node.recordSoundParts(sound)
	}
}

func (c *cell) removeFeatures(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.features, request)
}

// failJob fails the job of a request.
func (c *cell) failJob(request, reason string) {
	c.runStep(func(now time.Duration) []pipeline.Action {
		return c.scheduler.FailRequest(now, request, reason)
	})
}
