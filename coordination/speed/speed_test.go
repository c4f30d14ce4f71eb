package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// engines generates observations of 60 replicas: times by prompt size with
// noise, occasional pauses and some slower replicas.
type engines struct {
	base, perToken, square float64 // in seconds; constant, per token, per squared token
	noise                  float64
	slow                   int // number of slow replicas, which take times as long
	times                  float64
	replicas               [60]ReplicaEstimator
}

func (e *engines) minimum(tokens int) float64 {
	x := float64(tokens)
	return e.base + e.perToken*x + e.square*x*x
}

// median returns the median time to first event of a normal replica.
func (e *engines) median(tokens int) float64 { return e.minimum(tokens) * math.Exp(0.67*e.noise) }

// observe feeds n observations, 10 ms apart, with a median prompt of some
// hundred tokens and at most 50,000.
func (e *engines) observe(s *ServiceEstimator, from time.Duration, n int, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, 1))
	for range n {
		from += 10 * time.Millisecond
		tokens := min(int(math.Exp(6.5+1.4*random.NormFloat64())), 50_000)
		replica := random.IntN(len(e.replicas))
		took := e.minimum(tokens) * math.Exp(e.noise*math.Abs(random.NormFloat64()))
		if replica < e.slow {
			took *= e.times
		}
		if random.IntN(50) == 0 {
			took += 2 * random.Float64()
		}
		s.Observe(from, &e.replicas[replica], tokens, time.Duration(took*float64(time.Second)), false)
	}
	return from
}

func logError(got time.Duration, want float64) float64 {
	return math.Abs(math.Log(got.Seconds() / want))
}

// Guards against a fixed assumption of 32 tokens per ms: for engines that
// prefill 112 tokens per ms it rejected the longest prompts although there was
// time for them.
func TestSpeedIsLearntFromFewRequests(t *testing.T) {
	for name, c := range map[string]struct {
		first, then *engines // nil: no change
		long        float64  // bound on the error for a prompt of 30,000 tokens
	}{
		"fast":             {&engines{base: 0.09, perToken: 9e-6, square: 77e-12, noise: 0.15}, nil, 0.2},
		"slow":             {&engines{base: 0.1, perToken: 31e-6, noise: 0.15}, nil, 0.1},
		"uneven":           {&engines{base: 0.09, perToken: 9e-6, noise: 0.5}, nil, 0.25},
		"a sixth is slow":  {&engines{base: 0.09, perToken: 9e-6, noise: 0.15, slow: 10, times: 5}, nil, 0.15},
		"a third by a bit": {&engines{base: 0.09, perToken: 9e-6, noise: 0.15, slow: 20, times: 1.3}, nil, 0.25},
		"become slow":      {&engines{base: 0.09, perToken: 9e-6, noise: 0.15}, &engines{base: 0.1, perToken: 31e-6, noise: 0.15}, 0.15},
		"become fast":      {&engines{base: 0.1, perToken: 31e-6, noise: 0.15}, &engines{base: 0.09, perToken: 9e-6, noise: 0.15}, 0.15},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(10) {
				s, e := New(DefaultOptions()), c.first
				at := e.observe(s, 0, 100, seed)
				is.True(logError(s.Median(1000), e.median(1000)) < 0.15) // after 100 requests
				at = e.observe(s, at, 900, seed+100)
				if c.then != nil {
					e = c.then
					e.observe(s, at, 1500, seed+200)
				}
				is.True(logError(s.Median(1000), e.median(1000)) < 0.15)
				is.True(logError(s.Median(30_000), e.median(30_000)) < c.long)
				upperBound := e.minimum(30_000) * math.Exp(1.28*e.noise) // 80% quantile
				is.True(logError(s.UpperBound(30_000), upperBound) < c.long+0.1)
			}
		})
	}
}

func TestNoExtrapolationFarBeyondLongestPrompt(t *testing.T) {
	is := is.New(t)
	s := New(DefaultOptions())
	for i := range 200 {
		s.Observe(time.Duration(i)*10*time.Millisecond, &ReplicaEstimator{}, 100*(i%20+1), time.Duration(50+i%20)*time.Millisecond, false)
	}
	is.True(s.Median(4000) < 150*time.Millisecond) // twice the longest observed prompt
	unknown := 46_000 * DefaultOptions().Prior.Median.PerToken
	is.True(s.Median(50_000) >= unknown)
	s.Observe(3*time.Second, &ReplicaEstimator{}, 60_000, time.Millisecond, false) // a single one may be a wrong measurement
	is.True(s.Median(50_000) >= unknown)
}

// A replica that is extremely fast, extremely slow or warming has little
// influence on the service's estimate.
func TestOutlierReplicaDoesNotSkewServiceSpeed(t *testing.T) {
	for _, c := range []struct {
		took    time.Duration
		warming bool
	}{{time.Millisecond, false}, {20 * time.Second, false}, {500 * time.Millisecond, true}} {
		is := is.New(t)
		s, e, wrong := New(DefaultOptions()), &engines{base: 0.09, perToken: 9e-6, noise: 0.15}, &ReplicaEstimator{}
		at := e.observe(s, 0, 400, 1)
		for i := range uint64(40) {
			for range 6 { // more than its share of requests
				s.Observe(at, wrong, 1000, c.took, c.warming)
			}
			at = e.observe(s, at, 10, i)
		}
		is.True(logError(s.Median(1000), e.median(1000)) < 0.1)
		is.True(logError(s.UpperBound(1000), e.minimum(1000)*math.Exp(1.28*e.noise)) < 0.25)
		is.True(logError(s.Median(30_000), e.median(30_000)) < 0.2)
		is.True((s.Factor(wrong) > 1) == (c.took > 100*time.Millisecond))
	}
}

func TestNewOwnerIsSeededFromPeers(t *testing.T) {
	is := is.New(t)
	old, e := New(DefaultOptions()), &engines{base: 0.09, perToken: 9e-6, noise: 0.15}
	e.observe(old, 0, 500, 1)
	var records Records
	is.True(records.RecordLocal(0, 7, "llm", old.Estimate()))
	combined, ok := records.Combined(time.Second, "llm")
	is.True(ok)
	s := New(DefaultOptions())
	is.True(s.Seed(0, combined))
	is.True(logError(s.Median(30_000), e.median(30_000)) < 0.15)
	e.observe(s, 0, 50, 2)
	is.True(logError(s.Median(30_000), e.median(30_000)) < 0.2)
	is.True(!s.Seed(0, DefaultOptions().Prior)) // has enough observations of its own by now
}

// Lost, late, repeated and reordered messages lead to the same result.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Record
		for origin := range uint32(4) {
			for count := range rapid.IntRange(1, 4).Draw(t, "records") {
				e := DefaultOptions().Prior
				e.Count = 24 * (count + 1)
				e.Median.PerToken = time.Duration(rapid.IntRange(1000, 40_000).Draw(t, "per token"))
				all = append(all, Record{Origin: origin, Service: "llm", Estimate: e})
			}
		}
		var a, b Records
		for _, r := range all {
			a.Merge(0, r)
		}
		for _, i := range rapid.Permutation(indexes(len(all))).Draw(t, "order") {
			b.Merge(0, all[i])
			if rapid.Bool().Draw(t, "again") {
				b.Merge(0, all[i])
			}
		}
		fromA, _ := a.Combined(0, "llm")
		fromB, _ := b.Combined(0, "llm")
		if fromA != fromB {
			t.Fatalf("estimates differ by order: %v and %v", fromA, fromB)
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestOneWrongPeerMovesMedianLittle(t *testing.T) {
	is := is.New(t)
	var records Records
	merge := func(origin uint32, perToken time.Duration, age time.Duration) bool {
		e := DefaultOptions().Prior
		e.Median.PerToken, e.Count = perToken, 200
		return records.Merge(time.Hour, Record{Origin: origin, Service: "llm", Estimate: e, Age: age})
	}
	is.True(merge(1, 9000, 0))
	is.True(merge(2, 10_000, time.Second))
	is.True(merge(3, time.Second, 0))
	is.True(!merge(4, 100, recordTTL)) // expired
	is.True(!merge(5, -1, 0))          // invalid
	known, _ := records.Combined(time.Hour, "llm")
	is.Equal(known.Median.PerToken, time.Duration(10_000))
	for origin := range uint32(100) {
		merge(10+origin, 9000, 0)
	}
	is.True(len(records.entries) <= maxOriginsPerService)
	is.True(len(records.Snapshot(time.Hour)) <= maxRecordsPerMessage)
}

func BenchmarkObserve(b *testing.B) {
	s, e := New(DefaultOptions()), &engines{base: 0.09, perToken: 9e-6, noise: 0.15}
	at := e.observe(s, 0, 5000, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.Observe(at, &e.replicas[i%60], 100+i%5000, 100*time.Millisecond, false)
	}
}
