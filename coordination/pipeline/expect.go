package pipeline

import (
	"fmt"
	"strings"
	"time"
)

// Forecast is what is expected of one stage of a job; times are from its coming.
type Forecast struct {
	Service string
	Items   int
	Ahead   int           // pieces that wait at the pool and go before
	Ready   time.Duration // when the stages that it reads are done
	Starts  time.Duration // when the last of its pieces is in a call
	Ends    time.Duration
}

// String returns the forecast as logs show it.
func (f Forecast) String() string {
	return fmt.Sprintf("%s: %d pieces ready at %v, %d ahead, begun by %v, done by %v", f.Service, f.Items,
		f.Ready.Round(time.Millisecond), f.Ahead, f.Starts.Round(time.Millisecond), f.Ends.Round(time.Millisecond))
}

// Explain returns what a verdict expects of each stage, for a log line.
func (v Decision) Explain() string {
	parts := make([]string, 0, len(v.Stages))
	for _, f := range v.Stages {
		parts = append(parts, f.String())
	}
	return strings.Join(parts, "; ")
}

// expect returns the time until the job's stages are done, by a plan of each
// pool's next calls.
func (s *Scheduler) expect(now time.Duration, j *job) time.Duration {
	ends := make([]time.Duration, len(j.stages))
	plans := make(map[*pool]*plan)
	last := time.Duration(0)
	begins := s.roomWait(now, j)
	for n, st := range j.stages {
		ends[n] = begins
		for _, a := range st.def.After {
			ends[n] = max(ends[n], ends[a])
		}
		if len(st.pieces) == 0 {
			continue
		}
		pl := plans[st.pool]
		if pl == nil {
			pl = st.pool.plan(now, j.rank)
			plans[st.pool] = pl
		}
		st.plan = Forecast{Service: st.def.Service, Items: len(st.pieces), Ahead: int(pl.ahead), Ready: ends[n]}
		st.plan.Starts, st.plan.Ends = pl.place(ends[n], st)
		ends[n] = st.plan.Ends
		last = max(last, ends[n])
	}
	return last
}

func (j *job) forecasts() []Forecast {
	var out []Forecast
	for _, st := range j.stages {
		if len(st.pieces) > 0 {
			out = append(out, st.plan)
		}
	}
	return out
}

// judge expects a job and says what that is held against. One that won't be in
// time, but before its deadline, stands back where a late answer is worth more
// than a refusal: it gets what those that are in time leave.
func (s *Scheduler) judge(now time.Duration, j *job) Decision {
	v := Decision{Expected: s.expect(now, j), Limit: s.limit(j), Uncontended: j.own()}
	if j.Retry {
		note(&s.returnsOf(j.Rank).served, v.Expected <= v.Limit)
	}
	if v.Expected > v.Limit && s.lateIsWorthMore(j) {
		j.rank, j.back = j.rank+lateRank, true
		v.Expected = s.expect(now, j)
		v.Limit = time.Duration(float64(j.Deadline) * s.opts.DeadlineMargin)
	}
	if over := s.roomOver(now, j, v.Limit); over > 0 {
		v.Expected = max(v.Expected, v.Limit+over)
	}
	v.Bottleneck, v.Stages = j.bound(), j.forecasts()
	return v
}

// limit is the time that a job's stages may be expected to take.
func (s *Scheduler) limit(j *job) time.Duration {
	if j.surplus {
		return j.surplusLimit(j.Objective)
	}
	if j.Retry && !s.mayBeLate(j) {
		return min(time.Duration(float64(j.Deadline)*s.opts.DeadlineMargin), time.Duration(float64(j.Objective)*s.opts.RetryObjectiveFactor))
	}
	return time.Duration(float64(j.Objective) * s.opts.ObjectiveMargin)
}

// own is what a job's stages take where nothing waits.
func (j *job) own() time.Duration {
	longest := time.Duration(0)
	for _, rest := range j.rests() {
		longest = max(longest, rest)
	}
	return longest
}

// bound names the service whose pool a job waits for longest.
func (j *job) bound() string {
	name, longest := "", time.Duration(0)
	for _, st := range j.stages {
		if wait := st.plan.Starts - st.plan.Ready; wait > longest {
			name, longest = st.def.Service, wait
		}
	}
	return name
}
