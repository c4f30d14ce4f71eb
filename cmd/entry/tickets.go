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
	"quinceroad/transport/web"
)

const (
	forwardGrace = 300 * time.Millisecond // over the deadline, for the home's own answer to come back
	mostHops     = 1
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
	status, body := e.runNumbered(n, 0)
	web.Raw(ctx, status, body)
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

// runNumbered decides on a number and returns the answer's status and JSON.
func (e *Entry) runNumbered(n *numbered, hops int) (int, []byte) {
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
	case ledger.Foreign, ledger.HandedOn:
		return e.forward(n, hops)
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

func encode(e *api.Error) (int, []byte) {
	b, err := json.Marshal(e)
	if err != nil {
		panic(err) // a type of ours that can't be marshalled
	}
	return e.Status, b
}

// startNumbered runs the request apart from the caller that brought it: its
// answer goes to the ledger, whoever still waits for it.
func (e *Entry) startNumbered(n *numbered, rec *ledger.Record) {
	e.inFlight.Add(1)
	go func() {
		defer e.inFlight.Add(-1)
		a := ledger.Answer{Status: 504}
		defer func() {
			if v := recover(); v != nil {
				event.Panicked.Log(e.log, "panic", v)
				a.Status, a.Body = encode(unknown(n.id, "internal", "internal error; the request may have run"))
			}
			e.ledgerMu.Lock()
			e.ledger.Finish(rec, a)
			e.ledgerMu.Unlock()
		}()
		a.Status, a.Body = e.finish(e.admitAndRun(n.run))
	}()
}

// finish counts a final answer and returns its status and JSON.
func (e *Entry) finish(f *final) (int, []byte) {
	e.tally(f.outcome())
	if f.err != nil {
		return encode(f.err)
	}
	b, err := json.Marshal(f.answer)
	if err != nil {
		panic(err) // a type of ours that can't be marshalled
	}
	return 200, b
}

// awaitNumbered waits for the number's answer until the caller's deadline.
func (e *Entry) awaitNumbered(n *numbered, rec *ledger.Record) (int, []byte) {
	t := time.NewTimer(n.left())
	defer t.Stop()
	select {
	case <-rec.Done():
		a := rec.Answer()
		return a.Status, a.Body
	case <-t.C:
		return encode(unknown(n.id, "still_running", "the request is still running; ask again with the same ticket and number"))
	}
}

// forward passes a number to the entry that may start it. Nobody else may, so
// without that entry the answer is unknown.
func (e *Entry) forward(n *numbered, hops int) (int, []byte) {
	e.count.forwarded.Inc(1)
	home, ok := e.view.Load().memberOf(n.number.Incarnation)
	if !ok || hops >= mostHops || home.EntryLink == "" || home.Name == e.set.Name {
		return e.homeLost(n)
	}
	req := &pb.Run{
		Ticket: n.text, Customer: n.customer.Name, Pipeline: n.pipeline.Name, Body: n.body,
		LeftUs: convert.Micros(n.left()), Hops: uint32(hops + 1),
	}
	var reply pb.RunReply
	if err := e.links.Call(home.EntryLink, frame.Run, req, &reply, n.left()+forwardGrace); err != nil {
		return e.homeLost(n)
	}
	return int(reply.GetStatus()), reply.GetBody()
}

func (e *Entry) homeLost(n *numbered) (int, []byte) {
	event.HomeLost.Log(e.log, "request", n.id, "home", n.prefix.Home)
	e.tally(outcome.Unknown)
	return encode(unknown(n.id, "home_unreachable", "only "+n.prefix.Home+" may run this number and it can't be reached; the request may have run"))
}

// serveLink serves one stream of a peer entry.
func (e *Entry) serveLink(k frame.Kind, first []byte, s net.Conn) {
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
	status, body := e.runForwarded(q)
	return &pb.RunReply{Status: uint32(status), Body: body}
}

func (e *Entry) runForwarded(q *pb.Run) (int, []byte) {
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
