package pipeline

import (
	"fmt"
	"strings"
	"time"
)

// Forecast is the expected progress of one stage of a job; times are relative to the job's
// submission.
type Forecast struct {
	Service string
	Items   int           // of the job in this stage
	Ahead   int           // items that wait at the pool and go before
	Ready   time.Duration // when the stage's inputs are available
	Starts  time.Duration // when the last of its items is in a call
	Ends    time.Duration // when all of its items are done
}

// String formats the forecast for logs.
func (f Forecast) String() string {
	return fmt.Sprintf("%s: %d pieces ready at %v, %d ahead, begun by %v, done by %v", f.Service, f.Items,
		f.Ready.Round(time.Millisecond), f.Ahead, f.Starts.Round(time.Millisecond), f.Ends.Round(time.Millisecond))
}

// Explain formats the forecasts of all stages for a log line.
func (d Decision) Explain() string {
	parts := make([]string, 0, len(d.Stages))
	for _, f := range d.Stages {
		parts = append(parts, f.String())
	}
	return strings.Join(parts, "; ")
}

// forecast returns the expected time until the job's stages are done, from a plan of each
// pool's next calls.
func (s *Scheduler) forecast(now time.Duration, j *job) time.Duration {
	ends := make([]time.Duration, len(j.stages))
	plans := make(map[*pool]*plan)
	last := time.Duration(0)
	start := s.memoryWait(now, j)
	for n, st := range j.stages {
		ends[n] = start
		for _, a := range st.def.After {
			ends[n] = max(ends[n], ends[a])
		}
		if len(st.items) == 0 {
			continue
		}
		pl := plans[st.pool]
		if pl == nil {
			pl = st.pool.newPlan(now, j.rank)
			plans[st.pool] = pl
		}
		st.forecast = Forecast{Service: st.def.Service, Items: len(st.items), Ahead: int(pl.itemsAhead), Ready: ends[n]}
		st.forecast.Starts, st.forecast.Ends = pl.place(ends[n], st)
		ends[n] = st.forecast.Ends
		last = max(last, ends[n])
	}
	return last
}

func (j *job) stageForecasts() []Forecast {
	var out []Forecast
	for _, st := range j.stages {
		if len(st.items) > 0 {
			out = append(out, st.forecast)
		}
	}
	return out
}

// decide compares a job's expected time with its limit. A job that will miss its objective but
// not its deadline is admitted late if a late answer is worth more than a refusal; it then
// gets the capacity that jobs in time leave.
func (s *Scheduler) decide(now time.Duration, j *job) Decision {
	d := Decision{Expected: s.forecast(now, j), Limit: s.timeLimit(j), Uncontended: j.uncontendedTime()}
	if j.Retry {
		recordOutcome(&s.lateStatsOf(j.Rank).retriesInTime, d.Expected <= d.Limit)
	}
	if d.Expected > d.Limit && s.prefersLateAnswer(j) {
		j.rank, j.admittedLate = j.rank+lateRank, true
		d.Expected = s.forecast(now, j)
		d.Limit = time.Duration(float64(j.Deadline) * s.opts.DeadlineMargin)
	}
	if over := s.excessMemoryWait(now, j, d.Limit); over > 0 {
		d.Expected = max(d.Expected, d.Limit+over)
	}
	d.Bottleneck, d.Stages = j.bottleneck(), j.stageForecasts()
	return d
}

// timeLimit returns the time that a job's stages may be expected to take.
func (s *Scheduler) timeLimit(j *job) time.Duration {
	if j.overShare {
		return j.overShareLimit(j.Objective)
	}
	if j.Retry && !s.allowsLate(j) {
		return min(time.Duration(float64(j.Deadline)*s.opts.DeadlineMargin), time.Duration(float64(j.Objective)*s.opts.RetryObjectiveFactor))
	}
	return time.Duration(float64(j.Objective) * s.opts.ObjectiveMargin)
}

// uncontendedTime returns the time that the job's stages take without queueing.
func (j *job) uncontendedTime() time.Duration {
	longest := time.Duration(0)
	for _, remaining := range j.remainingTimes() {
		longest = max(longest, remaining)
	}
	return longest
}

// bottleneck returns the service whose pool the job waits for longest.
func (j *job) bottleneck() string {
	name, longest := "", time.Duration(0)
	for _, st := range j.stages {
		if wait := st.forecast.Starts - st.forecast.Ready; wait > longest {
			name, longest = st.def.Service, wait
		}
	}
	return name
}
