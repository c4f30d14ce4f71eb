package coord

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"quinceroad/coordination/rendezvous"
	"quinceroad/coordination/revision"
	"quinceroad/protocol/api"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/protocol/settings"
)

const (
	configKey  = "config/current"
	watchFor   = 10 * time.Second
	backoffMin = 200 * time.Millisecond
	backoffMax = 5 * time.Second
)

// configLoop keeps the configuration: the hall's reader watches the platform,
// the others hear of a new revision from the beats and pull it from a peer.
func (c *Coord) configLoop(ctx context.Context) {
	version := c.firstConfig(ctx)
	var down time.Time
	backoff := backoffMin
	for ctx.Err() == nil {
		if !c.isReader("config") {
			pause(ctx, beatEvery)
			continue
		}
		c.count.platformReads.Inc(1)
		kv, err := c.watchPlatform(ctx, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			down = c.platformLost(down, err)
			pause(ctx, jitter(backoff))
			backoff = min(2*backoff, backoffMax)
			continue
		}
		backoff = backoffMin
		if !down.IsZero() {
			event.PlatformReachable.Log(c.log, "after", time.Since(down).String())
			down = time.Time{}
		}
		if kv.Version < version { // a stale read, or the store lost data
			c.offerStored(kv.Value, "platform")
			pause(ctx, beatEvery)
		} else if kv.Version > version {
			c.offerStored(kv.Value, "platform")
		}
		version = kv.Version
	}
}

// watched is what a watch of the platform brought.
type watched struct {
	kv  api.KV
	err error
}

// watchPlatform waits for a newer configuration, or until ctx ends; the call
// itself then ends by its own time-out.
func (c *Coord) watchPlatform(ctx context.Context, version uint64) (api.KV, error) {
	ch := make(chan watched, 1)
	go func() {
		kv, err := c.platform.Watch(configKey, version, watchFor)
		ch <- watched{kv, err}
	}()
	select {
	case <-ctx.Done():
		return api.KV{}, ctx.Err()
	case w := <-ch:
		return w.kv, w.err
	}
}

// firstConfig asks the seeds, which have what is in force, and then the
// platform, which may answer with older data; the highest is taken. It returns
// the platform's version of the key.
func (c *Coord) firstConfig(ctx context.Context) uint64 {
	c.askSeeds()
	c.count.platformReads.Inc(1)
	kv, err := c.platform.Get(configKey)
	if err != nil {
		c.platformLost(time.Time{}, err)
		return 0
	}
	if kv.Version > 0 {
		c.offerStored(kv.Value, "platform")
	}
	return kv.Version
}

func (c *Coord) platformLost(since time.Time, err error) time.Time {
	c.count.platformFailed.Inc(1)
	if !since.IsZero() {
		return since
	}
	event.PlatformUnreachable.Log(c.log, "error", err.Error())
	return time.Now()
}

// isReader reports whether this instance reads the topic for its hall.
func (c *Coord) isReader(topic string) bool {
	return c.readerOf(topic) == c.set.Name
}

func (c *Coord) readerOf(topic string) string {
	var hall []string
	for _, m := range c.members() {
		if m.Hall == c.set.Hall && m.State == 0 && !m.Leaving {
			hall = append(hall, m.Name)
		}
	}
	if len(hall) == 0 {
		return c.set.Name
	}
	return rendezvous.Owner(topic+"/"+c.set.Hall, hall)
}

func (c *Coord) offerStored(value []byte, from string) {
	var s api.StoredConfig
	if len(value) == 0 {
		rev, _ := c.config()
		event.ConfigOlderRefused.Log(c.log, "from", from, "revision", 0, "in_force", rev.Revision)
		return
	}
	if err := json.Unmarshal(value, &s); err != nil {
		event.ConfigInvalid.Log(c.log, "from", from, "revision", 0, "error", err.Error())
		return
	}
	c.offer(revision.Config{Revision: s.Revision, PlanID: s.PlanID, Declaration: s.Declaration}, from)
}

// offer takes a configuration into force if it is newer and can be read.
func (c *Coord) offer(cfg revision.Config, from string) revision.Verdict {
	f, err := settings.LoadPacked(cfg.Declaration)
	if err != nil {
		event.ConfigInvalid.Log(c.log, "from", from, "revision", cfg.Revision, "error", err.Error())
		return revision.Conflict
	}
	c.configMu.Lock()
	before := c.inForce.Config().Revision
	v := c.inForce.Offer(cfg)
	if v == revision.Adopted {
		c.fleet = f
	}
	c.configMu.Unlock()
	switch v {
	case revision.Adopted:
		event.ConfigAdopted.Log(c.log, "revision", cfg.Revision, "plan", cfg.PlanID)
		c.watchers.send(&pb.View{Config: convert.Config(cfg)})
		c.owner.configure()
		c.kickBeat()
	case revision.Older:
		event.ConfigOlderRefused.Log(c.log, "from", from, "revision", cfg.Revision, "in_force", before)
	case revision.Conflict:
		event.ConfigConflict.Log(c.log, "from", from, "revision", cfg.Revision, "plan", cfg.PlanID)
	}
	return v
}

// pullConfig takes a newer configuration from a peer, one at a time: news of a
// revision comes from several peers at once, and one copy of it is enough.
func (c *Coord) pullConfig(addr string, theirs uint64) {
	c.pulling.Lock()
	defer c.pulling.Unlock()
	rev, _ := c.config()
	if rev.Revision >= theirs {
		return
	}
	var r pb.Config
	if err := c.links.Call(addr, frame.PullConfig, &pb.PullConfig{Have: rev.Revision}, &r, pullTimeout); err != nil {
		return
	}
	if r.GetRevision() > rev.Revision {
		c.offer(convert.FromConfig(&r), addr)
	}
}

// servePullConfig answers with the configuration in force; who has it already
// gets its revision only.
func (c *Coord) servePullConfig(p *pb.PullConfig) *pb.Config {
	rev, _ := c.config()
	if p.GetHave() >= rev.Revision {
		return &pb.Config{Revision: rev.Revision, PlanId: rev.PlanID}
	}
	return convert.Config(rev)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// jitter spreads returns after an outage over half to one and a half of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

var errUndetermined = errors.New("the platform did not say whether the write took effect")
