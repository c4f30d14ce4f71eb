package node

import (
	"strconv"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// counters are what the process counts beside its logs.
type counters struct {
	registry      metrics.Registry
	requests      metrics.Counter // taken from clients
	attempts      metrics.Counter // sent to replicas
	again         metrics.Counter // attempts after a request's first
	connections   metrics.Counter // opened to replicas
	calls         metrics.Counter // of pieces
	pieces        metrics.Counter
	lostCalls     metrics.Counter
	jobs          metrics.Counter // admitted by this instance as an owner
	jobsRefused   metrics.Counter
	staged        metrics.Counter // milliseconds that stages took, of all jobs that were done
	expected      metrics.Counter // milliseconds that these were expected to take
	overran       metrics.Counter // jobs that took longer than expected
	lentAsks      metrics.Counter // of owners in other regions, for requests that the own one did not take
	lentRefused   metrics.Counter // of these
	keptAsks      metrics.Counter // of owners in other regions, what is kept there of a prompt
	keptFar       metrics.Counter // of these, that named an engine
	farMoves      metrics.Counter // prompts that engines here fetch from other regions
	farBytes      farBytes
	farAttempts   metrics.Counter // sent to replicas in other regions
	emptied       metrics.Counter // halls, as this instance learnt it
	toldBusy      metrics.Counter // peers that were told to ask somebody else
	logDropped    metrics.Counter
	silences      metrics.Counter // of the store, as this instance heard it
	givenUp       metrics.Counter // calls that a silent store had missed
	brokenEntries metrics.Counter // of the list, that are no replica's own; each once until it is good or gone
	livesOver     metrics.Counter // of replicas that have started again under their name
	wakes         metrics.Counter // after suspensions of the machine
	looks         metrics.Counter // at replicas, whether they have ended
	condemned     metrics.Counter // requests that were not sent, as replicas have ended under them
	noTurn        metrics.Counter // suspects that were refused while they were tried elsewhere
	rests         metrics.Counter // that replicas asked for
	paced         metrics.Counter // turns that were had at replicas which state a limit
	pacedOut      metrics.Counter // asks for turns of which there was none
	pacedAlone    metrics.Counter // turns of the own part of a limit, as nobody could be asked
	wordsUnread   metrics.Counter // in answers of replicas, that nobody reads
}

// farBytes counts what this instance sends to other regions, and what it asks
// for and gets from there, by kind: bodies of messages and answers.
type farBytes struct {
	heartbeats metrics.Counter
	stages     metrics.Counter // questions to owners
	kept       metrics.Counter // questions for kept prompts
	pulls      metrics.Counter // configurations and lists of replicas, as received
	requests   metrics.Counter // bodies sent to replicas
	answers    metrics.Counter // bytes of answers passed on from there
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return counters{
		registry:    r,
		requests:    counter("node.requests"),
		attempts:    counter("node.attempts"),
		again:       counter("node.attempts_again"),
		connections: counter("node.connections"),
		calls:       counter("node.calls"),
		pieces:      counter("node.pieces"),
		lostCalls:   counter("node.calls_lost"),
		jobs:        counter("node.jobs"),
		jobsRefused: counter("node.jobs_refused"),
		staged:      counter("node.jobs_staged_ms"),
		expected:    counter("node.jobs_expected_ms"),
		overran:     counter("node.jobs_overran"),
		lentAsks:    counter("node.regions.asks"),
		lentRefused: counter("node.regions.asks_refused"),
		keptAsks:    counter("node.regions.kept_asks"),
		keptFar:     counter("node.regions.kept_found"),
		farMoves:    counter("node.regions.moves"),
		farBytes: farBytes{
			heartbeats: counter("node.regions.bytes.heartbeats"),
			stages:     counter("node.regions.bytes.stages"),
			kept:       counter("node.regions.bytes.kept"),
			pulls:      counter("node.regions.bytes.pulls"),
			requests:   counter("node.regions.bytes.requests"),
			answers:    counter("node.regions.bytes.answers"),
		},
		farAttempts:   counter("node.regions.attempts"),
		emptied:       counter("node.halls_emptied"),
		toldBusy:      counter("node.told_busy"),
		logDropped:    counter("node.log_dropped"),
		silences:      counter("node.store_silences"),
		givenUp:       counter("node.store_calls_given_up"),
		brokenEntries: counter("node.entries_broken"),
		livesOver:     counter("node.lives_over"),
		wakes:         counter("node.wakes"),
		looks:         counter("node.quarantine.looks"),
		condemned:     counter("node.quarantine.condemned"),
		noTurn:        counter("node.quarantine.no_turn"),
		rests:         counter("node.rests"),
		paced:         counter("node.pace.turns"),
		pacedOut:      counter("node.pace.none"),
		pacedAlone:    counter("node.pace.alone"),
		wordsUnread:   counter("node.words_unread"),
	}
}

// stated sets the gauges of how many replicas of each service have stated
// something that holds.
func (c *counters) stated(what string, by map[string]int64) {
	prefix := "node.replicas_" + what + "."
	c.registry.Each(func(name string, m any) {
		if service, ok := strings.CutPrefix(name, prefix); ok && by[service] == 0 {
			m.(metrics.Gauge).Update(0)
		}
	})
	for service, count := range by {
		metrics.GetOrRegisterGauge(prefix+service, c.registry).Update(count)
	}
}

// held sets the gauge of how many customers are held to a share of how many of a
// cell's pools.
func (c *counters) held(cell, count int) {
	metrics.GetOrRegisterGauge("node.customers_held."+strconv.Itoa(cell), c.registry).Update(int64(count))
}

// status returns the counter of answers with that status.
func (c *counters) status(code int) metrics.Counter {
	return metrics.GetOrRegisterCounter("node.answers."+strconv.Itoa(code), c.registry)
}
