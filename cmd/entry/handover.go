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
	successionPrefix = "succession/"
	handoverTimeout  = 2 * time.Second
	handoverTries    = 3
	heirPoll         = 100 * time.Millisecond
	heirPatience     = 15 * time.Second
	heirSettle       = 300 * time.Millisecond // for the heir to see the succession before this entry goes
)

// heirloom is a ledger that was sent here and whose succession is not yet
// confirmed by the platform; nothing of it starts before that.
type heirloom struct {
	line    []ledger.Predecessor
	entries []ledger.Entry
	came    time.Duration
}

// succession is the platform's word on who may start a stopped ledger's numbers.
type succession struct {
	Heir uint64 `json:"heir"` // entry incarnation
}

var errNoHeir = errors.New("no other live entry")

// handOver passes the sealed ledger to an heir. The order makes a double start
// impossible: Stop has sealed this entry's ledger before the heir can begin, and
// the heir begins only on the platform's word.
func (e *Entry) handOver() {
	e.ledgerMu.Lock()
	now := e.now()
	line, entries := e.ledger.Lineage(now), e.ledger.Export(now)
	e.ledgerMu.Unlock()
	heir, err := e.heir()
	if err == nil {
		err = e.send(heir, line, entries)
	}
	if err == nil {
		err = e.declare(heir)
	}
	if err != nil {
		event.LedgerHandoverFailed.Log(e.log, "error", err.Error())
		return
	}
	event.LedgerHandedOver.Log(e.log, "heir", heir.Name, "entries", len(entries))
	time.Sleep(heirSettle)
}

// heir picks the live entry that takes over, of the own hall if there is one.
func (e *Entry) heir() (membership.Member, error) {
	v := e.view.Load()
	if v == nil {
		return membership.Member{}, errNoHeir
	}
	byName := make(map[string]membership.Member)
	var near, far []string
	for _, m := range v.members {
		if m.Name == e.set.Name || m.State != membership.Alive || m.Leaving || m.EntryIncarnation == 0 {
			continue
		}
		byName[m.Name] = m
		far = append(far, m.Name)
		if m.Hall == e.set.Hall {
			near = append(near, m.Name)
		}
	}
	if len(near) > 0 {
		far = near
	}
	if len(far) == 0 {
		return membership.Member{}, errNoHeir
	}
	return byName[rendezvous.Owner("heir/"+e.set.Name, far)], nil
}

func (e *Entry) send(heir membership.Member, line []ledger.Predecessor, entries []ledger.Entry) error {
	h := &pb.Handover{FromIncarnation: e.incarnation}
	for _, p := range line {
		h.Predecessors = append(h.Predecessors, &pb.Predecessor{Incarnation: p.Incarnation, ElapsedUs: convert.Micros(p.Elapsed)})
	}
	for _, x := range entries {
		h.Entries = append(h.Entries, &pb.LedgerEntry{
			Key: x.Key, Status: uint32(x.Answer.Status), Answer: x.Answer.Body, AgeUs: convert.Micros(x.Age), Digest: x.Digest,
		})
	}
	var r pb.HandoverReply
	if err := e.links.Call(heir.EntryPeerAddress, frame.Handover, h, &r, handoverTimeout); err != nil {
		return err
	}
	if !r.GetReady() {
		return fmt.Errorf("heir %s does not take it", heir.Name)
	}
	return nil
}

// declare writes the succession once; a lost answer is read back.
func (e *Entry) declare(heir membership.Member) error {
	b, err := json.Marshal(succession{Heir: heir.EntryIncarnation})
	if err != nil {
		return err
	}
	key := successionKey(e.incarnation)
	for range handoverTries {
		_, err = e.platform.Put(key, api.KVPut{Value: b, LeaseMS: (10 * time.Minute).Milliseconds()})
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return nil // a conflict is our own earlier write: nobody else writes this key
		}
	}
	return err
}

func successionKey(incarnation uint64) string {
	return successionPrefix + strconv.FormatUint(incarnation, 16)
}

// takeHandover keeps a stopping entry's ledger until the platform says that
// this entry is its heir.
func (e *Entry) takeHandover(h *pb.Handover) *pb.HandoverReply {
	if e.leaving.Load() {
		return &pb.HandoverReply{}
	}
	x := &heirloom{came: e.now()}
	for _, p := range h.GetPredecessors() {
		x.line = append(x.line, ledger.Predecessor{Incarnation: p.GetIncarnation(), Elapsed: convert.FromMicros(p.GetElapsedUs())})
	}
	for _, l := range h.GetEntries() {
		x.entries = append(x.entries, ledger.Entry{
			Key: l.GetKey(), Answer: ledger.Answer{Status: int(l.GetStatus()), Body: l.GetAnswer()},
			Age: convert.FromMicros(l.GetAgeUs()), Digest: l.GetDigest(),
		})
	}
	e.heirlooms.Put(h.GetFromIncarnation(), x)
	go e.awaitSuccession(h.GetFromIncarnation())
	return &pb.HandoverReply{Ready: true}
}

// awaitSuccession asks the platform until it names this entry, or for a while.
func (e *Entry) awaitSuccession(from uint64) {
	for until := e.now() + heirPatience; e.now() < until; time.Sleep(heirPoll) {
		kv, err := e.platform.Get(successionKey(from))
		if err != nil || kv.Version == 0 {
			continue
		}
		var s succession
		x, ok := e.heirlooms.GetAndDelete(from)
		if json.Unmarshal(kv.Value, &s) == nil && ok && s.Heir == e.incarnation {
			e.adopt(from, x)
		}
		return
	}
	e.heirlooms.Delete(from)
}

func (e *Entry) adopt(from uint64, x *heirloom) {
	e.ledgerMu.Lock()
	waited := e.now() - x.came
	for i := range x.line {
		x.line[i].Elapsed += waited
	}
	for i := range x.entries {
		x.entries[i].Age += waited
	}
	e.ledger.Adopt(x.line, x.entries, e.now())
	e.succeeds = e.ledger.AdoptedIncarnations()
	e.ledgerMu.Unlock()
	event.LedgerAdopted.Log(e.log, "from", from, "entries", len(x.entries))
	e.tellCoord()
}
