package entry

import (
	"bufio"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"quinceroad/protocol/api"
	"quinceroad/protocol/event"
)

const tokenBuffer = 256 // tokens a slow caller may be behind

// serveStream answers with tokens as they come. The status waits for the first
// token, so that a refusal still has its own.
func (e *Entry) serveStream(ctx *fasthttp.RequestCtx, r *run) {
	tokens := make(chan string, tokenBuffer)
	end := make(chan *final, 1)
	gone := make(chan struct{})
	r.onToken = func(t string) {
		select {
		case tokens <- t:
		case <-gone:
		}
	}
	e.inFlight.Add(1) // until the last byte is written, after the handler
	go func() {
		f := e.runGuarded(r)
		close(tokens)
		end <- f
	}()
	first, ok := <-tokens
	if !ok {
		e.answer(ctx, <-end)
		e.inFlight.Add(-1)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.inFlight.Add(-1)
		defer close(gone)
		if !writeToken(w, first) {
			r.abandon()
		}
		for t := range tokens {
			if !writeToken(w, t) {
				r.abandon()
				break
			}
		}
		f := <-endOf(end, tokens)
		e.tally(f.outcome())
		writeEnd(w, f)
	})
}

// runGuarded runs a request apart from its handler; its panic ends it alone.
func (e *Entry) runGuarded(r *run) (f *final) {
	defer func() {
		if v := recover(); v != nil {
			event.EntryPanicked.Log(e.log, "panic", v)
			f = &final{err: unknown(r.id, "internal", "internal error; the request may have run")}
		}
	}()
	return e.admitAndRun(r)
}

// endOf drains what an abandoned run still sends, so that its end comes.
func endOf(end chan *final, tokens chan string) chan *final {
	for range tokens {
	}
	return end
}

func writeToken(w *bufio.Writer, t string) bool {
	b, err := json.Marshal(api.Token{Text: t})
	if err != nil {
		return false
	}
	fmt.Fprintf(w, "event: token\ndata: %s\n\n", b)
	return w.Flush() == nil
}

// writeEnd sends the last event; a stream without one was cut.
func writeEnd(w *bufio.Writer, f *final) {
	var v any = f.err
	if f.err == nil {
		a := *f.answer
		a.Output = "" // the tokens were it; count and digest tell whether all came
		v = a
	}
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "event: end\ndata: %s\n\n", b)
	_ = w.Flush()
}
