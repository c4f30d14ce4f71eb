// Package load sends requests to a deployment for load tests and experiments. Arrivals
// are open loop: they don't wait for earlier responses. Each request adds one response
// to the history that package check verifies.
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
	responseGrace     = 3 * time.Second // time after the deadline until a caller's request times out
	addressTimeout    = time.Second
	maxAddressQueries = 8    // entries asked for addresses in one query
	maxConns          = 4096 // open loop: one connection per request in flight
	// idleConnTimeout is how long a caller keeps an idle connection. docs/API.md
	// asks for less than half of the shortest address lifetime, since another
	// process may have the entry's address after that.
	idleConnTimeout = 500 * time.Millisecond
)

// Caller is the client program of one customer: it asks the entries which addresses to
// use, caches the answer for its lifetime, and calls those addresses.
type Caller struct {
	Key     string
	Hall    string
	Entries []string // IP:port of some entries, to ask for addresses

	http        *fasthttp.Client
	mu          sync.Mutex
	addresses   api.AddressAnswer
	expires     time.Time
	lastTicket  atomic.Uint64 // last number used with a ticket
	lastAddress atomic.Uint64 // counts requests, to use the addresses in rotation
}

// NewCaller returns a caller without addresses; it asks for them when it needs them.
func NewCaller(key, hall string, known []string) *Caller {
	c := &Caller{Key: key, Hall: hall, Entries: known, http: web.NewClient()}
	c.http.MaxConnsPerHost = maxConns
	c.http.MaxIdleConnDuration = idleConnTimeout
	return c
}

var errNoAddresses = errors.New("no entry returned addresses")

// Addresses returns the cached answer, or a new one when it has expired.
func (c *Caller) Addresses() (api.AddressAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.addresses, nil
	}
	candidates := make([]string, 0, len(c.Entries)+len(c.addresses.Addresses))
	for _, a := range c.addresses.Addresses {
		candidates = append(candidates, a.Address)
	}
	for i, addr := range append(candidates, c.Entries...) {
		if i >= maxAddressQueries {
			break
		}
		start := time.Now()
		var got api.AddressAnswer
		if c.fetchAddresses(addr, &got) == nil && len(got.Addresses) > 0 {
			c.addresses = got
			c.expires = start.Add(time.Duration(got.LifetimeMS) * time.Millisecond)
			return got, nil
		}
	}
	return c.addresses, errNoAddresses
}

// ExpireAddresses makes the next request ask for addresses again.
func (c *Caller) ExpireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (c *Caller) fetchAddresses(addr string, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/v1/addresses")
	req.Header.Set(api.HeaderAuthorization, "Bearer "+c.Key)
	req.Header.Set(api.HeaderHall, c.Hall)
	if err := c.http.DoTimeout(req, resp, addressTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != 200 {
		return fmt.Errorf("status %d", resp.StatusCode())
	}
	return json.Unmarshal(resp.Body(), out)
}

// Request is one pipeline run to request.
type Request struct {
	Pipeline string
	Input    string
	Deadline time.Duration
	Stream   bool
	Ticketed bool   // sent with a ticket
	Ticket   string // the ticket to retry; "" uses the next number
	Address  string // the entry to call; "" uses one of the address answer's
	Label    string // the caller's own id of the request
	Intended time.Time
}

// Do sends one request and returns its response.
func (c *Caller) Do(q Request) check.Response {
	out := check.Response{Label: q.Label, Pipeline: q.Pipeline, Input: q.Input, Deadline: q.Deadline, Intended: q.Intended, Ticket: q.Ticket}
	if out.Intended.IsZero() {
		out.Intended = time.Now()
	}
	addr := q.Address
	if addr == "" || (q.Ticketed && q.Ticket == "") {
		a, err := c.Addresses()
		if err != nil {
			out.Answered, out.Code = time.Now(), err.Error()
			return out
		}
		if q.Ticketed && q.Ticket == "" {
			out.Ticket = fmt.Sprintf("%s.%d", a.Ticket, c.lastTicket.Add(1))
		}
		switch {
		case addr == "" && q.Ticketed:
			addr = a.Home // any other entry would have to forward it there
		case addr == "":
			addr = a.Addresses[c.lastAddress.Add(1)%uint64(len(a.Addresses))].Address
		}
	}
	err := c.post(addr, q, &out)
	if isDialError(err) && q.Address == "" {
		err = c.failOver(addr, q, &out)
	}
	if err != nil {
		out.Code = err.Error()
	}
	out.Answered = time.Now()
	return out
}

// isDialError reports whether no connection was made, so that nothing can have run.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// failOver tries the other addresses one after the other, as a caller does when its entry
// is down.
func (c *Caller) failOver(failed string, q Request, out *check.Response) error {
	c.ExpireAddresses()
	a, err := c.Addresses()
	if err != nil {
		return err
	}
	for _, other := range a.Addresses {
		if other.Address == failed {
			continue
		}
		if err = c.post(other.Address, q, out); !isDialError(err) {
			return err
		}
	}
	return err
}

func (c *Caller) post(addr string, q Request, out *check.Response) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := json.Marshal(api.RunRequest{Input: q.Input, DeadlineMS: int(q.Deadline.Milliseconds()), Stream: q.Stream})
	if err != nil {
		return err
	}
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + addr + "/v1/pipelines/" + q.Pipeline + "/runs")
	req.Header.Set(api.HeaderAuthorization, "Bearer "+c.Key)
	if out.Ticket != "" {
		req.Header.Set(api.HeaderTicket, out.Ticket)
	}
	if q.Label != "" {
		req.Header.Set(api.HeaderRequestID, q.Label)
	}
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, q.Deadline+responseGrace); err != nil {
		return err
	}
	out.Status = resp.StatusCode()
	if strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		return parseStream(resp.Body(), out)
	}
	return parseAnswer(resp.Body(), out)
}

// parseAnswer sets t's fields from the body of an answer or an error, which share field names.
func parseAnswer(body []byte, out *check.Response) error {
	var a struct {
		api.RunAnswer
		Code string `json:"code"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return err
	}
	out.ID, out.Outcome, out.Code = a.ID, a.Outcome, a.Code
	out.Output, out.Count, out.Digest, out.Stages = a.Output, a.Count, a.Digest, a.Stages
	return nil
}

// errStreamTruncated is the error of a stream without its end event.
var errStreamTruncated = errors.New("stream ended without its end event")

func parseStream(body []byte, out *check.Response) error {
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
			err := parseAnswer(data, out)
			if out.Outcome == outcome.Done {
				out.Output = output.String()
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
	return errStreamTruncated
}
