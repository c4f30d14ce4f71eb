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
	forwardGrace = 300 * time.Millisecond // over the deadline, for the home's own answer to come back
	heirPause    = 50 * time.Millisecond  // between looks for a stopping home's heir
)

// numbered is a run under a ticket.
type numbered struct {
	*run
	text   string // the ticket
	prefix ticket.Prefix
	number ledger.Number
}

// serveTicket is where a ticket is checked: its number runs here, joins its
// first run, or goes to its home.
func (e *Entry) serveTicket(ctx *fasthttp.RequestCtx, r *run, text string) {
	n, fail := e.parseTicket(r, text)
	if fail != nil {
		e.fail(ctx, fail)
		return
	}
	a := e.runNumbered(n, 0)
	web.RawJSON(ctx, a.status, a.body)
}

func (e *Entry) parseTicket(r *run, text string) (*numbered, *api.Error) {
	p, no, err := e.keys.Parse(text)
	if err != nil || p.Customer != r.customer.Name {
		event.Unauthorized.Log(e.log, "code", "bad_ticket", "path", r.pipeline.Name)
		return nil, bad(r.id, 401, "bad_ticket", "the ticket was not issued to this customer; ask for addresses again")
	}
	key := ticket.Key(p, no)
	r.id = key + ".t" // one id for all receipts of the number
	return &numbered{run: r, text: text, prefix: p, number: ledger.Number{
		Key: key, Incarnation: p.Incarnation, Issued: p.Issued,
		Digest: xxhash.Sum64String(r.pipeline.Name + "\x00" + string(r.body)),
	}}, nil
}

// reply is an answer as it goes out, or word that the ledger was handed on.
type reply struct {
	status int
	body   []byte // JSON
	moved  bool
}

// runNumbered decides on a number and returns its answer.
func (e *Entry) runNumbered(n *numbered, hops int) reply {
	e.ledgerMu.Lock()
	verdict, rec := e.ledger.Begin(n.number, e.now())
	e.ledgerMu.Unlock()
	switch verdict {
	case ledger.Start:
		e.startNumbered(n, rec)
		return e.awaitNumbered(n, rec)
	case ledger.Join:
		e.count.joined.Inc(1)
		return e.awaitNumbered(n, rec)
	case ledger.HandedOver:
		if hops > 0 {
			return reply{moved: true}
		}
		return encode(unknown(n.id, "handed_on", "this instance has stopped; ask again with the same ticket and number at another address"))
	case ledger.Foreign:
		if hops > 0 {
			return e.homeLost(n)
		}
		return e.forward(n)
	case ledger.Reused:
		return encode(bad(n.id, 409, "ticket_reused", "this number was used for another request"))
	case ledger.Full:
		return encode(bad(n.id, 503, "ledger_full", "too many numbered requests are remembered here; ask for addresses again"))
	}
	return encode(unknown(n.id, "ticket_expired", "the ticket is older than this system remembers; the request may have run"))
}

func unknown(id, code, detail string) *api.Error {
	return &api.Error{ID: id, Status: 504, Code: code, Detail: detail, Outcome: outcome.Unknown}
}

func encode(e *api.Error) reply {
	b, err := json.Marshal(e)
	if err != nil {
		panic(err) // a type of ours that can't be marshalled
	}
	return reply{status: e.Status, body: b}
}

// startNumbered runs the request apart from the caller that brought it: its
// answer goes to the ledger, whoever still waits for it.
func (e *Entry) startNumbered(n *numbered, rec *ledger.Record) {
	e.inFlight.Add(1)
	go func() {
		defer e.inFlight.Add(-1)
		a := e.finish(e.runGuarded(n.run))
		e.ledgerMu.Lock()
		defer e.ledgerMu.Unlock()
		e.ledger.Finish(rec, ledger.Answer{Status: a.status, Body: a.body})
	}()
}

// finish counts a final answer and encodes it.
func (e *Entry) finish(f *final) reply {
	e.tally(f.outcome())
	if f.err != nil {
		return encode(f.err)
	}
	b, err := json.Marshal(f.answer)
	if err != nil {
		panic(err) // a type of ours that can't be marshalled
	}
	return reply{status: 200, body: b}
}

// awaitNumbered waits for the number's answer until the caller's deadline.
func (e *Entry) awaitNumbered(n *numbered, rec *ledger.Record) reply {
	t := time.NewTimer(n.left())
	defer t.Stop()
	select {
	case <-rec.Done():
		a := rec.Answer()
		return reply{status: a.Status, body: a.Body}
	case <-t.C:
		return encode(unknown(n.id, "still_running", "the request is still running; ask again with the same ticket and number"))
	}
}

// forward passes a number to the entry that may start it. Nobody else may, so
// without that entry the answer is unknown. While a stopping home hands its
// ledger on, the heir is waited for.
func (e *Entry) forward(n *numbered) reply {
	e.count.forwarded.Inc(1)
	for {
		a, wait := e.forwardOnce(n)
		if !wait {
			return a
		}
		if n.left() < heirPause {
			return e.homeLost(n)
		}
		time.Sleep(heirPause)
		if e.owns(n) { // this entry is the heir
			return e.runNumbered(n, 0)
		}
	}
}

func (e *Entry) owns(n *numbered) bool {
	e.ledgerMu.Lock()
	defer e.ledgerMu.Unlock()
	return e.ledger.Owns(n.number.Incarnation)
}

// forwardOnce asks the entry that is known to own the number; wait is true when
// nothing was started and an heir is to be expected.
func (e *Entry) forwardOnce(n *numbered) (a reply, wait bool) {
	home, ok := e.view.Load().memberOf(n.number.Incarnation)
	if !ok || home.Name == e.set.Name || home.EntryPeerAddress == "" {
		return e.homeLost(n), false
	}
	req := &pb.Run{
		Ticket: n.text, Customer: n.customer.Name, Pipeline: n.pipeline.Name, Body: n.body,
		LeftUs: convert.Micros(n.left()), Hops: 1,
	}
	var r pb.RunReply
	err := e.links.Call(home.EntryPeerAddress, frame.Run, req, &r, n.left()+forwardGrace)
	switch {
	case err == nil && r.GetMoved():
		return reply{}, true
	case err == nil:
		return reply{status: int(r.GetStatus()), body: r.GetBody()}, false
	case home.Leaving && link.IsDialError(err):
		return reply{}, true
	}
	return e.homeLost(n), false
}

func (e *Entry) homeLost(n *numbered) reply {
	event.TicketHomeUnreachable.Log(e.log, "request", n.id, "home", n.prefix.Home)
	e.tally(outcome.Unknown)
	return encode(unknown(n.id, "home_unreachable", "only "+n.prefix.Home+" may run this number and it can't be reached; the request may have run"))
}

// serveLink serves one stream of a peer entry.
func (e *Entry) serveLink(k frame.Kind, first []byte, s net.Conn) {
	defer func() { // a peer's message ends its own stream at worst
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
			_ = frame.Write(s, frame.Reply, e.takeHandover(&h))
		}
	}
}

// serveForwarded runs a number that another entry received.
func (e *Entry) serveForwarded(q *pb.Run) *pb.RunReply {
	a := e.runForwarded(q)
	return &pb.RunReply{Status: uint32(a.status), Body: a.body, Moved: a.moved}
}

func (e *Entry) runForwarded(q *pb.Run) reply {
	v := e.view.Load()
	if v == nil || v.fleet == nil {
		return encode(unknown("", codeNotReady, "the home has no configuration yet"))
	}
	for i := range v.fleet.Customers {
		c := &v.fleet.Customers[i]
		if c.Name != q.GetCustomer() {
			continue
		}
		r, fail := newRun(v, c, q.GetPipeline(), q.GetBody(), time.Now())
		if fail != nil {
			return encode(doubt(fail, q.GetTicket()))
		}
		r.deadline = r.received.Add(convert.FromMicros(q.GetLeftUs()))
		n, fail := e.parseTicket(r, q.GetTicket())
		if fail != nil {
			return encode(fail)
		}
		return e.runNumbered(n, int(q.GetHops()))
	}
	return encode(unknown("", codeNoCustomer, "the home does not know the customer"))
}
