package origins

import (
	"context"
	"errors"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/buildlog"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

const (
	minUpdateDelay = 50 * time.Millisecond // pause after an update of the logs that failed; doubles with each failure
	maxUpdateDelay = 1 * time.Second
	readersTime    = 100 * time.Millisecond // for the readers of the store to write what all instances want
	readersTries   = 2                      // looks whether they have, before another instance writes it
	maxConflicts   = 6                      // reads of one update, and writes that others may forestall
	// firstStartTime is the time after the system's first start in which its logs are created.
	firstStartTime = time.Minute
)

// firstRead is what this instance's first read of the logs has shown.
type firstRead struct {
	era     uint64
	isEmpty bool
}

// run updates the logs when something is wanted.
func (l *logs) run(ctx context.Context) {
	delay := minUpdateDelay
	for {
		select {
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		process.Sleep(ctx, time.Duration(l.opts.Jitter*float64(l.keeper.readGap()))) // not all at the same moment
		err := l.update(ctx)
		l.failing.Store(err != nil)
		if err == nil {
			delay = minUpdateDelay
			continue
		}
		process.Sleep(ctx, delay)
		delay = min(2*delay, maxUpdateDelay)
		l.signal()
	}
}

// update has the logs hold what is wanted, by writes of this instance or else of a peer.
func (l *logs) update(ctx context.Context) error {
	for try := range maxConflicts {
		uncovered := l.uncovered()
		if len(uncovered) == 0 {
			return nil
		}
		s, err := l.reads.get(ctx)
		if err != nil {
			event.NodeSideCallFailed.Log(l.opts.Log, "what", "logs of builds", "to", "store", "error", err)
			return l.updateByPeers(uncovered, err)
		}
		missing := l.missing(&s, uncovered)
		if len(missing) == 0 {
			return nil
		}
		if !l.opts.IsReader() && try < readersTries {
			process.Sleep(ctx, readersTime)
			continue
		}
		err = l.opts.Store.WriteBuildLogs(missing)
		if err == nil {
			l.written.Inc(1)
			l.logWritten(missing)
		}
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			event.NodeSideCallFailed.Log(l.opts.Log, "what", "logs of builds", "to", "store", "error", err)
			return l.updateByPeers(uncovered, err)
		}
	}
	return platform.ErrConflict
}

// missing returns the entries that have to be written so that the logs hold what is wanted.
func (l *logs) missing(s *buildlog.Snapshot, wanted map[string]buildlog.Wanted) map[string]buildlog.Entry {
	isFirst := l.isFirstRead(s) && l.opts.IsFirstStart && l.opts.Now() < firstStartTime
	out := make(map[string]buildlog.Entry)
	for service, w := range wanted {
		if e, ok := s.Missing(service, w, isFirst); ok {
			out[service] = e
		}
	}
	return out
}

// isFirstRead reports whether the store has held no logs at this instance's first read, and has
// not come back from a copy since.
func (l *logs) isFirstRead(s *buildlog.Snapshot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first == nil {
		l.first = &firstRead{era: s.Era, isEmpty: len(s.Entries) == 0}
	}
	return l.first.isEmpty && l.first.era == s.Era
}

func (l *logs) logWritten(entries map[string]buildlog.Entry) {
	for service, e := range entries {
		event.NodeBuildsLogged.Log(l.opts.Log, "service", service, "builds", e.Builds, "retiring", e.Retiring.Builds, "routes", len(e.Routes), "complete", !e.Incomplete, "era", e.Era)
	}
}

// updateByPeers has peers write what is wanted. It returns err if none can.
func (l *logs) updateByPeers(wanted map[string]buildlog.Wanted, err error) error {
	ask := &pb.BuildLogAsk{}
	for service, w := range wanted {
		ask.Wanted = append(ask.Wanted, platform.EncodeBuildLog(service, &buildlog.Entry{Builds: w.Builds, Routes: w.Routes}))
	}
	_, _ = l.askPeers(ask) // what matters is what is covered then
	if len(l.uncovered()) > 0 {
		return err
	}
	return nil
}

// settle reduces the logs by what nobody has wanted for long, or has them incomplete while
// older instances are live.
func (l *logs) settle() {
	if !l.opts.IsInTouch() || len(l.opts.Live().Instances) < 2 {
		return // an instance that sees no other one does not know how old the others are
	}
	settled := l.settled(l.keeper.hasOlderPeers())
	if len(settled) == 0 {
		return
	}
	go func() {
		if err := l.opts.Store.WriteBuildLogs(settled); err != nil {
			event.NodeSideCallFailed.Log(l.opts.Log, "what", "logs of builds", "to", "store", "error", err)
		} else {
			l.logWritten(settled)
		}
		_, _ = l.reads.get(context.Background()) // an error leaves the log as it was known, which the next look finds
	}()
}

// settled returns the entries that are to be changed.
func (l *logs) settled(hasOlderPeers bool) map[string]buildlog.Entry {
	wanted := l.opts.Wanted()
	l.mu.Lock()
	defer l.mu.Unlock()
	if hasOlderPeers {
		return l.log.Uncovered()
	}
	return l.log.Settle(l.opts.Now(), func(service string) buildlog.Wanted { return wanted[service] })
}
