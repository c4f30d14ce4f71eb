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
	limitEvery   = 500 * time.Millisecond
	limitTimeout = 400 * time.Millisecond
	limitOwners  = 8               // coords that hold customers' budgets: bounds an entry's links
	limitIdle    = 5 * time.Second // a customer without requests for so long is not reported
)

// limits are the customers' buckets at this entry. Each customer has one rate
// over the whole fleet; its owner tells this entry its share of it. Without
// word of the owner the last share stays, or an even one.
type limits struct {
	entry *Entry
	mu    sync.Mutex // table.RankLimits
	rows  map[string]*limitRow
}

type limitRow struct {
	bucket limit.Bucket
	seen   int // requests since the last report
	last   time.Duration
	share  float64 // requests a second; 0: not told yet
}

func newLimits(e *Entry) *limits { return &limits{entry: e, rows: make(map[string]*limitRow)} }

// take takes one request off a customer's bucket, or tells when to come back.
func (l *limits) take(c *fleet.Customer, live int) (bool, time.Duration) {
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
	r.seen++
	r.last = l.entry.now()
	share := r.share
	if share == 0 {
		share = c.Rate / float64(live)
	}
	return r.bucket.Take(r.last, share, c.Burst*share/c.Rate)
}

// loop reports what this entry sees and takes in its shares.
func (l *limits) loop(ctx context.Context) {
	t := time.NewTicker(limitEvery)
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

// demands returns what is to be reported, by owner.
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
		if now-r.last > limitIdle {
			delete(l.rows, name)
			continue
		}
		addr := v.limitOwners[xxhash.Sum64String(name)%limitOwners]
		d, ok := out[addr]
		if !ok {
			d = &pb.Demands{Entry: l.entry.set.Name}
			out[addr] = d
		}
		d.Demands = append(d.Demands, &pb.Demand{Customer: name, Rate: float64(r.seen) / limitEvery.Seconds()})
		r.seen = 0
	}
	return out
}

func (l *limits) report(addr string, d *pb.Demands) {
	var shares pb.Demands
	if addr == "" || l.entry.links.Call(addr, frame.Limits, d, &shares, limitTimeout) != nil {
		return // the last shares stay
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range shares.GetDemands() {
		if r, ok := l.rows[s.GetCustomer()]; ok {
			r.share = s.GetRate()
		}
	}
}

// assignLimits works out who owns the customers' budgets.
func (v *view) assignLimits(names []string, links map[string]string) {
	for i := range v.limitOwners {
		v.limitOwners[i] = links[rendezvous.Owner(fmt.Sprint("limits/", i), names)]
	}
}
