package advisory

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func slotAsk(slots int) SlotAsk {
	return SlotAsk{Incarnation: "r", Tolerated: 2, Slots: slots, Share: 1, Hold: 10 * second}
}

// settledLeases returns leases of a replica whose slots the grantor knows to be free.
func settledLeases(slots int) (*SlotLeases, time.Duration) {
	l := NewSlotLeases(DefaultSlotLeaseOptions())
	l.Ask(0, slotAsk(slots))
	return l, l.opts.TakeoverTime
}

// grantAll takes all leases that there are at a time.
func grantAll(l *SlotLeases, now time.Duration, ask SlotAsk) (ids []LeaseID, wait time.Duration) {
	for {
		reply := l.Ask(now, ask)
		if !reply.Granted {
			return ids, reply.Wait
		}
		ids = append(ids, reply.ID)
	}
}

func TestNoMoreLeasesThanSlots(t *testing.T) {
	is := is.New(t)
	l, now := settledLeases(8)
	ids, _ := grantAll(l, now, slotAsk(8))
	is.Equal(len(ids), 8)
	l.Release(now, "r", ids[0], LeaseCompleted)
	l.Release(now, "r", ids[0], LeaseCompleted) // twice
	l.Release(now, "r", 1000, LeaseCompleted)   // of another grantor
	l.Release(now, "other", ids[1], LeaseCompleted)
	ids, _ = grantAll(l, now, slotAsk(8))
	is.Equal(len(ids), 1)
}

// A new grantor knows nothing of what its predecessor leased.
func TestNewGrantorFreesSlotsOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	l := NewSlotLeases(DefaultSlotLeaseOptions())
	leased := 0
	for now := time.Duration(0); now <= l.opts.TakeoverTime; now += l.opts.TakeoverTime / 8 {
		ids, _ := grantAll(l, now, slotAsk(8))
		leased += len(ids)
		is.Equal(leased, int(8*now/l.opts.TakeoverTime))
	}
}

// The two sides of a partition lease the parts of the slots that belong to their instances,
// and those that they get back when it heals one after the other.
func TestGrantorLeasesItsShareOfTheSlots(t *testing.T) {
	is := is.New(t)
	l, now := settledLeases(8)
	ask := slotAsk(8)
	ask.Share = 0.33
	ids, _ := grantAll(l, now, ask)
	is.Equal(len(ids), 3)
	ids, _ = grantAll(l, now, slotAsk(8))
	is.Equal(len(ids), 0)
	now += l.opts.TakeoverTime
	ids, _ = grantAll(l, now, slotAsk(8))
	is.Equal(len(ids), 5)
}

// What a replica tolerates bounds the refusals of all its senders together.
func TestRefusalsPauseLeases(t *testing.T) {
	is := is.New(t)
	l, now := settledLeases(8)
	ids, _ := grantAll(l, now, slotAsk(8))
	for _, id := range ids[:2] {
		l.Release(now, "r", id, LeaseRefused)
	}
	wait := l.Ask(now, slotAsk(8)).Wait
	is.True(wait >= second) // one refusal a second is affordable
	for _, id := range ids[2:] {
		l.Release(now, "r", id, LeaseCompleted)
	}
	ids, _ = grantAll(l, now+wait, slotAsk(8))
	is.True(len(ids) > 0 && len(ids) < 8)
}

// A replica may go on with a request that its sender has given up.
func TestAbandonedRequestKeepsItsSlotForAWhile(t *testing.T) {
	is := is.New(t)
	l, now := settledLeases(1)
	ids, _ := grantAll(l, now, slotAsk(1))
	now += 50 * time.Millisecond
	l.Release(now, "r", ids[0], LeaseCompleted)
	ids, _ = grantAll(l, now, slotAsk(1))
	is.Equal(len(ids), 1)
	l.Release(now, "r", ids[0], LeaseAbandoned)
	is.True(!l.Ask(now+199*time.Millisecond, slotAsk(1)).Granted)
	is.True(l.Ask(now+200*time.Millisecond, slotAsk(1)).Granted)
}

// A lease that was not used says nothing of how long requests take.
func TestUnusedLeaseIsNotMeasured(t *testing.T) {
	is := is.New(t)
	l, now := settledLeases(2)
	ids, _ := grantAll(l, now, slotAsk(2))
	l.Release(now+50*time.Millisecond, "r", ids[0], LeaseCompleted)
	l.Release(now+50*time.Millisecond, "r", ids[1], LeaseUnused)
	now += 50 * time.Millisecond
	ids, _ = grantAll(l, now, slotAsk(2))
	is.Equal(len(ids), 2)
	l.Release(now, "r", ids[0], LeaseUnused)
	is.Equal(l.replicas["r"].window.holdTime, 50*time.Millisecond)
}

// A holder that is gone without a word keeps its slot until the lease expires.
func TestLeaseExpires(t *testing.T) {
	is := is.New(t)
	l, now := settledLeases(2)
	grantAll(l, now, slotAsk(2))
	is.True(!l.Ask(now+10*second-1, slotAsk(2)).Granted)
	ids, _ := grantAll(l, now+10*second, slotAsk(2))
	is.Equal(len(ids), 2)
}

// Senders without a lease come back one after the other, and not later than bounded.
func TestDeniedSendersComeBackOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	l, now := settledLeases(8)
	grantAll(l, now, slotAsk(8))
	previous := time.Duration(0)
	for range 10 {
		reply := l.Ask(now, slotAsk(8))
		is.True(!reply.Granted && !reply.Queued && reply.Wait > previous)
		previous = reply.Wait
	}
	for range 10000 {
		is.True(l.Ask(now, slotAsk(8)).Wait <= l.opts.MaxDenial)
	}
}

// A request for a lease comes from a peer. Whatever it says, at least one slot is leased and
// no more than the replica has.
func TestOddAsksAreBounded(t *testing.T) {
	for _, ask := range []SlotAsk{
		{Incarnation: "r"},
		{Incarnation: "r", Slots: -3, Share: 1, Hold: -second},
		{Incarnation: "r", Slots: 4, Share: math.NaN(), Hold: second},
		{Incarnation: "r", Slots: 4, Share: math.Inf(1), Tolerated: math.Inf(1), Hold: second},
		{Incarnation: "r", Slots: math.MaxInt, Share: 1, Tolerated: math.NaN(), Hold: second},
	} {
		is := is.New(t)
		l := NewSlotLeases(DefaultSlotLeaseOptions())
		l.Ask(0, ask)
		is.True(l.Ask(l.opts.TakeoverTime, ask).Granted)
		is.True(l.replicas["r"].window.size <= maxLeasedSlots)
	}
}

// Who would wait longer than it may is denied at once. The others get the slots in the order
// in which they asked.
func TestSendersWaitForSlotsInTheirOrder(t *testing.T) {
	is := is.New(t)
	l, now := settledLeases(2)
	first, _ := grantAll(l, now, slotAsk(2))
	now += 100 * time.Millisecond
	l.Release(now, "r", first[0], LeaseCompleted) // a slot is free each 50 ms
	first = append(first[1:], l.Ask(now, slotAsk(2)).ID)
	ask := slotAsk(2)
	ask.MaxWait = 160 * time.Millisecond
	var queued []LeaseID
	for range 3 {
		reply := l.Ask(now, ask)
		is.True(reply.Queued && !reply.Granted)
		queued = append(queued, reply.ID)
	}
	denied := l.Ask(now, ask)
	is.True(!denied.Queued && !denied.Granted && denied.Wait > 0)
	is.Equal(len(l.Advance(now, "r")), 0)
	l.Release(now, "r", queued[1], LeaseCompleted) // its sender has gone
	for _, id := range first {
		l.Release(now, "r", id, LeaseCompleted)
	}
	is.Equal(l.Advance(now, "r"), []LeaseID{queued[0], queued[2]})
	is.Equal(l.Held()["r"], 2)
	is.Equal(len(l.Advance(now, "other")), 0)
}

// Replicas are kept for as long as somebody asks and this instance is their grantor.
func TestLeasesOfReplicasExpire(t *testing.T) {
	is := is.New(t)
	l, now := settledLeases(1)
	l.Expire(now, func(string) bool { return true })
	is.Equal(len(l.Held()), 1)
	l.Expire(now+2*l.opts.IdleRetention, func(string) bool { return true })
	is.Equal(len(l.Held()), 0)
	l, now = settledLeases(1)
	l.Expire(now, func(string) bool { return false })
	is.Equal(len(l.Held()), 0)
}

// The work for a lease doesn't grow with the slots that are in use: leases are visited only
// when one has expired.
func TestWorkForALeaseDoesNotGrowWithTheSlots(t *testing.T) {
	visits := func(slots int) int {
		l, now := settledLeases(slots)
		for range slots {
			l.Ask(now, slotAsk(slots))
		}
		before := l.visited
		for range 1000 {
			l.Ask(now+second, slotAsk(slots))
		}
		return l.visited - before
	}
	if small, large := visits(8), visits(800); small != 0 || large != 0 {
		t.Errorf("%d leases visited of 8, %d of 800", small, large)
	}
}

// With very many senders the loss formula is Erlang's, and one sender more than slots is
// refused only while all others have a slot.
func TestLargestIntensityIsRefusedAsOftenAsAllowed(t *testing.T) {
	is := is.New(t)
	const many = 1_000_000
	is.True(math.Abs(blocking(many, 8, 4.0/many)-0.0304) < 0.0001)
	is.True(math.Abs(blocking(many, 1, 1.0/many)-0.5) < 0.0001)
	is.True(math.Abs(blocking(3, 2, 1)-3.0/7) < 0.0001)
	for _, senders := range []int{9, 60, 295, 985} {
		previous := 0.0
		for _, slots := range []int{1, 2, 8} {
			x := largestIntensity(senders, slots, 0.001)
			is.True(x > previous)
			is.True(math.Abs(float64(senders-slots)*x*blocking(senders, slots, x)-0.001) < 0.0001)
			previous = x
		}
	}
	is.True(largestIntensity(9, 8, 1000) > maxIntensity/2)
}

// The more is tolerated, the more may be refused on average, and never as much as that.
func TestAffordableRefusals(t *testing.T) {
	is := is.New(t)
	previous := 0.0
	for _, tolerated := range []float64{0, 0.5, 1, 3, 10, 30, 1e6} {
		mean := affordableRefusals(tolerated)
		is.True(mean > 0 && mean >= previous)
		is.True(tolerated == 0 || mean < tolerated/3)
		previous = mean
	}
}

// A sender that reaches no grantor may send while others use all slots with leases. Its
// requests are as rare as refusals have to be.
func TestRequestsBesideLeasesAreRare(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.RecordBrittle(brittle(10, 60, 8))
	for rank := range Grantors {
		got, ok := tr.NextGrantor(0, "r")
		is.True(ok)
		is.Equal(got, rank)
		tr.RecordGrantorLost(0, "r", rank, 1000*second)
	}
	_, ok := tr.NextGrantor(0, "r")
	is.True(!ok)
	sent := 0
	for now := time.Duration(0); now < 1000*second; now += second / 10 {
		if a, ok := tr.Begin(now, "r", "s"); ok {
			sent++
			tr.RecordAnswer(now+second/20, a)
			tr.End(a)
		}
	}
	is.True(sent >= 20 && sent <= 60) // 2.5 a second for 60 senders
	rank, ok := tr.NextGrantor(1000*second, "r")
	is.True(ok)
	is.Equal(rank, 0)
}

// A denied lease keeps requests away until there is a slot, and a grantor that issues none
// leaves the sender to itself.
func TestDenialsOfLeases(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.RecordBrittle(brittle(10, 6, 8))
	tr.RecordLeaseDenied(0, "r", second)
	ok, from := tr.CanSend(0, "r")
	is.True(!ok)
	is.Equal(from, second)
	tr.Expire(second-1, all)
	is.True(!canSend(tr, second-1, "r")) // the sweep has not forgotten it
	is.True(canSend(tr, second, "r"))
	tr.Expire(second, all)
	is.Equal(len(tr.entries), 0)
	tr.RecordNoLeases(second, "r", 2*second)
	_, ok = tr.NextGrantor(second, "r")
	is.True(!ok)
	_, ok = tr.Begin(second, "r", "s")
	is.True(ok)
	tr.RecordDrain(2*second, "r")
	_, ok = tr.BeginLeased(2*second, "r")
	is.True(!ok)
}
