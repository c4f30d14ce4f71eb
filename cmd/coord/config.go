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
	configKey    = "config/current"
	watchTimeout = 10 * time.Second       // maximum time that a watch waits for a change
	minBackoff   = 200 * time.Millisecond // before jitter, after the first failed watch; doubled by each further one
	maxBackoff   = 5 * time.Second
)

// configLoop keeps the configuration up to date: the hall's reader watches the
// platform; the other coords receive the number of a new revision with heartbeats and
// pull it from a peer.
func (c *Coord) configLoop(ctx context.Context) {
	version := c.loadInitialConfig(ctx)
	var downSince time.Time
	backoff := minBackoff
	for ctx.Err() == nil {
		if !c.isReader("config") {
			sleep(ctx, heartbeatInterval)
			continue
		}
		c.counters.platformReads.Inc(1)
		kv, err := c.watchPlatform(ctx, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			downSince = c.recordPlatformFailure(downSince, err)
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if !downSince.IsZero() {
			event.PlatformReachable.Log(c.log, "after", time.Since(downSince).String())
			downSince = time.Time{}
		}
		if kv.Version < version { // a stale read, or the store lost data
			c.offerStored(kv.Value, "platform")
			sleep(ctx, heartbeatInterval)
		} else if kv.Version > version {
			c.offerStored(kv.Value, "platform")
		}
		version = kv.Version
	}
}

// watchResult is the result of a watch of the platform.
type watchResult struct {
	kv  api.KV
	err error
}

// watchPlatform waits for a newer configuration, watchTimeout, or the end of ctx. In the
// last case the call to the platform continues in the background until its own timeout.
func (c *Coord) watchPlatform(ctx context.Context, version uint64) (api.KV, error) {
	ch := make(chan watchResult, 1)
	go func() {
		kv, err := c.platform.Watch(configKey, version, watchTimeout)
		ch <- watchResult{kv, err}
	}()
	select {
	case <-ctx.Done():
		return api.KV{}, ctx.Err()
	case w := <-ch:
		return w.kv, w.err
	}
}

// loadInitialConfig asks the seeds, which have the configuration in force, and then
// the platform, which may answer with older data; the highest revision wins. It
// returns the platform's version of the key.
func (c *Coord) loadInitialConfig(ctx context.Context) uint64 {
	c.contactSeeds()
	c.counters.platformReads.Inc(1)
	kv, err := c.platform.Get(configKey)
	if err != nil {
		c.recordPlatformFailure(time.Time{}, err)
		return 0
	}
	if kv.Version > 0 {
		c.offerStored(kv.Value, "platform")
	}
	return kv.Version
}

// recordPlatformFailure counts a failed call, logs the start of an outage, and
// returns when the outage started.
func (c *Coord) recordPlatformFailure(since time.Time, err error) time.Time {
	c.counters.platformFailed.Inc(1)
	if !since.IsZero() {
		return since
	}
	event.PlatformUnreachable.Log(c.log, "error", err.Error())
	return time.Now()
}

// isReader reports whether this instance reads the topic for its hall.
func (c *Coord) isReader(topic string) bool {
	return c.readerOf(topic) == c.settings.Name
}

// readerOf names the hall's instance that reads the topic from the platform: one of
// the live members that are not leaving, chosen by rendezvous hashing.
func (c *Coord) readerOf(topic string) string {
	var hall []string
	for _, m := range c.members() {
		if m.Hall == c.settings.Hall && m.State == 0 && !m.Leaving {
			hall = append(hall, m.Name)
		}
	}
	if len(hall) == 0 {
		return c.settings.Name
	}
	return rendezvous.Owner(topic+"/"+c.settings.Hall, hall)
}

// offerStored decodes a stored configuration and offers it.
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

// offer adopts a configuration if it is newer and its declaration is valid.
func (c *Coord) offer(cfg revision.Config, from string) revision.Verdict {
	parsed, err := settings.LoadPacked(cfg.Declaration)
	if err != nil {
		event.ConfigInvalid.Log(c.log, "from", from, "revision", cfg.Revision, "error", err.Error())
		return revision.Conflict
	}
	c.configMu.Lock()
	before := c.inForce.Config().Revision
	v := c.inForce.Offer(cfg)
	if v == revision.Adopted {
		c.fleet = parsed
	}
	c.configMu.Unlock()
	switch v {
	case revision.Adopted:
		event.ConfigAdopted.Log(c.log, "revision", cfg.Revision, "plan", cfg.PlanID)
		c.watchers.send(&pb.View{Config: convert.Config(cfg)})
		c.slotOwner.configure()
		c.triggerHeartbeat()
	case revision.Older:
		event.ConfigOlderRefused.Log(c.log, "from", from, "revision", cfg.Revision, "in_force", before)
	case revision.Conflict:
		event.ConfigConflict.Log(c.log, "from", from, "revision", cfg.Revision, "plan", cfg.PlanID)
	}
	return v
}

// pullConfig gets a newer configuration from a peer. Pulls run one at a time: several
// peers report a new revision at once, and one copy of it is enough.
func (c *Coord) pullConfig(addr string, peerRevision uint64) {
	c.pullMu.Lock()
	defer c.pullMu.Unlock()
	rev, _ := c.config()
	if rev.Revision >= peerRevision {
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

// servePullConfig answers with the configuration in force, or with its revision alone
// if the peer has it already.
func (c *Coord) servePullConfig(p *pb.PullConfig) *pb.Config {
	rev, _ := c.config()
	if p.GetHave() >= rev.Revision {
		return &pb.Config{Revision: rev.Revision, PlanId: rev.PlanID}
	}
	return convert.Config(rev)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// jitter returns a random time from half to one and a half of d, which spreads
// reconnects after an outage.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

var errUndetermined = errors.New("outcome of the write to the platform is unknown")
