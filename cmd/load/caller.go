// Package load is the load and experiment client: open-loop arrivals, one
// history line per request, the checker's verdict.
package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/cmd/check"
	"quinceroad/coordination/outcome"
	"quinceroad/protocol/api"
	"quinceroad/transport/web"
)

const (
	answerGrace = 3 * time.Second // over the deadline, before a caller gives up
	askTimeout  = time.Second
	mostAsked   = 8    // entries asked for addresses before giving up
	maxConns    = 4096 // open loop: as many as there are requests under way
	// idleFor is how long a caller keeps an idle connection: docs/API.md asks
	// for less than half of the shortest address lifetime, since the entry may
	// be another process by then.
	idleFor = 500 * time.Millisecond
)

// Caller is one customer's program: it asks which addresses to use, keeps the
// answer for its lifetime, and calls them.
type Caller struct {
	Key     string
	Hall    string
	Entries []string // IP:port of some entries, to ask first

	http   *fasthttp.Client
	mu     sync.Mutex
	answer api.AddressAnswer
	until  time.Time
	number atomic.Uint64
	turn   atomic.Uint64
}

// NewCaller returns a caller that has asked nobody yet.
func NewCaller(key, hall string, known []string) *Caller {
	c := &Caller{Key: key, Hall: hall, Entries: known, http: web.NewClient()}
	c.http.MaxConnsPerHost = maxConns
	c.http.MaxIdleConnDuration = idleFor
	return c
}

var errNoAddresses = errors.New("no entry answers with addresses")

// Addresses returns the kept answer, or asks anew when it has run out.
func (c *Caller) Addresses() (api.AddressAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.answer, nil
	}
	ask := make([]string, 0, len(c.Entries)+len(c.answer.Addresses))
	for _, a := range c.answer.Addresses {
		ask = append(ask, a.Address)
	}
	for i, addr := range append(ask, c.Entries...) {
		if i >= mostAsked {
			break
		}
		began := time.Now()
		var got api.AddressAnswer
		if c.get(addr, &got) == nil && len(got.Addresses) > 0 {
			c.answer = got
			c.until = began.Add(time.Duration(got.LifetimeMS) * time.Millisecond)
			return got, nil
		}
	}
	return c.answer, errNoAddresses
}

// Forget makes the next call ask anew.
func (c *Caller) ExpireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

func (c *Caller) get(addr string, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/v1/addresses")
	req.Header.Set(api.HeaderKey, "Bearer "+c.Key)
	req.Header.Set(api.HeaderHall, c.Hall)
	if err := c.http.DoTimeout(req, resp, askTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != 200 {
		return fmt.Errorf("status %d", resp.StatusCode())
	}
	return json.Unmarshal(resp.Body(), out)
}

// Request is one run to ask for.
type Request struct {
	Pipeline string
	Input    string
	Deadline time.Duration
	Stream   bool
	Ticketed bool   // under a ticket
	Ticket   string // a retry's; "" takes the next number
	Address  string // "" takes one of the answer's
	Label    string // the caller's own id for it
	Intended time.Time
}

// Do sends one request and returns what the caller was told.
func (c *Caller) Do(q Request) check.Response {
	t := check.Response{Label: q.Label, Pipeline: q.Pipeline, Input: q.Input, Deadline: q.Deadline, Intended: q.Intended, Ticket: q.Ticket}
	if t.Intended.IsZero() {
		t.Intended = time.Now()
	}
	addr := q.Address
	if addr == "" || (q.Ticketed && q.Ticket == "") {
		a, err := c.Addresses()
		if err != nil {
			t.Answered, t.Code = time.Now(), err.Error()
			return t
		}
		if q.Ticketed && q.Ticket == "" {
			t.Ticket = fmt.Sprintf("%s.%d", a.Ticket, c.number.Add(1))
		}
		switch {
		case addr == "" && q.Ticketed:
			addr = a.Home // any other would have to forward it there
		case addr == "":
			addr = a.Addresses[c.turn.Add(1)%uint64(len(a.Addresses))].Address
		}
	}
	err := c.post(addr, q, &t)
	if notSent(err) && q.Address == "" {
		err = c.elsewhere(addr, q, &t)
	}
	if err != nil {
		t.Code = err.Error()
	}
	t.Answered = time.Now()
	return t
}

// notSent reports whether no connection was made: nothing can have run.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// elsewhere tries the other addresses in turn, as a caller does whose entry is gone.
func (c *Caller) elsewhere(gone string, q Request, t *check.Response) error {
	c.ExpireAddresses()
	a, err := c.Addresses()
	if err != nil {
		return err
	}
	for _, other := range a.Addresses {
		if other.Address == gone {
			continue
		}
		if err = c.post(other.Address, q, t); !notSent(err) {
			return err
		}
	}
	return err
}

func (c *Caller) post(addr string, q Request, t *check.Response) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := json.Marshal(api.RunRequest{Input: q.Input, DeadlineMS: int(q.Deadline.Milliseconds()), Stream: q.Stream})
	if err != nil {
		return err
	}
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + addr + "/v1/pipelines/" + q.Pipeline + "/runs")
	req.Header.Set(api.HeaderKey, "Bearer "+c.Key)
	if t.Ticket != "" {
		req.Header.Set(api.HeaderTicket, t.Ticket)
	}
	if q.Label != "" {
		req.Header.Set(api.HeaderID, q.Label)
	}
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, q.Deadline+answerGrace); err != nil {
		return err
	}
	t.Status = resp.StatusCode()
	if strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		return readStream(resp.Body(), t)
	}
	return readAnswer(resp.Body(), t)
}

// readAnswer fills t from a whole answer or an error; both have its fields.
func readAnswer(body []byte, t *check.Response) error {
	var a struct {
		api.RunAnswer
		Code string `json:"code"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return err
	}
	t.ID, t.Outcome, t.Code = a.ID, a.Outcome, a.Code
	t.Output, t.Count, t.Digest, t.Stages = a.Output, a.Count, a.Digest, a.Stages
	return nil
}

// errCut is a stream without its end event.
var errCut = errors.New("the stream was cut")

func readStream(body []byte, t *check.Response) error {
	var output strings.Builder
	sc := bufio.NewScanner(bytes.NewReader(body))
	sc.Buffer(nil, len(body)+1)
	ended := false
	for sc.Scan() {
		line := sc.Bytes()
		data, isData := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case bytes.Equal(line, []byte("event: end")):
			ended = true
		case isData && ended:
			err := readAnswer(data, t)
			if t.Outcome == outcome.Done {
				t.Output = output.String()
			}
			return err
		case isData:
			var tok api.Token
			if err := json.Unmarshal(data, &tok); err != nil {
				return err
			}
			output.WriteString(tok.Text)
		}
	}
	return errCut
}
