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
	leaseKey      = "orders/lease"
	leaseTTL      = 3 * time.Second
	leaseMargin   = 500 * time.Millisecond // the holder treats the lease as expired this long before its end
	renewInterval = 800 * time.Millisecond
	orderTimeout  = 600 * time.Millisecond // maximum duration of an order, including its answer
)

// orders sends each replica of a model engine the order to serve its service's
// declared model, while this coord holds the order lease. Replicas get their orders
// one at a time, so that the others keep serving and only one loads weights from the
// store.
type orders struct {
	coord   *Coord
	http    *fasthttp.Client
	lease   *lease.Lease
	sent    map[string]sentOrder // last order accepted, by replica
	wasHeld bool                 // the lease was held at the last check
}

// sentOrder is the model that a replica's incarnation was last ordered to serve.
type sentOrder struct {
	incarnation uint64
	model       string
}

func newOrders(c *Coord) *orders {
	return &orders{
		coord: c,
		http:  web.NewClient(),
		lease: lease.New(leaseTTL, leaseMargin),
		sent:  make(map[string]sentOrder),
	}
}

// loop renews the lease and sends orders. Its goroutine is the only one that uses the lease.
func (o *orders) loop(ctx context.Context) {
	process.Every(ctx, renewInterval, func() {
		if !o.isCandidate() {
			return
		}
		o.renew()
		o.handleLeaseChange()
		o.sendOrders(ctx)
	})
}

// isCandidate reports whether the declaration has a model to order and this instance
// is its hall's candidate for the lease. More candidates would only cause more calls to
// the platform.
func (o *orders) isCandidate() bool {
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

// renew acquires or renews the lease. The clock is read before the write is sent, so
// the estimate of the lease's end is never late.
func (o *orders) renew() {
	c := o.coord
	held := o.lease.Held(c.now())
	version := o.lease.Version()
	if !held {
		c.counters.platformReads.Inc(1)
		kv, err := c.platform.Get(leaseKey)
		if err != nil || (kv.Version != 0 && string(kv.Value) != c.leaseHolderID()) {
			o.lease.RecordLoss()
			return
		}
		version = kv.Version
	}
	sent := c.now()
	c.counters.platformWrites.Inc(1)
	newVersion, err := c.platform.Put(leaseKey, api.KVPut{Value: []byte(c.leaseHolderID()), IfVersion: version, LeaseMS: leaseTTL.Milliseconds()})
	if err != nil {
		// Refused, or the outcome is unknown: a lease that is held expires by this
		// process's clock.
		return
	}
	o.lease.RecordGrant(sent, newVersion)
}

// leaseHolderID names this incarnation, so that a restarted coord doesn't mistake its
// predecessor's lease for its own.
func (c *Coord) leaseHolderID() string {
	c.membersMu.RLock()
	defer c.membersMu.RUnlock()
	return fmt.Sprintf("%s/%d", c.settings.Name, c.view.Self().Incarnation)
}

// handleLeaseChange logs when the lease is acquired or lost, and forgets the sent
// orders when it is acquired.
func (o *orders) handleLeaseChange() {
	held := o.lease.Held(o.coord.now())
	switch {
	case held && !o.wasHeld:
		clear(o.sent) // another holder may have sent other orders meanwhile
		event.OrderLeaseAcquired.Log(o.coord.log, "token", o.lease.Version())
	case !held && o.wasHeld:
		event.OrderLeaseLost.Log(o.coord.log, "token", o.lease.Version())
	}
	o.wasHeld = held
}

// sendOrders sends an order to every replica that has not been ordered to serve the declared model.
func (o *orders) sendOrders(ctx context.Context) {
	_, f := o.coord.config()
	for _, r := range o.coord.allReplicas() {
		s, ok := f.Service(r.Service)
		if !ok || s.Model == "" || r.Leaving || o.sent[r.ID] == (sentOrder{r.Incarnation, s.Model}) {
			continue
		}
		if ctx.Err() != nil || !o.sendOrder(r, s) {
			return
		}
	}
}

// sendOrder sends one order. It returns false if the lease may expire before the answer.
func (o *orders) sendOrder(r replicas.Replica, s *fleet.Service) bool {
	if !r.ChecksFences && !o.lease.Settled(o.coord.now(), orderTimeout) {
		return true // an order of a former holder may still be under way; retried on the next round
	}
	token, ok := o.lease.CanAct(o.coord.now(), orderTimeout)
	if !ok {
		return false
	}
	if err := o.postOrder(r, s.Model, token); err != nil {
		event.OrderNotObeyed.Log(o.coord.log, "replica", r.ID, "model", s.Model, "token", token, "error", err.Error())
		return true
	}
	o.sent[r.ID] = sentOrder{r.Incarnation, s.Model}
	event.OrderObeyed.Log(o.coord.log, "replica", r.ID, "model", s.Model, "token", token)
	return true
}

func (o *orders) postOrder(r replicas.Replica, model string, token uint64) error {
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
	if err := o.http.DoTimeout(req, resp, orderTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != 200 {
		return fmt.Errorf("status %d", resp.StatusCode())
	}
	return nil
}
