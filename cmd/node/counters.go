package node

import (
	"strconv"
	"strings"

	metrics "github.com/rcrowley/go-metrics"

	"quinceroad/coordination/answerend"
	"quinceroad/coordination/quarantine"
)

// counters are the metrics of the process. Their registered names are stable.
type counters struct {
	registry            metrics.Registry
	requests            metrics.Counter // requests accepted from clients
	attempts            metrics.Counter // requests sent to replicas
	retries             metrics.Counter // attempts after a request's first
	connections         metrics.Counter // connections opened to replicas
	batches             metrics.Counter // calls that carry items of stages
	items               metrics.Counter // items in these calls
	lostBatches         metrics.Counter
	jobs                metrics.Counter // jobs admitted by this instance as an owner
	jobsRefused         metrics.Counter
	stageMillis         metrics.Counter // total duration of the stages of all completed jobs, in milliseconds
	expectedStageMillis metrics.Counter // expected duration of the same stages, in milliseconds
	overrunJobs         metrics.Counter // jobs that took longer than expected
	spilloverRequests   metrics.Counter // requests to owners in other regions after the local owner refused
	spilloverRefusals   metrics.Counter // of these, the refused ones
	remoteCacheLookups  metrics.Counter // requests to owners in other regions for cached prompt prefixes
	remoteCacheHits     metrics.Counter // of these, the ones that named an engine
	remoteTransfers     metrics.Counter // prompt prefixes that engines here fetch from other regions
	localBytes          byteCounters    // within this instance's data hall
	hallBytes           byteCounters    // other data halls of the region
	remoteBytes         byteCounters    // other regions
	remoteAttempts      metrics.Counter // attempts at replicas in other regions
	drainedHalls        metrics.Counter // drains of halls of which this instance was informed
	busyReplies         metrics.Counter // replies that referred a peer to another instance
	logDropped          metrics.Counter
	storeOutages        metrics.Counter    // outages of the store, as observed by this instance
	storeReturns        metrics.Counter    // times that the store came back from a copy
	cancelledStoreCalls metrics.Counter    // calls cancelled because the store was unresponsive when it got them
	invalidEntries      metrics.Counter    // invalid entries of the replica list; each counts once until it is valid or removed
	replicaRestarts     metrics.Counter    // replicas that restarted under the same name
	resumes             metrics.Counter    // resumes after suspensions of the machine
	replicaProbes       metrics.Counter    // liveness probes of replicas
	quarantined         metrics.Counter    // requests refused because they are quarantined
	unframedAnswers     [3]metrics.Counter // answers without a stated end, by answerend.Verdict
	foreignHandles      metrics.Counter    // handles that replicas returned for an item while they held them for another
	overruledDrains     metrics.Counter    // drains inferred from refusals that were not believed, or ended by a served request
	surplusAnswers      metrics.Counter    // answers of replicas to earlier calls, skipped
	brokenHeads         metrics.Counter    // answers of replicas whose bytes are not those of an answer's head
	trialsDenied        metrics.Counter    // suspect requests refused because they got no trial lease
	quarantinedInFlight metrics.Counter    // requests cancelled at their replicas because they became quarantined
	backoffs            metrics.Counter    // backoffs stated by replicas
	sendGrants          metrics.Counter    // send grants obtained for replicas with a rate limit
	sendGrantDenials    metrics.Counter    // requests for send grants that were denied
	localSendGrants     metrics.Counter    // send grants from this instance's own fraction of a limit, if the grantor could not be asked
	pushedChanges       metrics.Counter    // changes of replicas received with announcements
	slowReaders         metrics.Counter    // streams that were held up because their clients read slowly
	syncedInstances     metrics.Counter    // instances learned from exchanges of whole views
	relayedConnections  metrics.Counter    // connections to replicas that peers relay for this instance
	relayFailures       metrics.Counter    // connections that no peer could relay
	peerConnections     metrics.Counter    // connections to replicas that this instance relays for peers
	peerRefusals        metrics.Counter    // of those asked for, the ones that this instance refused as it relays too many
	linkProbes          metrics.Counter    // tries of the own link to replicas that are cut off
	unknownFields       metrics.Counter    // unknown fields in replicas' answers and reports
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return counters{
		registry:            r,
		requests:            counter("node.requests"),
		attempts:            counter("node.attempts"),
		retries:             counter("node.attempts_again"),
		connections:         counter("node.connections"),
		batches:             counter("node.calls"),
		items:               counter("node.pieces"),
		lostBatches:         counter("node.calls_lost"),
		jobs:                counter("node.jobs"),
		jobsRefused:         counter("node.jobs_refused"),
		stageMillis:         counter("node.jobs_staged_ms"),
		expectedStageMillis: counter("node.jobs_expected_ms"),
		overrunJobs:         counter("node.jobs_overran"),
		spilloverRequests:   counter("node.regions.asks"),
		spilloverRefusals:   counter("node.regions.asks_refused"),
		remoteCacheLookups:  counter("node.regions.kept_asks"),
		remoteCacheHits:     counter("node.regions.kept_found"),
		remoteTransfers:     counter("node.regions.moves"),
		localBytes:          newByteCounters(counter, "node.hall.bytes."),
		hallBytes:           newByteCounters(counter, "node.halls.bytes."),
		remoteBytes:         newByteCounters(counter, "node.regions.bytes."),
		remoteAttempts:      counter("node.regions.attempts"),
		drainedHalls:        counter("node.halls_emptied"),
		busyReplies:         counter("node.told_busy"),
		logDropped:          counter("node.log_dropped"),
		storeOutages:        counter("node.store_silences"),
		storeReturns:        counter("node.store_returns"),
		cancelledStoreCalls: counter("node.store_calls_given_up"),
		invalidEntries:      counter("node.entries_broken"),
		replicaRestarts:     counter("node.lives_over"),
		resumes:             counter("node.wakes"),
		replicaProbes:       counter("node.quarantine.looks"),
		quarantined:         counter("node.quarantine.condemned"),
		unframedAnswers: [...]metrics.Counter{
			answerend.Whole:    counter("node.answers.unframed_whole"),
			answerend.Broken:   counter("node.answers.unframed_broken"),
			answerend.Doubtful: counter("node.answers.unframed_doubtful"),
		},
		foreignHandles:      counter("node.answers.foreign_handles"),
		overruledDrains:     counter("node.drains_overruled"),
		surplusAnswers:      counter("node.answers.surplus"),
		brokenHeads:         counter("node.answers.broken_heads"),
		trialsDenied:        counter("node.quarantine.no_turn"),
		quarantinedInFlight: counter("node.quarantine.in_flight"),
		backoffs:            counter("node.rests"),
		sendGrants:          counter("node.pace.turns"),
		sendGrantDenials:    counter("node.pace.none"),
		localSendGrants:     counter("node.pace.alone"),
		pushedChanges:       counter("node.replicas_pushed"),
		slowReaders:         counter("node.slow_readers"),
		syncedInstances:     counter("node.view_synced"),
		relayedConnections:  counter("node.relays.used"),
		relayFailures:       counter("node.relays.none"),
		peerConnections:     counter("node.relays.served"),
		peerRefusals:        counter("node.relays.refused"),
		linkProbes:          counter("node.relays.probes"),
		unknownFields:       counter("node.words_unread"),
	}
}

// setReplicaGauges sets the gauges with the number of each service's replicas that have
// stated the given advisory.
func (c *counters) setReplicaGauges(state string, byService map[string]int64) {
	prefix := "node.replicas_" + state + "."
	c.registry.Each(func(name string, m any) {
		if service, ok := strings.CutPrefix(name, prefix); ok && byService[service] == 0 {
			m.(metrics.Gauge).Update(0)
		}
	})
	for service, count := range byService {
		metrics.GetOrRegisterGauge(prefix+service, c.registry).Update(count)
	}
}

// setThrottled sets the gauge with the number of throttled customers of a cell. A customer
// counts once for each pool or engine service that throttles it.
func (c *counters) setThrottled(cell, count int) {
	metrics.GetOrRegisterGauge("node.customers_held."+strconv.Itoa(cell), c.registry).Update(int64(count))
}

// answersWithStatus returns the counter of answers to clients with an HTTP status.
func (c *counters) answersWithStatus(code int) metrics.Counter {
	return metrics.GetOrRegisterCounter("node.answers."+strconv.Itoa(code), c.registry)
}

// setQuarantined sets the gauges with the number of quarantined requests and parts of prompts.
func (c *counters) setQuarantined(counts map[quarantine.Kind]int) {
	for _, kind := range []quarantine.Kind{quarantine.WholeRequest, quarantine.SharedPart} {
		metrics.GetOrRegisterGauge("node.quarantine.held."+kind.String(), c.registry).Update(int64(counts[kind]))
	}
}
