package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// crashParts records the end of a replica while it ran requests with some parts. The requests
// held trial leases of those in trials.
func crashParts(tr *Tracker, now time.Duration, n int, trials []Fingerprint, parts ...Fingerprint) {
	tr.RecordBrokenParts(now, parts, trials, incarnation(n))
	tr.RecordEnd(now, incarnation(n))
}

func verdictOn(tr *Tracker, now time.Duration, parts ...Fingerprint) Verdict {
	return tr.Judge(now, Request{Whole: 1000, Parts: parts}).Verdict
}

// Ends beside others never quarantine a part, however many replicas crash by themselves: only
// the end of a replica in its trial does.
func TestOnlyATrialQuarantinesAPart(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions(), 0)
	for n, want := range []Verdict{Unsuspected, Unsuspected, Suspect, Suspect, Suspect, Suspect, Suspect} {
		is.Equal(verdictOn(tr, 0, 7), want)
		crashParts(tr, 0, n, nil, 7)
	}
	j := tr.Judge(0, Request{Whole: 1000, Parts: []Fingerprint{8, 7}})
	is.Equal(j, Judgement{Verdict: Suspect, Ends: 7, Trials: []Fingerprint{7}})
	crashParts(tr, 0, 10, []Fingerprint{7}, 8, 7)
	j = tr.Judge(0, Request{Whole: 1000, Parts: []Fingerprint{8, 7}})
	is.Equal(j.Verdict, Quarantined)
	is.Equal(j.Cause, Fingerprint(7))
	is.Equal(verdictOn(tr, 0, 8), Unsuspected)
}

// A part in many requests is answered all the time, here or at a peer, and is never suspect.
func TestPartsThatOthersAreAnsweredOnAreNotBlamed(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultOptions(), 0), New(DefaultOptions(), 0)
	const system, guilty = 1, 2
	b.RecordSoundParts(0, []Fingerprint{system})
	for n := range 3 {
		crashParts(a, 0, n, nil, system, guilty)
	}
	announce(0, a, b)
	announce(0, b, a)
	is.Equal(verdictOn(a, 0, system), Unsuspected)
	is.Equal(verdictOn(b, 0, system), Unsuspected)
	is.Equal(verdictOn(a, 0, system, guilty), Suspect)
	is.Equal(verdictOn(b, 0, system, guilty), Suspect)
	later := DefaultOptions().PartSuccessTTL + time.Minute
	crashParts(b, later, 10, nil, system)
	crashParts(b, later, 11, nil, system)
	is.Equal(verdictOn(b, later, system), Suspect)
}

// LOST: a sound part that was always beside a guilty one is told apart by the first request that
// holds only one of them, and not refused with it.
func TestPartsThatWereAlwaysTogetherAreToldApart(t *testing.T) {
	const first, guilty = 1, 2
	quarantined := func() *Tracker {
		tr := New(DefaultOptions(), 0)
		for n := range 6 {
			crashParts(tr, 0, n, nil, first, guilty)
		}
		crashParts(tr, 0, 6, []Fingerprint{first, guilty}, first, guilty)
		return tr
	}
	t.Run("sound one first", func(t *testing.T) {
		is := is.New(t)
		tr := quarantined()
		is.Equal(verdictOn(tr, 0, first, guilty), Quarantined)
		is.Equal(verdictOn(tr, 0, first), Suspect)
		tr.RecordSoundParts(0, []Fingerprint{first})
		is.Equal(verdictOn(tr, 0, first), Unsuspected)
		is.Equal(verdictOn(tr, 0, first, guilty), Quarantined)
		is.Equal(verdictOn(tr, 0, guilty), Quarantined)
	})
	t.Run("guilty one first", func(t *testing.T) {
		is := is.New(t)
		tr := quarantined()
		is.Equal(verdictOn(tr, 0, guilty), Suspect)
		crashParts(tr, 0, 7, []Fingerprint{guilty}, guilty)
		is.Equal(verdictOn(tr, 0, guilty), Quarantined)
		is.Equal(verdictOn(tr, 0, first), Suspect) // its ends are among the other's
		is.Equal(verdictOn(tr, 0, first, guilty), Quarantined)
	})
}

// LOST: a part of the one request that crashes replicas is not held against other requests with
// it: as long as that request explains all ends, they are no suspects, and then they are tried.
func TestPartOfOneCrashingRequestIsNotBlamed(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions(), 0)
	const guilty, part = 50, 7
	for n := range 2 {
		crash(tr, 0, n, guilty)
		crashParts(tr, 0, n, nil, part)
	}
	is.Equal(verdictOn(tr, 0, part), Unsuspected)
	crash(tr, 0, 2, guilty)
	crashParts(tr, 0, 2, []Fingerprint{part}, part)
	is.Equal(tr.Judge(0, Request{Whole: guilty, Parts: []Fingerprint{part}}).Verdict, Quarantined)
	is.Equal(verdictOn(tr, 0, part), Suspect)
	crashParts(tr, 0, 3, nil, part)
	crashParts(tr, 0, 4, []Fingerprint{part}, part)
	is.Equal(verdictOn(tr, 0, part), Quarantined) // the request does not explain these
}

// A part that crashed a replica by chance in its only trial is tried once more after a pause, and
// no more than that.
func TestQuarantinedPartIsTriedOnceMore(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	tr := New(o, 0)
	crashParts(tr, 0, 1, nil, 7)
	crashParts(tr, 0, 2, nil, 7)
	crashParts(tr, time.Second, 3, []Fingerprint{7}, 7)
	is.Equal(verdictOn(tr, o.RetrialPause, 7), Quarantined)
	again := time.Second + o.RetrialPause
	is.Equal(verdictOn(tr, again, 7), Suspect)
	crashParts(tr, again, 4, []Fingerprint{7}, 7)
	for now := again; now < again+10*o.RetrialPause; now += o.RetrialPause {
		is.Equal(verdictOn(tr, now, 7), Quarantined)
	}
}

// A request that saw replicas end only beside a quarantined part needs no trial of its own.
func TestRequestsBesideAQuarantinedPartAreNotSuspect(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions(), 0)
	for n := range 3 {
		crash(tr, 0, n, 50) // with whichever parts
		crashParts(tr, 0, n, []Fingerprint{7}, 7)
	}
	sound := Request{Whole: 50, Parts: []Fingerprint{8}}
	is.Equal(tr.Judge(0, sound).Verdict, Suspect) // it would be quarantined by its three ends
	crash(tr, 0, 9, 51)
	is.Equal(tr.Judge(0, Request{Whole: 51}).Verdict, Suspect) // beside nothing known
	crash(tr, 0, 0, 52)
	is.Equal(tr.Judge(0, Request{Whole: 52}).Verdict, Unsuspected)
}

// However many invented parts requests list, what one judgement and one end visit is bounded,
// and what is quarantined stays.
func TestInventedPartsAreBounded(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	o.MaxCases = 200
	tr := New(o, 0)
	for n := range 3 {
		crashParts(tr, 0, n, []Fingerprint{7}, 7)
	}
	for n := range 10_000 {
		now := time.Duration(n) * time.Millisecond
		tr.RecordSoundParts(now, []Fingerprint{Fingerprint(1_000_000 + n)})
		tr.RecordBrokenParts(now, []Fingerprint{Fingerprint(2_000_000 + n)}, nil, incarnation(n))
		tr.RecordEnd(now, incarnation(n))
	}
	is.True(len(tr.All(0)) <= o.MaxCases)
	is.True(len(tr.sound.current)+len(tr.sound.previous) <= 2*maxSuccessesPerHalf)
	is.Equal(verdictOn(tr, 10*time.Second, 7), Quarantined)
}

// An operator's release clears a part, also at an instance that learns of it from a peer.
func TestReleaseOfAPartReachesPeers(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultOptions(), 0), New(DefaultOptions(), 0)
	for n := range 3 {
		crashParts(a, 0, n, []Fingerprint{7}, 7)
	}
	announce(0, a, b)
	is.Equal(verdictOn(b, 0, 7), Quarantined)
	b.Release(0, 7)
	announce(0, b, a)
	is.Equal(verdictOn(a, 0, 7), Unsuspected)
	is.Equal(verdictOn(b, 0, 7), Unsuspected)
}

// An instance that has just started learns which parts are quarantined; what came through a build
// that does not know parts is known as a part again as soon as one who does tells of it.
func TestStartedInstancesLearnQuarantinedParts(t *testing.T) {
	is := is.New(t)
	a, started, throughOld := New(DefaultOptions(), 0), New(DefaultOptions(), 0), New(DefaultOptions(), 0)
	for n := range 3 {
		crashParts(a, 0, n, []Fingerprint{7}, 7)
	}
	crashParts(a, 0, 3, nil, 8)
	crashParts(a, 0, 4, nil, 8)
	for _, e := range a.Snapshot(0) {
		started.Merge(0, e)
		e.Kind, e.Tried = WholeRequest, nil // as an older build passes it on
		throughOld.Merge(0, e)
	}
	is.Equal(verdictOn(started, 0, 7), Quarantined)
	is.Equal(verdictOn(started, 0, 8), Suspect)
	is.Equal(verdictOn(throughOld, 0, 7), Quarantined)
	is.Equal(verdictOn(throughOld, 0, 8), Suspect)
	announce(0, a, throughOld)
	is.Equal(verdictOn(throughOld, 0, 7), Quarantined)
	is.Equal(throughOld.All(0)[0].Kind, SharedPart)
}

// What is exchanged stays bounded: a message holds at most the changed and the repeated cases
// that the options state, whatever number of parts is held, with none it holds nothing.
func TestPartsInMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	for _, parts := range []int{0, 1, 100, 1000} {
		tr := New(o, 0)
		for f := range parts {
			for n := range 3 {
				crashParts(tr, 0, 3*f+n, []Fingerprint{Fingerprint(f)}, Fingerprint(f))
			}
		}
		for range 200 {
			entries := tr.Updates(0)
			is.True(len(entries) <= o.MaxChangedPerMessage+o.RepeatsPerMessage)
			is.True(parts > 0 || len(entries) == 0)
		}
		is.True(len(tr.Snapshot(0)) <= o.MaxPerSnapshot)
	}
}
