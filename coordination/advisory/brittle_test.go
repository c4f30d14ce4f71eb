package advisory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func brittle(tolerated float64, senders, slots int) BrittleReport {
	return BrittleReport{Service: "s", Brittle: Brittle{Stated: true, Tolerated: tolerated}, Senders: senders, Slots: slots}
}

// Requests within this instance's part of the slots are not refused, however few may wait.
// Where the slots are unknown one more is tried when a refusal is affordable.
func TestBrittleReplicaGetsItsPartOfTheSlots(t *testing.T) {
	for _, c := range []struct{ senders, slots, window int }{{1, 6, 6}, {2, 6, 3}, {6, 6, 1}, {8, 6, 1}, {1, 0, 1}, {0, 0, 1}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			tr := New(DefaultOptions())
			is.True(tr.RecordBrittle(brittle(2, c.senders, c.slots)))
			is.True(!tr.RecordBrittle(brittle(2, c.senders, c.slots)))
			fill := func(now time.Duration) (sent []Attempt) {
				for {
					a, ok := tr.Begin(now, "r", "s")
					if !ok {
						return sent
					}
					sent = append(sent, a)
				}
			}
			sent := fill(0)
			is.Equal(len(sent), c.window)
			now := time.Duration(max(c.senders, 1)) * second // one refusal is affordable
			tr.RecordAnswer(now, sent[0])
			for _, a := range sent {
				tr.End(a)
			}
			wider := 0
			if c.slots == 0 {
				wider = 1
			}
			is.Equal(len(fill(now)), c.window+wider)
			is.True(canSend(tr, 0, "other"))
		})
	}
}

// A replica that comes back has stated nothing yet and must not be met by all at once.
func TestNewReplicaOfABrittleServiceIsBounded(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.RecordBrittle(brittle(1, 6, 6))
	_, ok := tr.Begin(0, "new", "s")
	is.True(ok)
	_, ok = tr.Begin(0, "new", "s")
	is.True(!ok)
	_, ok = tr.Begin(0, "of another service", "t")
	is.True(ok)
}

// What was refused counts against this instance's part of what the replica tolerates; with
// none left the replica gets nothing until it has recovered.
func TestRefusalsOfABrittleReplicaPauseIt(t *testing.T) {
	for _, c := range []struct {
		tolerated float64
		senders   int
		pause     time.Duration
	}{{4, 2, second}, {4, 4, 2 * second}, {0.5, 1, 4 * second}, {0, 1, 10 * second}, {1e6, 1, 2 * time.Microsecond}} {
		t.Run(fmt.Sprint(c.tolerated, c.senders), func(t *testing.T) {
			is := is.New(t)
			tr := New(DefaultOptions())
			tr.RecordBrittle(brittle(c.tolerated, c.senders, 0))
			a, ok := tr.Begin(0, "r", "s")
			is.True(ok)
			tr.RecordRefusal(0, a)
			tr.End(a)
			is.True(!canSend(tr, c.pause-1, "r"))
			is.True(canSend(tr, c.pause, "r"))
		})
	}
}

// However many refusals arrive at once, the pause is bounded.
func TestPauseOfABrittleReplicaIsBounded(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.RecordBrittle(brittle(1, 1, 0))
	a, _ := tr.Begin(0, "r", "s")
	for range 1000 {
		tr.RecordRefusal(0, a)
	}
	tr.End(a)
	is.True(canSend(tr, tr.opts.Brittle.MaxPause, "r"))
}

// A window that was too wide is tried again only when a refusal is affordable.
func TestWindowOfABrittleReplicaStaysBelowWhatWasRefused(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.RecordBrittle(brittle(2, 1, 0)) // one refusal a second
	first, _ := tr.Begin(0, "r", "s")
	tr.RecordRefusal(0, first)
	tr.End(first)
	now := second
	for ; now < 2*second-1; now += second / 10 {
		a, ok := tr.Begin(now, "r", "s")
		is.True(ok)
		is.True(!canSend(tr, now, "r"))
		tr.RecordAnswer(now, a)
		tr.End(a)
	}
	now = 2*second + time.Millisecond
	a, _ := tr.Begin(now, "r", "s")
	tr.RecordAnswer(now, a)
	is.True(canSend(tr, now, "r"))
}

// The statement ends with an answer that lacks it, and other advisories hold beside it.
func TestBrittleEndsAndLeavesOtherAdvisories(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	is.True(!tr.RecordBrittle(BrittleReport{Service: "s"}))
	tr.RecordBrittle(brittle(1, 1, 0))
	tr.RecordBackoff(0, "r", second)
	is.True(!canSend(tr, 0, "r"))
	a, ok := tr.Begin(second, "r", "s")
	is.True(ok)
	is.True(tr.RecordBrittle(BrittleReport{Service: "s"}))
	is.True(!tr.IsBrittle("s"))
	tr.RecordAnswer(second, a)
	tr.End(a) // of the earlier window
	tr.Expire(second, all)
	tr.RecordBrittle(brittle(1, 1, 0))
	_, ok = tr.Begin(second, "r", "s")
	is.True(ok)
	is.True(!tr.Empty())
	tr.Expire(2*second, all)
	is.True(!canSend(tr, 2*second, "r")) // the one in flight counts for as long as it is listed
}

// brittleModel is a number of senders before replicas whose room shrinks. It counts the
// falls of replicas from contact on after the statement.
type brittleModel struct {
	senders, replicas int
	tolerated         float64
	demand            float64 // requests a second of each sender
	slots             int
	room              func(now time.Duration) int // slots and requests that may wait
}

func (m *brittleModel) report() BrittleReport { return brittle(m.tolerated, m.senders, m.slots) }

const (
	modelTick    = 10 * time.Millisecond
	modelWork    = 50 * time.Millisecond
	modelEnd     = 20 * time.Second
	modelContact = 3 * time.Second
	modelRestart = 3 * time.Second
)

type modelRun struct {
	sender, replica int
	attempt         Attempt
	endsAt          time.Duration
}

// play returns the falls and the answers.
func (m *brittleModel) play(seed uint64) (falls, answered int) {
	random := rand.New(rand.NewPCG(seed, seed))
	trackers := make([]*Tracker, m.senders)
	for i := range trackers {
		trackers[i] = New(DefaultOptions())
	}
	running := make([][]modelRun, m.replicas)
	refusals := make([][]time.Duration, m.replicas)
	downUntil := make([]time.Duration, m.replicas)
	name := func(r int) string { return fmt.Sprintf("r%d@%d", r, downUntil[r]) }
	for now := time.Duration(0); now < modelEnd; now += modelTick {
		for r := range running {
			kept := running[r][:0]
			for _, x := range running[r] {
				if x.endsAt > now {
					kept = append(kept, x)
					continue
				}
				trackers[x.sender].RecordBrittle(m.report())
				trackers[x.sender].RecordAnswer(now, x.attempt)
				trackers[x.sender].End(x.attempt)
				answered++
			}
			running[r] = kept
		}
		for sender := range m.senders {
			for range int(m.demand*modelTick.Seconds() + random.Float64()) {
				r := random.IntN(m.replicas)
				if now < downUntil[r] {
					continue
				}
				a, ok := trackers[sender].Begin(now, name(r), "s")
				if !ok {
					continue
				}
				if len(running[r]) < m.room(now) {
					running[r] = append(running[r], modelRun{sender, r, a, now + modelWork})
					continue
				}
				trackers[sender].RecordBrittle(m.report())
				trackers[sender].RecordRefusal(now, a)
				trackers[sender].End(a)
				refusals[r] = append(refusals[r], now)
				for now-refusals[r][0] >= second {
					refusals[r] = refusals[r][1:]
				}
				if now >= modelContact && float64(len(refusals[r])) > m.tolerated {
					falls++
					for _, x := range running[r] {
						trackers[x.sender].End(x.attempt)
					}
					running[r], refusals[r] = nil, nil
					downUntil[r] = now + modelRestart
				}
			}
		}
	}
	return falls, answered
}

// LIMIT: brittle replicas fall over at most twice and a tenth of their number, under twice
// the demand that they have room for, when fewer may wait from one moment to the next.
func TestBrittleReplicasUnderTwiceTheirRoom(t *testing.T) { testBrittle(t, []int{1, 6, 8}) }

// LIMIT: the same with more senders than a replica has slots.
func TestBrittleReplicasOfManySenders(t *testing.T) { testBrittle(t, []int{60, 295}) }

func testBrittle(t *testing.T, senders []int) {
	for _, n := range senders {
		for _, tolerated := range []float64{1, 3, 10} {
			t.Run(fmt.Sprint(n, " senders, ", tolerated), func(t *testing.T) {
				for seed := range uint64(5) {
					const replicas, slots = 10, 8
					m := brittleModel{senders: n, replicas: replicas, tolerated: tolerated, slots: slots, room: func(now time.Duration) int {
						if now < 4*second {
							return 2 * slots
						}
						return slots
					}}
					m.demand = 2 * replicas * slots / modelWork.Seconds() / float64(n)
					falls, answered := m.play(seed)
					if falls > 2+replicas/10 {
						t.Errorf("seed %d: %d falls, %d answered", seed, falls, answered)
					}
				}
			})
		}
	}
}
