package entry

import (
	"bufio"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"quinceroad/protocol/api"
	"quinceroad/protocol/event"
)

const tokenBufferSize = 256 // tokens that are buffered for a slow client

// serveStream sends tokens to the client as they are generated. The status line is not
// sent before the first token, so that a refusal still gets its own status code.
func (e *Entry) serveStream(ctx *fasthttp.RequestCtx, r *run) {
	tokens := make(chan string, tokenBufferSize)
	result := make(chan *runResult, 1)
	stopped := make(chan struct{})
	r.onToken = func(t string) {
		select {
		case tokens <- t:
		case <-stopped:
		}
	}
	e.inFlight.Add(1) // until the last byte is written, which is after the handler has returned
	go func() {
		f := e.runRecovered(r)
		close(tokens)
		result <- f
	}()
	first, ok := <-tokens
	if !ok {
		e.writeResult(ctx, <-result)
		e.inFlight.Add(-1)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.inFlight.Add(-1)
		defer close(stopped)
		if !writeToken(w, first) {
			r.abandon()
		}
		for t := range tokens {
			if !writeToken(w, t) {
				r.abandon()
				break
			}
		}
		f := <-drainTokens(result, tokens)
		e.countOutcome(f.outcome())
		writeEnd(w, f)
	})
}

// runRecovered runs a request outside its HTTP handler. A panic ends only this request.
func (e *Entry) runRecovered(r *run) (f *runResult) {
	defer func() {
		if v := recover(); v != nil {
			event.EntryPanicked.Log(e.log, "panic", v)
			f = &runResult{err: unknownOutcome(r.id, "internal", "internal error; the request may have run")}
		}
	}()
	return e.admitAndRun(r)
}

// drainTokens discards the tokens that an abandoned run still sends, so that the run
// can end, and returns the channel of its result.
func drainTokens(end chan *runResult, tokens chan string) chan *runResult {
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

// writeEnd sends the end event. A stream without it was truncated.
func writeEnd(w *bufio.Writer, f *runResult) {
	var v any = f.err
	if f.err == nil {
		a := *f.answer
		a.Output = "" // already sent as tokens; count and digest let the client verify them
		v = a
	}
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "event: end\ndata: %s\n\n", b)
	_ = w.Flush()
}
