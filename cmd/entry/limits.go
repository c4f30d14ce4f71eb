package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceroad/coordination/limit"
	"quinceroad/coordination/rendezvous"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/fleet"
)

const (
	limitInterval    = 500 * time.Millisecond // between reports of the demand
	limitTimeout     = 400 * time.Millisecond // of one report
	limitOwnerCount  = 8                      // owners that customers are distributed among; bounds the connections of an entry
	limitIdleTimeout = 5 * time.Second        // a customer without requests for this long is no longer reported
)

// limits holds the customers' token buckets of this entry. Each customer has one rate
// for the whole fleet, of which the owner of its limit allocates a share to this entry.
// Without a response from the owner the last share stays in use, or initially an even
// split among the live instances.
type limits struct {
	entry *Entry
	mu    sync.Mutex // table.RankLimits
	rows  map[string]*limitRow
}

type limitRow struct {
	bucket      limit.Bucket
	requests    int           // requests since the last report
	lastRequest time.Duration // on the entry's clock
	rate        float64       // allocated share in requests per second; 0 before the first report
}

func newLimits(e *Entry) *limits { return &limits{entry: e, rows: make(map[string]*limitRow)} }

// admit takes one token from the customer's bucket. If there is none, it returns the
// time after which the client should retry.
func (l *limits) admit(c *fleet.Customer, live int) (bool, time.Duration) {
	if c.Rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.rows[c.Name]
	if !ok {
		r = &limitRow{}
		l.rows[c.Name] = r
	}
	r.requests++
	r.lastRequest = l.entry.now()
	rate := r.rate
	if rate == 0 {
		rate = c.Rate / float64(live)
	}
	return r.bucket.Take(r.lastRequest, rate, c.Burst*rate/c.Rate)
}

// reportLoop periodically reports the customers' demand to the owners of their limits
// and applies the shares that these allocate.
func (l *limits) reportLoop(ctx context.Context) {
	t := time.NewTicker(limitInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var wg sync.WaitGroup
		for addr, d := range l.demands() {
			wg.Go(func() { l.report(addr, d) })
		}
		wg.Wait()
	}
}

// demands returns the demand since the last report, by owner address.
func (l *limits) demands() map[string]*pb.Demands {
	v := l.entry.view.Load()
	out := make(map[string]*pb.Demands)
	if v == nil {
		return out
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.entry.now()
	for name, r := range l.rows {
		if now-r.lastRequest > limitIdleTimeout {
			delete(l.rows, name)
			continue
		}
		addr := v.limitOwners[xxhash.Sum64String(name)%limitOwnerCount]
		d, ok := out[addr]
		if !ok {
			d = &pb.Demands{Entry: l.entry.settings.Name}
			out[addr] = d
		}
		d.Demands = append(d.Demands, &pb.Demand{Customer: name, Rate: float64(r.requests) / limitInterval.Seconds()})
		r.requests = 0
	}
	return out
}

func (l *limits) report(addr string, d *pb.Demands) {
	var shares pb.Demands
	if addr == "" || l.entry.links.Call(addr, frame.Limits, d, &shares, limitTimeout) != nil {
		return // the last shares stay in use
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range shares.GetDemands() {
		if r, ok := l.rows[s.GetCustomer()]; ok {
			r.rate = s.GetRate()
		}
	}
}

// assignLimitOwners selects the owners of the customers' rate limits.
func (v *view) assignLimitOwners(names []string, links map[string]string) {
	for i := range v.limitOwners {
		v.limitOwners[i] = links[rendezvous.Owner(fmt.Sprint("limits/", i), names)]
	}
}
