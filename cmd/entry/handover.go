package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"quinceroad/coordination/ledger"
	"quinceroad/coordination/membership"
	"quinceroad/coordination/rendezvous"
	"quinceroad/protocol/api"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/transport/platform"
)

const (
	successionPrefix       = "succession/"
	handoverTimeout        = 2 * time.Second
	handoverAttempts       = 3 // writes of the succession
	successionPollInterval = 100 * time.Millisecond
	successionTimeout      = 15 * time.Second       // after this a received ledger is discarded
	successionDelay        = 300 * time.Millisecond // for the successor to read the succession before this entry exits
)

// pendingHandover is a ledger that was received from a stopping entry and whose
// succession is not yet confirmed by the platform's store. None of its numbers may start
// before that.
type pendingHandover struct {
	lineage    []ledger.Predecessor
	entries    []ledger.Entry
	receivedAt time.Duration
}

// succession is the record in the platform's store that names the only entry that may
// start the numbers of a stopped entry's ledger.
type succession struct {
	Successor uint64 `json:"heir"` // entry incarnation
}

var errNoSuccessor = errors.New("no other live entry")

// handOverLedger sends the sealed ledger to a successor and publishes the succession in
// the platform's store. This order prevents a number from being started twice: Stop has
// sealed this entry's ledger before, and the successor starts numbers only after it has
// read the succession from the store.
func (e *Entry) handOverLedger() {
	e.ledgerMu.Lock()
	now := e.now()
	lineage, entries := e.ledger.Lineage(now), e.ledger.Export(now)
	e.ledgerMu.Unlock()
	successor, err := e.selectSuccessor()
	if err == nil {
		err = e.sendLedger(successor, lineage, entries)
	}
	if err == nil {
		err = e.publishSuccession(successor)
	}
	if err != nil {
		event.LedgerHandoverFailed.Log(e.log, "error", err.Error())
		return
	}
	event.LedgerHandedOver.Log(e.log, "heir", successor.Name, "entries", len(entries))
	time.Sleep(successionDelay)
}

// selectSuccessor selects a live entry as successor, from this entry's hall if there is
// one.
func (e *Entry) selectSuccessor() (membership.Member, error) {
	v := e.view.Load()
	if v == nil {
		return membership.Member{}, errNoSuccessor
	}
	byName := make(map[string]membership.Member)
	var sameHall, candidates []string
	for _, m := range v.members {
		if m.Name == e.settings.Name || m.State != membership.Alive || m.Leaving || m.EntryIncarnation == 0 {
			continue
		}
		byName[m.Name] = m
		candidates = append(candidates, m.Name)
		if m.Hall == e.settings.Hall {
			sameHall = append(sameHall, m.Name)
		}
	}
	if len(sameHall) > 0 {
		candidates = sameHall
	}
	if len(candidates) == 0 {
		return membership.Member{}, errNoSuccessor
	}
	return byName[rendezvous.Owner("heir/"+e.settings.Name, candidates)], nil
}

func (e *Entry) sendLedger(successor membership.Member, lineage []ledger.Predecessor, entries []ledger.Entry) error {
	h := &pb.Handover{FromIncarnation: e.incarnation}
	for _, p := range lineage {
		h.Predecessors = append(h.Predecessors, &pb.Predecessor{Incarnation: p.Incarnation, ElapsedUs: convert.Micros(p.Elapsed)})
	}
	for _, x := range entries {
		h.Entries = append(h.Entries, &pb.LedgerEntry{
			Key: x.Key, Status: uint32(x.Answer.Status), Answer: x.Answer.Body, AgeUs: convert.Micros(x.Age), Digest: x.Digest,
		})
	}
	var r pb.HandoverReply
	if err := e.links.Call(successor.EntryPeerAddress, frame.Handover, h, &r, handoverTimeout); err != nil {
		return err
	}
	if !r.GetReady() {
		return fmt.Errorf("successor %s rejected the handover", successor.Name)
	}
	return nil
}

// publishSuccession writes the succession to the platform's store, with retries.
func (e *Entry) publishSuccession(successor membership.Member) error {
	b, err := json.Marshal(succession{Successor: successor.EntryIncarnation})
	if err != nil {
		return err
	}
	key := successionKey(e.incarnation)
	for range handoverAttempts {
		_, err = e.platform.Put(key, api.KVPut{Value: b, LeaseMS: (10 * time.Minute).Milliseconds()})
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return nil // no other entry writes this key, so a conflict means that an earlier try was stored
		}
	}
	return err
}

func successionKey(incarnation uint64) string {
	return successionPrefix + strconv.FormatUint(incarnation, 16)
}

// receiveHandover stores the ledger of a stopping entry until the succession is
// published. A draining entry rejects it.
func (e *Entry) receiveHandover(h *pb.Handover) *pb.HandoverReply {
	if e.draining.Load() {
		return &pb.HandoverReply{}
	}
	pending := &pendingHandover{receivedAt: e.now()}
	for _, p := range h.GetPredecessors() {
		pending.lineage = append(pending.lineage, ledger.Predecessor{Incarnation: p.GetIncarnation(), Elapsed: convert.FromMicros(p.GetElapsedUs())})
	}
	for _, l := range h.GetEntries() {
		pending.entries = append(pending.entries, ledger.Entry{
			Key: l.GetKey(), Answer: ledger.Answer{Status: int(l.GetStatus()), Body: l.GetAnswer()},
			Age: convert.FromMicros(l.GetAgeUs()), Digest: l.GetDigest(),
		})
	}
	e.pendingHandovers.Put(h.GetFromIncarnation(), pending)
	go e.awaitSuccession(h.GetFromIncarnation())
	return &pb.HandoverReply{Ready: true}
}

// awaitSuccession polls the platform's store for the succession and adopts the ledger if
// it names this entry. Otherwise, or after successionTimeout, the ledger is discarded.
func (e *Entry) awaitSuccession(from uint64) {
	for until := e.now() + successionTimeout; e.now() < until; time.Sleep(successionPollInterval) {
		kv, err := e.platform.Get(successionKey(from))
		if err != nil || kv.Version == 0 {
			continue
		}
		var s succession
		pending, ok := e.pendingHandovers.GetAndDelete(from)
		if json.Unmarshal(kv.Value, &s) == nil && ok && s.Successor == e.incarnation {
			e.adopt(from, pending)
		}
		return
	}
	e.pendingHandovers.Delete(from)
}

// adopt merges the received ledger into this entry's and registers its incarnations with
// the coord.
func (e *Entry) adopt(from uint64, pending *pendingHandover) {
	e.ledgerMu.Lock()
	waited := e.now() - pending.receivedAt
	for i := range pending.lineage {
		pending.lineage[i].Elapsed += waited
	}
	for i := range pending.entries {
		pending.entries[i].Age += waited
	}
	e.ledger.Adopt(pending.lineage, pending.entries, e.now())
	e.adoptedIncarnations = e.ledger.AdoptedIncarnations()
	e.ledgerMu.Unlock()
	event.LedgerAdopted.Log(e.log, "from", from, "entries", len(pending.entries))
	e.announceToCoord()
}
