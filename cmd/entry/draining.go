package entry

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/replicas"
	"quinceroad/protocol/api"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	answerTTL       = time.Second // how long a response without a drain advisory is considered current
	probeTimeout    = 200 * time.Millisecond
	advisoryTimeout = time.Second
)

// recordAnswer records whether a replica's response carries a drain advisory, and reports
// a new advisory to the coord.
func (e *Entry) recordAnswer(r replicas.Replica, draining bool, incarnation uint64) {
	if !draining {
		e.lastAnswered.Put(r.ID, time.Now())
		return
	}
	if r.Leaving {
		return
	}
	if incarnation != 0 {
		r.Incarnation = incarnation
	}
	advisory := &pb.Beat{Leaving: []*pb.Replica{convert.Replica(r)}}
	go func() {
		// On failure the advisory arrives from peers or with the list of replicas.
		_ = e.links.Call(e.settings.Coord.Link, frame.DrainingReplicas, advisory, &pb.Noted{}, advisoryTimeout)
	}()
}

// isDraining reports whether a replica is draining; it probes a replica that has not
// responded recently. Only an entry whose coord is isolated needs to probe: otherwise
// the advisory has arrived from any entry that the replica responded to.
func (e *Entry) isDraining(r replicas.Replica) bool {
	if at, ok := e.lastAnswered.Get(r.ID); !e.coordIsolated.Load() || (ok && time.Since(at) < answerTTL) {
		return false
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + r.Address + "/v1/load")
	if e.probeClient.DoTimeout(req, resp, probeTimeout) != nil {
		return false // the attempt itself will fail or succeed
	}
	draining := len(resp.Header.Peek(api.HeaderDraining)) > 0
	incarnation, _ := strconv.ParseUint(string(resp.Header.Peek(api.HeaderIncarnation)), 10, 64)
	e.recordAnswer(r, draining, incarnation)
	return draining
}
