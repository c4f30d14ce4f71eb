package coord

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/cmd/process"
	"quinceroad/coordination/lease"
	"quinceroad/coordination/replicas"
	"quinceroad/protocol/api"
	"quinceroad/protocol/event"
	"quinceroad/state/fleet"
	"quinceroad/transport/web"
)

const (
	leaseKey    = "orders/lease"
	leaseTTL    = 3 * time.Second
	leaseMargin = 500 * time.Millisecond
	leaseEvery  = 800 * time.Millisecond
	orderLimit  = 600 * time.Millisecond // of one order, with its answer
)

// orders gives model engines their orders while this coord holds the order
// lease: each engine replica is told to serve its service's declared model.
// One replica at a time, so that the others go on serving and the weight store
// is asked by one.
type orders struct {
	coord *Coord
	http  *fasthttp.Client
	lease *lease.Lease
	given map[string]given // by replica
	acted bool             // the lease was held at the last look
}

// given is what a replica's incarnation was last ordered.
type given struct {
	incarnation uint64
	model       string
}

func newOrders(c *Coord) *orders {
	return &orders{
		coord: c,
		http:  web.NewClient(),
		lease: lease.New(leaseTTL, leaseMargin),
		given: make(map[string]given),
	}
}

// loop is one goroutine, the only one that touches the lease.
func (o *orders) loop(ctx context.Context) {
	process.Every(ctx, leaseEvery, func() {
		if !o.wanted() {
			return
		}
		o.renew()
		o.noteChange()
		o.giveAll(ctx)
	})
}

// wanted reports whether the declaration orders anything, and this instance is
// among the few that try for the lease: more would only cost platform calls.
func (o *orders) wanted() bool {
	_, f := o.coord.config()
	if f == nil || !o.coord.isReader("orders") {
		return false
	}
	for _, s := range f.Services {
		if s.Model != "" {
			return true
		}
	}
	return false
}

// renew takes or renews the lease. The clock is read before the write is sent.
func (o *orders) renew() {
	c := o.coord
	held := o.lease.Held(c.now())
	version := o.lease.Version()
	if !held {
		c.count.platformReads.Inc(1)
		kv, err := c.platform.Get(leaseKey)
		if err != nil || (kv.Version != 0 && string(kv.Value) != c.leaseName()) {
			o.lease.RecordLoss()
			return
		}
		version = kv.Version
	}
	sent := c.now()
	c.count.platformWrites.Inc(1)
	next, err := c.platform.Put(leaseKey, api.KVPut{Value: []byte(c.leaseName()), IfVersion: version, LeaseMS: leaseTTL.Milliseconds()})
	if err != nil {
		// Refused, or unknown: what is held runs out by the own clock.
		return
	}
	o.lease.RecordGrant(sent, next)
}

// leaseName names this incarnation, so that a restarted coord does not take
// its predecessor's lease for its own.
func (c *Coord) leaseName() string {
	c.membersMu.RLock()
	defer c.membersMu.RUnlock()
	return fmt.Sprintf("%s/%d", c.set.Name, c.view.Self().Incarnation)
}

func (o *orders) noteChange() {
	held := o.lease.Held(o.coord.now())
	switch {
	case held && !o.acted:
		clear(o.given) // another may have ordered otherwise meanwhile
		event.OrderLeaseAcquired.Log(o.coord.log, "token", o.lease.Version())
	case !held && o.acted:
		event.OrderLeaseLost.Log(o.coord.log, "token", o.lease.Version())
	}
	o.acted = held
}

// giveAll orders every replica that was not ordered the declared model.
func (o *orders) giveAll(ctx context.Context) {
	_, f := o.coord.config()
	for _, r := range o.coord.allReplicas() {
		s, ok := f.Service(r.Service)
		if !ok || s.Model == "" || r.Leaving || o.given[r.ID] == (given{r.Incarnation, s.Model}) {
			continue
		}
		if ctx.Err() != nil || !o.give(r, s) {
			return
		}
	}
}

// give sends one order; false when the lease does not last for it.
func (o *orders) give(r replicas.Replica, s *fleet.Service) bool {
	if !r.ChecksFences && !o.lease.Settled(o.coord.now(), orderLimit) {
		return true // a former holder's order may still be under way: later
	}
	token, ok := o.lease.CanAct(o.coord.now(), orderLimit)
	if !ok {
		return false
	}
	if err := o.send(r, s.Model, token); err != nil {
		event.OrderNotObeyed.Log(o.coord.log, "replica", r.ID, "model", s.Model, "token", token, "error", err.Error())
		return true
	}
	o.given[r.ID] = given{r.Incarnation, s.Model}
	event.OrderObeyed.Log(o.coord.log, "replica", r.ID, "model", s.Model, "token", token)
	return true
}

func (o *orders) send(r replicas.Replica, model string, token uint64) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	b, err := json.Marshal(api.Order{Model: model})
	if err != nil {
		return err
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + r.Address + "/v1/orders")
	req.Header.Set(api.HeaderFence, strconv.FormatUint(token, 10))
	req.SetBody(b)
	if err := o.http.DoTimeout(req, resp, orderLimit); err != nil {
		return err
	}
	if resp.StatusCode() != 200 {
		return fmt.Errorf("status %d", resp.StatusCode())
	}
	return nil
}
