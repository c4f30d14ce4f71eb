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
	heardFor     = time.Second // how long a replica's answer says that it stays
	probeTimeout = 200 * time.Millisecond
	signTimeout  = time.Second
)

// noteAnswer takes in what a replica's answer says of its leaving, and passes
// it on to the coord.
func (e *Entry) noteAnswer(r replicas.Replica, leaving bool, incarnation uint64) {
	if !leaving {
		e.heard.Put(r.ID, time.Now())
		return
	}
	if r.Leaving {
		return
	}
	if incarnation != 0 {
		r.Incarnation = incarnation
	}
	sign := &pb.Beat{Leaving: []*pb.Replica{convert.Replica(r)}}
	go func() {
		// Without its coord the entry learns of it from peers or the list.
		_ = e.links.Call(e.set.Coord.Link, frame.DrainingReplicas, sign, &pb.Noted{}, signTimeout)
	}()
}

// leaves asks a replica whether it leaves, before work is sent to one that was
// not heard from lately. Only an entry whose coord hears from no other needs to:
// else the word of any entry that the replica answered has come here.
func (e *Entry) leaves(r replicas.Replica) bool {
	if at, ok := e.heard.Get(r.ID); !e.alone.Load() || (ok && time.Since(at) < heardFor) {
		return false
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + r.Address + "/v1/load")
	if e.probes.DoTimeout(req, resp, probeTimeout) != nil {
		return false // the attempt itself will tell
	}
	leaving := len(resp.Header.Peek(api.HeaderDraining)) > 0
	incarnation, _ := strconv.ParseUint(string(resp.Header.Peek(api.HeaderIncarnation)), 10, 64)
	e.noteAnswer(r, leaving, incarnation)
	return leaving
}
