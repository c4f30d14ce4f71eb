package entry

import (
	"encoding/json"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/ledger"
	"quinceroad/coordination/outcome"
	"quinceroad/coordination/ticket"
	"quinceroad/protocol/api"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/transport/link"
	"quinceroad/transport/web"
)

const (
	// forwardGrace is added to the deadline of a forwarded request, so that the home's
	// own timeout response can arrive.
	forwardGrace          = 300 * time.Millisecond
	successorPollInterval = 50 * time.Millisecond // between checks for the successor of a stopping home
)

// numberedRun is a run that is identified by a ticket and a number, so that repeated
// requests with the same number run it at most once.
type numberedRun struct {
	*run
	ticketText string // as received
	prefix     ticket.Prefix
	number     ledger.Number
}

// serveTicket validates the ticket of a request. The number then starts here, joins the
// run that it started earlier, or is forwarded to its home.
func (e *Entry) serveTicket(ctx *fasthttp.RequestCtx, r *run, ticketText string) {
	n, fail := e.parseTicket(r, ticketText)
	if fail != nil {
		e.rejectRequest(ctx, fail)
		return
	}
	a := e.runNumbered(n, 0)
	web.RawJSON(ctx, a.status, a.body)
}

func (e *Entry) parseTicket(r *run, ticketText string) (*numberedRun, *api.Error) {
	p, number, err := e.keys.Parse(ticketText)
	if err != nil || p.Customer != r.customer.Name {
		event.Unauthorized.Log(e.log, "code", "bad_ticket", "path", r.pipeline.Name)
		return nil, badRequest(r.id, 401, "bad_ticket", "the ticket was not issued to this customer; ask for addresses again")
	}
	key := ticket.Key(p, number)
	r.id = key + ".t" // the same id for all requests with this number
	return &numberedRun{run: r, ticketText: ticketText, prefix: p, number: ledger.Number{
		Key: key, Incarnation: p.Incarnation, Issued: p.Issued,
		Digest: xxhash.Sum64String(r.pipeline.Name + "\x00" + string(r.body)),
	}}, nil
}

// reply is an encoded response, or the notice that the ledger was handed over.
type reply struct {
	status int
	body   []byte // JSON
	moved  bool
}

// runNumbered starts, joins, forwards or rejects a numbered run as the ledger decides,
// and returns the response. hops counts how often the request was forwarded.
func (e *Entry) runNumbered(n *numberedRun, hops int) reply {
	e.ledgerMu.Lock()
	verdict, rec := e.ledger.Begin(n.number, e.now())
	e.ledgerMu.Unlock()
	switch verdict {
	case ledger.Start:
		e.startNumbered(n, rec)
		return e.awaitNumbered(n, rec)
	case ledger.Join:
		e.counters.joined.Inc(1)
		return e.awaitNumbered(n, rec)
	case ledger.HandedOver:
		if hops > 0 {
			return reply{moved: true}
		}
		return encodeError(unknownOutcome(n.id, "handed_on", "this instance has stopped; ask again with the same ticket and number at another address"))
	case ledger.Foreign:
		if hops > 0 {
			return e.homeUnreachable(n)
		}
		return e.forward(n)
	case ledger.Reused:
		return encodeError(badRequest(n.id, 409, "ticket_reused", "this number was used for another request"))
	case ledger.Full:
		return encodeError(badRequest(n.id, 503, "ledger_full", "too many numbered requests are remembered here; ask for addresses again"))
	}
	return encodeError(unknownOutcome(n.id, "ticket_expired", "the ticket is older than this system remembers; the request may have run"))
}

func unknownOutcome(id, code, detail string) *api.Error {
	return &api.Error{ID: id, Status: 504, Code: code, Detail: detail, Outcome: outcome.Unknown}
}

func encodeError(e *api.Error) reply {
	b, err := json.Marshal(e)
	if err != nil {
		panic(err) // a programming error: the type can't be marshalled
	}
	return reply{status: e.Status, body: b}
}

// startNumbered runs the request in the background, independent of the client's
// connection. The response goes to the ledger, where any request with the same number
// can wait for it.
func (e *Entry) startNumbered(n *numberedRun, rec *ledger.Record) {
	e.inFlight.Add(1)
	go func() {
		defer e.inFlight.Add(-1)
		a := e.encodeResult(e.runRecovered(n.run))
		e.ledgerMu.Lock()
		defer e.ledgerMu.Unlock()
		e.ledger.Finish(rec, ledger.Answer{Status: a.status, Body: a.body})
	}()
}

// encodeResult counts the outcome of a run and encodes its response.
func (e *Entry) encodeResult(f *runResult) reply {
	e.countOutcome(f.outcome())
	if f.err != nil {
		return encodeError(f.err)
	}
	b, err := json.Marshal(f.answer)
	if err != nil {
		panic(err) // a programming error: the type can't be marshalled
	}
	return reply{status: 200, body: b}
}

// awaitNumbered waits for the number's response until the request's deadline.
func (e *Entry) awaitNumbered(n *numberedRun, rec *ledger.Record) reply {
	t := time.NewTimer(n.timeLeft())
	defer t.Stop()
	select {
	case <-rec.Done():
		a := rec.Answer()
		return reply{status: a.Status, body: a.Body}
	case <-t.C:
		return encodeError(unknownOutcome(n.id, "still_running", "the request is still running; ask again with the same ticket and number"))
	}
}

// forward sends a number to the entry that owns it. No other entry may start the
// number, so the outcome is unknown if the owner can't be reached. While a stopping home
// hands its ledger over, forward waits for the successor.
func (e *Entry) forward(n *numberedRun) reply {
	e.counters.forwarded.Inc(1)
	for {
		a, retry := e.forwardOnce(n)
		if !retry {
			return a
		}
		if n.timeLeft() < successorPollInterval {
			return e.homeUnreachable(n)
		}
		time.Sleep(successorPollInterval)
		if e.owns(n) { // this entry is the successor
			return e.runNumbered(n, 0)
		}
	}
}

func (e *Entry) owns(n *numberedRun) bool {
	e.ledgerMu.Lock()
	defer e.ledgerMu.Unlock()
	return e.ledger.Owns(n.number.Incarnation)
}

// forwardOnce forwards the number to its owner in the current view. retry is true if
// nothing was started there and a successor is expected to take over.
func (e *Entry) forwardOnce(n *numberedRun) (a reply, retry bool) {
	home, ok := e.view.Load().ledgerOwner(n.number.Incarnation)
	if !ok || home.Name == e.settings.Name || home.EntryPeerAddress == "" {
		return e.homeUnreachable(n), false
	}
	req := &pb.Run{
		Ticket: n.ticketText, Customer: n.customer.Name, Pipeline: n.pipeline.Name, Body: n.body,
		LeftUs: convert.Micros(n.timeLeft()), Hops: 1,
	}
	var r pb.RunReply
	err := e.links.Call(home.EntryPeerAddress, frame.Run, req, &r, n.timeLeft()+forwardGrace)
	switch {
	case err == nil && r.GetMoved():
		return reply{}, true
	case err == nil:
		return reply{status: int(r.GetStatus()), body: r.GetBody()}, false
	case home.Leaving && link.IsDialError(err):
		return reply{}, true
	}
	return e.homeUnreachable(n), false
}

func (e *Entry) homeUnreachable(n *numberedRun) reply {
	event.TicketHomeUnreachable.Log(e.log, "request", n.id, "home", n.prefix.Home)
	e.countOutcome(outcome.Unknown)
	return encodeError(unknownOutcome(n.id, "home_unreachable", "only "+n.prefix.Home+" may run this number and it can't be reached; the request may have run"))
}

// servePeer handles one stream of a peer entry.
func (e *Entry) servePeer(k frame.Kind, first []byte, s net.Conn) {
	defer func() { // a panic ends only the stream whose message caused it
		if v := recover(); v != nil {
			event.EntryPanicked.Log(e.log, "panic", v)
		}
	}()
	switch k {
	case frame.Run:
		var q pb.Run
		if proto.Unmarshal(first, &q) == nil {
			_ = frame.Write(s, frame.Reply, e.serveForwarded(&q))
		}
	case frame.Handover:
		var h pb.Handover
		if proto.Unmarshal(first, &h) == nil {
			_ = frame.Write(s, frame.Reply, e.receiveHandover(&h))
		}
	}
}

// serveForwarded runs a numbered request that another entry forwarded.
func (e *Entry) serveForwarded(q *pb.Run) *pb.RunReply {
	a := e.runForwarded(q)
	return &pb.RunReply{Status: uint32(a.status), Body: a.body, Moved: a.moved}
}

func (e *Entry) runForwarded(q *pb.Run) reply {
	v := e.view.Load()
	if v == nil || v.fleet == nil {
		return encodeError(unknownOutcome("", codeNotReady, "the home has no configuration yet"))
	}
	for i := range v.fleet.Customers {
		c := &v.fleet.Customers[i]
		if c.Name != q.GetCustomer() {
			continue
		}
		r, fail := newRun(v, c, q.GetPipeline(), q.GetBody(), time.Now())
		if fail != nil {
			return encodeError(unknownIfNumbered(fail, q.GetTicket()))
		}
		r.deadline = r.received.Add(convert.FromMicros(q.GetLeftUs()))
		n, fail := e.parseTicket(r, q.GetTicket())
		if fail != nil {
			return encodeError(fail)
		}
		return e.runNumbered(n, int(q.GetHops()))
	}
	return encodeError(unknownOutcome("", codeUnknownCustomer, "the home does not know the customer"))
}
