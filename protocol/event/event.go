// Package event is the catalogue of the events that the processes log; each log
// line carries the number of its event. docs/EVENTS.md is generated from it, and a
// test compares them.
package event

import (
	"fmt"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// Event is one kind of log line.
type Event struct {
	Number  int
	Level   hclog.Level
	Name    string
	Fields  string // comma-separated
	Meaning string
	Action  string // what an operator should do
}

// Log writes the event; args are alternating field names and values.
func (e *Event) Log(l hclog.Logger, args ...any) {
	l.Log(e.Level, e.Name, append([]any{"event", e.Number}, args...)...)
}

const noAction = "nothing"

// ReasonQuarantined is the reason why a quarantined request is not sent. It is
// returned to the caller and logged with the request's end.
const ReasonQuarantined = "replicas have ended under this request; it is not sent to any more of them"

// ReasonPartQuarantined is the same for a part that the request shares with others.
const ReasonPartQuarantined = "replicas have ended under a part that this request shares with others; requests with it are not sent to any more of them"

// Events of the entry.
var (
	EntryStarted          = add(1001, hclog.Info, "entry started", "incarnation, http", "The entry accepts requests.", noAction)
	EntryStopping         = add(1002, hclog.Info, "entry stopping", "wait", "A planned stop began. The entry continues to serve until the longest-lived address answer has expired.", noAction)
	EntryStopped          = add(1003, hclog.Info, "entry stopped", "in_flight", "The planned stop is complete.", "if in_flight is not 0, find out why those requests exceeded the stop's time limit")
	EntryDrained          = add(1004, hclog.Info, "entry drained", "", "An operator is draining this instance: address answers omit it until it is restarted.", "stop it when its requests have ended")
	CoordUnreachable      = add(1010, hclog.Warn, "coord unreachable", "error", "The entry continues with its last configuration and member list.", "check that the coord on this instance is running")
	EntryConfigAdopted    = add(1011, hclog.Info, "configuration in force", "revision", "The entry has applied a new revision.", noAction)
	EntryConfigRefused    = add(1012, hclog.Error, "configuration refused", "revision, error", "The entry received a configuration that it can't read or that is older than the current one.", "compare the versions of the binaries; query the revision of every coord with quincectl status")
	EntryPanicked         = add(1020, hclog.Error, "panic in a request", "panic", "One request failed because of a bug in the program; others are not affected.", "report it with the log line")
	AnswerDropped         = add(1030, hclog.Warn, "answer dropped", "request, stage, replica, error", "An upstream's answer was late, incomplete or for another request, and was discarded.", "check the replica if this repeats")
	Unauthorized          = add(1040, hclog.Warn, "caller refused", "code, path", "A caller's key or ticket was not accepted.", "check that the customer uses the declared key")
	SlotOwnerUnreachable  = add(1050, hclog.Warn, "slots owner unreachable", "service, owner", "The entry selects replicas on its own for a while.", "check that the owner's coord is running")
	TicketHomeUnreachable = add(1060, hclog.Warn, "ticket's home unreachable", "request, home", "The caller received the outcome unknown: only the home may run the request.", "check whether that instance crashed")
	LedgerHandedOver      = add(1070, hclog.Info, "ledger handed over", "heir, entries", "The successor (heir) of a stopping entry may run the numbers of its tickets.", noAction)
	LedgerHandoverFailed  = add(1071, hclog.Warn, "ledger not handed over", "error", "Retries with this entry's tickets receive the outcome unknown.", "check that the platform's store responds; not urgent")
	LedgerAdopted         = add(1072, hclog.Info, "ledger taken over", "from, entries", "This entry runs the ticket numbers of a stopped entry.", noAction)
)

// Events of the node, the only process of an instance on the users' platform.
var (
	NodeStarted                = add(3001, hclog.Info, "node started", "front, link", "The node accepts requests and connections of peers.", noAction)
	NodeStopping               = add(3002, hclog.Info, "node stopping", "in_flight", "A planned stop began.", noAction)
	NodeStopped                = add(3003, hclog.Info, "node stopped", "in_flight", "The planned stop is complete.", "if in_flight is not 0, find out why those requests exceeded the stop's time limit")
	NodeSettingsReloaded       = add(3004, hclog.Info, "settings read again", "seeds", "The platform reported that the settings have changed.", noAction)
	NodeSettingsReloadFailed   = add(3005, hclog.Error, "settings can't be read", "error", "The changed settings are invalid; the node continues with its current ones.", "correct the settings file")
	NodeConfigAdopted          = add(3010, hclog.Info, "configuration in force", "version, from, routes", "The node has applied a newer configuration.", noAction)
	NodeConfigInvalid          = add(3011, hclog.Error, "configuration has faults", "from, error", "Invalid routes are omitted; the others are applied.", "correct the configuration")
	NodeStoreUnreachable       = add(3020, hclog.Warn, "store unreachable", "topic, waited, error", "A call failed after the time in waited. The current configuration stays in force; peers announce newer ones.", "check the platform's store")
	NodeStoreReachable         = add(3021, hclog.Info, "store reachable", "topic, after", "The topic is being watched again.", noAction)
	NodeStoreEntryInvalid      = add(3022, hclog.Warn, "entry can't be read", "name", "An entry in the store is not one that an instance or replica writes about itself; it is skipped.", "find out who writes there")
	NodeStoreEntriesInvalid    = add(3209, hclog.Warn, "many entries can't be read", "unlogged, known", "More entries of the list of replicas are invalid than are logged each (unlogged: those without a line of their own); known: how many replicas are listed. The others hold. Counter node.entries_broken.", "find out who writes there")
	NodeReaderChanged          = add(3023, hclog.Info, "reads the store", "reads", "This instance became the reader of the store for its hall, or is no longer the reader.", noAction)
	NodeInstanceAlive          = add(3024, hclog.Info, "instance heard of", "name, hall, incarnation", "Another instance is considered alive.", noAction)
	NodeIncarnationRaised      = add(3200, hclog.Warn, "earlier life outlived", "was, incarnation, from", "Peers know an incarnation with this instance's name that is higher than its own: the wall clock went back between two starts. This instance has taken a higher incarnation.", "if this repeats, two instances have the same name")
	NodeInstanceDead           = add(3025, hclog.Info, "instance not heard of", "name, hall, incarnation, leaving", "Another instance sent no heartbeats for too long, or a connection to it failed. It is removed from addresses and ownership.", "if this affects many at once, check the network between halls")
	NodeInstancesChanged       = add(3207, hclog.Info, "many instances heard of or lost", "joined, left, unlogged, live", "More instances became live or were lost at once than are logged each (unlogged: those without a line of their own); live: how many are considered alive now.", "if left is high, check the network between halls")
	NodeReplicasChanged        = add(3026, hclog.Info, "replicas changed", "from, changes, at, era, known", "The list of replicas changed, according to the store or a peer. at: revision of the store up to which it is known; era: of the store's history.", noAction)
	NodeStoreUnresponsive      = add(3027, hclog.Warn, "store silent", "error", "A reader's probe of the store was not answered; its pending calls may have been lost.", "check the platform's store")
	NodeStoreResponsive        = add(3028, hclog.Info, "store answers", "after", "The store answers a reader again; pending calls are abandoned and repeated.", noAction)
	NodeStoreCallAbandoned     = add(3029, hclog.Info, "call to the store given up", "topic, waited", "The store has been unresponsive since the call began and will not answer it.", noAction)
	NodeReplicaDraining        = add(3030, hclog.Info, "replica leaving", "replica, sign", "The replica gets no new work.", noAction)
	NodeReplicaEjected         = add(3031, hclog.Warn, "replica left alone", "replica, why, usual, by", "The replica is ejected: it gets no new work for a while, based on own observations or a peer's.", "check the replica if this repeats")
	NodeServiceCut             = add(3210, hclog.Warn, "cut off from replicas", "service, replica, through, silent, unlogged", "This instance does not reach a replica of the service over its own link, while a peer (through) connects to it: the link is cut, and connections go through peers. silent: the own link got no answer rather than a refusal. Logged when the first replica of a service is found so; unlogged: earlier cuts of the service without a line. Counters node.relays.", "check the links of this machine to the replicas' machines")
	NodeServiceReached         = add(3211, hclog.Info, "replicas reached again", "service, after", "This instance reaches all replicas of the service over its own link again.", noAction)
	NodeHallDrained            = add(3033, hclog.Warn, "hall emptied", "hall, from, revision", "An operator is draining a data hall: its replicas get no new work; work in progress continues to its end.", noAction)
	NodeHallReturned           = add(3034, hclog.Info, "hall taken back", "hall, from, revision", "The hall's replicas get work again; those of services with a warm-up start slowly.", noAction)
	NodeReplicaWarming         = add(3035, hclog.Info, "replica cold", "replica, hall, for", "The replica reported that it is warming up, or its hall was returned to service: its load is limited to what a warming replica can carry.", noAction)
	NodeReplicaDrainAdvisory   = add(3036, hclog.Info, "replica says that it leaves", "replica, by", "The replica announced a drain in an answer to this instance or to a peer (by). It gets no new work while it is listed; work in progress there continues.", noAction)
	NodeReplicaRemoved         = add(3037, hclog.Info, "replica has left", "replica", "A replica that announced a drain has not been listed for a while; its record is deleted.", noAction)
	NodeReplicaBackoff         = add(3038, hclog.Warn, "replica rests", "replica, service, for", "The replica refused a request and wants no requests from this instance for this time (backoff).", "if this repeats, the service has too few replicas")
	NodeReplicaBackoffEnded    = add(3039, hclog.Info, "replica has rested", "replica", "The replica's backoff has ended: it gets one request, then a few, then any number.", noAction)
	NodeReplicaRateLimited     = add(3204, hclog.Warn, "replica states a limit", "replica, service, per_second, was, by", "The replica states a rate limit for the requests of all instances together, which is enforced: one instance grants the sends to it. was: the previous limit, below 0 for none; by: this instance if the replica stated it in an answer here, otherwise the instance that announced it.", "find out which resource the replica lacks; if all replicas of a service state limits, it has too few")
	NodeServiceBrittle         = add(3212, hclog.Warn, "replicas are brittle", "service, replica, tolerates", "The replicas of the service state that each falls over when it has to refuse more requests than this in a second, from all instances together. One instance leases the slots of a replica to all others, which send no request without a lease; it pauses after refusals. An instance that reaches no grantor sends seldom.", "find out which resource the replicas lack; counters node.slots.issued and .denied")
	NodeServiceSturdy          = add(3213, hclog.Info, "replicas are not brittle any more", "service", "The replicas of the service answer without that statement again; concurrent requests to them are not bounded any more.", noAction)
	NodeSendGrantRefused       = add(3206, hclog.Info, "refused for its engines' limits", "request, customer, rank, wait, may_wait, per_second", "All engines that may run the request state rate limits, and the request's send grant would come too late; per_second: the sum of the limits.", "find out why they state limits (3204); counter node.pace.none")
	NodeReplicaRateLimitLifted = add(3205, hclog.Info, "replica states no limit any more", "replica, by", "The replica accepts any number of requests again.", noAction)
	NodeUnknownReplicaField    = add(3203, hclog.Warn, "word of replicas that nobody reads", "service, word, in", "An answer header or a field of a report of a service's replicas is unknown to this build. Logged once per service; counter node.words_unread.", "look up its meaning in the users' pages: it may request something that this build ignores")
	NodeFleetLevelRaised       = add(3190, hclog.Info, "level of all rises", "level, was, of, least", "All live instances have announced for a while that they support this protocol level; of: the level of this build; least: an instance with the lowest level.", noAction)
	NodeFleetLevelLowered      = add(3191, hclog.Warn, "level of all falls", "level, was, of, least", "An instance with an older build (least) is present: features that need a higher level of all instances are disabled, see docs/design/upgrades.md.", "continue the upgrade; quincectl builds lists the instances that are behind")
	NodeReplicaReinstated      = add(3032, hclog.Info, "replica taken back", "replica", "An ejected replica has answered well and gets work again.", noAction)
	NodePoolsOwned             = add(3040, hclog.Info, "pools owned", "cell", "Another instance treated this one as the owner of these pools.", noAction)
	NodeBatchFailed            = add(3041, hclog.Warn, "call of pieces lost", "replica, pieces, fate", "A replica did not run a batch of items, or its answer was lost; the items are sent to other replicas.", "check the replica if this repeats")
	NodeBatchDone              = add(3043, hclog.Debug, "call of pieces done", "replica, service, pieces, took, no_room, gone, late, failed", "A replica answered a batch of items.", noAction)
	NodeOwnerUnreachable       = add(3042, hclog.Warn, "owner unreachable", "owner, request, error", "The request is sent to the next instance in the order of succession.", "check whether that instance crashed")
	NodeCachedPrefixesUnknown  = add(3044, hclog.Info, "kept prompts unknown", "replica, error", "A new owner queried an engine for its cached prompt prefixes and got no answer; the prompts are processed again there.", "check the replica if this repeats")
	NodeSideCallFailed         = add(3045, hclog.Debug, "side call failed", "what, to, error", "A call outside the request path failed: unused results were not freed, a replica or peer was not queried, or the store's list of instances was not read. Another mechanism compensates for it.", noAction)
	NodeMessageInvalid         = add(3046, hclog.Warn, "message broken", "what, from, error", "A peer's message can't be decoded, or a message of this instance can't be encoded; it is skipped.", "check that all instances run the same version")
	NodeRequest                = add(3050, hclog.Info, "request", "request, customer, fingerprint, parts, route, rank, why, objective, deadline, version, owner, attempts, replica, took, staged, expected, engine_expected, reads, moves, first, gap, tokens, fetch, pieces, region, chosen, through, leaves, short, asked, share, build, resumes, last_event", "The outcome of a request. build: software version of its last replica; resumes, last_event: of a stream that the client takes up again, the request that brought its first event, and the last event that the client received before; chosen: who selected its last replica; through: the peer that relayed the connection to it, as the own link was cut; leaves: that replica announced a drain in its answer; fingerprint: hash of what the caller repeats when it retries (customer, method, host, path, body); parts: hashes of what it shares with other requests (parts of its prompt, the key of its items); short: if the owner counted the request as over its customer's share, the scarce service, with the customer's demand for it (asked) and its share, in replica seconds per second.", noAction)
	NodeStoreReturned          = add(3215, hclog.Warn, "store back from a copy", "era, was, replicas_at", "The store was away and has come back from a copy that lacks its newest changes. era, was: that of its history, now and before; replicas_at: revision up to which the list of replicas was known.", "expect what operators and replicas wrote to be written again within seconds")
	NodeOriginUnknown          = add(3214, hclog.Info, "stream of an unknown build", "request, resumes, last_event, service, why, asked, answered, watched", "A client takes a stream up again, and it is not known which build of the service began it. The request is refused, as what two builds write does not fit together. why: its replicas have had several builds, the logs of builds could not be read in time, or instances of an older release, which begin streams without the logs, are live; asked, answered: other instances; watched: how long this process has run.", "if this is frequent, see node.origins.unsent, node.origins.unstored and node.buildlogs.unread, and whether instances or the store were lost")
	NodeStreamTakenUp          = add(3220, hclog.Info, "stream taken up", "request, resumes, last_event, service, build, by, asked, answered, watched", "A client takes a stream up again, and the request is bound to a build. by: on what grounds (a record; or the only build of a log that was read for this stream); asked, answered: other instances that were asked for the stream's record, and that answered; watched: how long this process has run.", noAction)
	NodeBuildsLogged           = add(3221, hclog.Info, "builds logged", "service, builds, retiring, routes, complete, era", "The log of a service in the store now holds these builds, at which streams may begin on so many routes. complete: at no others; retiring: those that leave the log unless replicas of them are listed again.", noAction)
	NodeAttemptFailed          = add(3051, hclog.Info, "attempt failed", "request, fingerprint, parts, replica, why, took, framed, kept, last_event, chosen, rest, leaves, through, build", "An attempt at a replica brought no complete answer. chosen: who selected the replica; through: the peer that relayed the connection; rest: the backoff that the replica requested; leaves: the replica announced a drain; build: its software version; parts: hashes of what it shares with other requests; framed: the answer stated a length or chunks, if it began; kept: sent on a reused connection; last_event: of a stream, the last event that the client received.", "check the replica if this repeats")
	NodeClientReadsSlowly      = add(3208, hclog.Info, "client reads slowly", "request, customer, replica, complete", "A client has read a stream so slowly that its engine was held up; complete: it got all of it. Counter node.slow_readers, gauge node.held_answer_bytes.", "if many clients of one customer do, tell that customer")
	NodeJobRefused             = add(3052, hclog.Info, "job refused", "request, customer, rank, again, short, asked, share, expected, wait, own, bound, limit, engine_expected, reads, moves, objective, deadline, stages, pools", "The owner of the pools refused the stages of a request because expected exceeds limit. own: their time without waiting; wait: the rest of expected, the longest part of it for the pool bound; short: the service for which the customer's demand (asked) exceeds its share, both in replica seconds per second; objective: the part of it that is left for the stages; pools: the pools that the request needs.", "wait above own: if this persists, the pool bound has too few replicas; own above limit: too little time was left, see quincectl losses")
	NodeJobFailed              = add(3053, hclog.Info, "job failed", "request, customer, why, after, expected, rank, again, short, stages", "The stages of an admitted request could not be completed.", "late or deadline: too few replicas; share: the customer's demand exceeds its share; tries or inputs: check the pools' replicas")
	NodeCustomerThrottled      = add(3201, hclog.Warn, "customer held to its share", "cell, customer, service, asked, share", "A customer's demand for a service's pool is clearly above its usual demand, and the total demand exceeds the capacity: its excess is queued behind the demand of others that is within their shares. asked and share: replica seconds per second.", "inform the customer; quincectl customers shows what it sends, see OPERATIONS for more")
	NodeCustomerUnthrottled    = add(3202, hclog.Info, "customer not held any more", "cell, customer, service, after", "The customer's demand is within its share, or there is enough capacity for all.", noAction)
	NodeSpeedLearned           = add(3100, hclog.Info, "engines' speed learned", "service, cell, base, per_token, likely_base, likely_per_token, per_out, longest, count", "The observed speed of a service's engines changed noticeably: the typical time to the first event for an empty prompt (base) and per prompt token (per_token), the same at a high quantile (likely_base, likely_per_token), the time per generated token (per_out), the longest prompts observed (longest) and the number of observations (count).", noAction)
	NodeSpeedSeeded            = add(3101, hclog.Info, "engines' speed told", "service, cell, base, per_token, likely_base, likely_per_token, per_out, longest, count", "An owner with few observations of a service's engines uses the speed that peers report; count: the number of owners that observed it.", noAction)
	NodeStagesDone             = add(3120, hclog.Debug, "stages done", "request, took, expected, stages", "The stages of an admitted request are complete; stages: the forecast of each stage at admission.", "if took is often above expected (counter node.jobs_overran), check which stage started late")
	NodeLogDropped             = add(3070, hclog.Warn, "log lines dropped", "lines", "The reader of the log was too slow.", "check the log reader; counter node.log_dropped")
	NodeRegionAsked            = add(3160, hclog.Info, "region asked", "request, region, refused, error, took", "The own region refused a request's stages, so the owner in another region was asked.", "if this persists, the own region has too few replicas")
	NodeHallWithoutRegion      = add(3161, hclog.Warn, "hall of no region", "hall, replicas", "Replicas are in a hall to which the settings assign no region. It is treated as remote from all others: its replicas serve only requests that no region can serve, and none that are restricted to some regions.", "assign the hall to a region in the settings")
	NodeReplicaEnded           = add(3170, hclog.Warn, "replica ended", "replica, service, sign", "A replica ended without announcing a drain while answers were in progress.", "if this repeats, check the replicas and the requests that ran there")
	NodeRequestSuspected       = add(3171, hclog.Warn, "request suspected", "fingerprint, kind, ended, tried, why", "Replicas have ended while running this request, or requests that share this part, of their prompts or the key of their items (kind; ended: how many; tried: of these, in a trial of the part). It is tried at one place at a time, isolated from other suspects.", noAction)
	NodeSuspectTried           = add(3172, hclog.Info, "suspect tried", "request, fingerprint, features, verdict", "A suspect got its trial leases (features: the suspect ones that are tried) and is sent unless the verdict has changed since.", noAction)
	NodeRequestQuarantined     = add(3173, hclog.Error, "request condemned", "fingerprint, kind, ended, tried, why", "So many replicas have ended while running a request, or requests that share a part (kind), that it is quarantined: such requests are no longer sent, and callers receive status 400.", "find the customers by the fingerprint in the log lines of requests (fingerprint or parts); run quincectl acquit once it is safe")
	NodeRequestReleased        = add(3174, hclog.Info, "request acquitted", "fingerprint, kind, was, why", "A suspected or quarantined request, or a part that requests share, was released: it had a complete answer, an operator released it, or its case expired.", noAction)
	NodeUnframedAnswerBroken   = add(3216, hclog.Warn, "answer without an end broken off", "request, fingerprint, replica, through, verdict, life, leaves, waited", "An answer with neither a length nor chunks ended with its connection, and its replica does not run any more (verdict broken, counter node.answers.unframed_broken), or nobody could tell in time whether it runs (doubtful, counter node.answers.unframed_doubtful). It is not passed on as complete. life: what was found out of the replica; through: the peer that relayed the connection.", "check the replica if this repeats, and the network to it if answers are doubtful")
	NodeUnframedAnswerEnded    = add(3217, hclog.Debug, "answer without an end ended", "request, fingerprint, replica, through, verdict, life, leaves, waited", "An answer with neither a length nor chunks ended with its connection and is complete, as its replica runs. Counter node.answers.unframed_whole.", noAction)
	NodeSurplusAnswer          = add(3218, hclog.Warn, "surplus answer skipped", "replica, service, path, through, invalid", "A replica sent an answer to an earlier call once more, before that to the present one: it hands out names that the earlier answer did, or does not answer the call (invalid). It is skipped, and the connection is not used again. Counter node.answers.surplus.", "check the replica if this repeats")
	NodeAnswerHeadBroken       = add(3222, hclog.Warn, "bytes that are no answer", "replica, service, asked, through, reason", "A replica sent bytes that are not the head of an answer where one was due, to a request or a call (asked: its route or path; through: the peer that relayed the connection). They are taken for no answer: nothing of them is believed or passed on, and the connection is closed. Counter node.answers.broken_heads.", "check the replica if this repeats")
	NodeForeignHandle          = add(3219, hclog.Warn, "handle of another item", "replica, service, handle, request, owner", "A pool's replica returned a handle for an item (request) while it holds it for another one (owner: its request). It is refused and not freed, and the item runs again. Counter node.answers.foreign_handles.", "check the replica if this repeats")
	NodeReplicaRestarted       = add(3175, hclog.Warn, "replica started again", "replica, ended", "A replica has restarted under its name; work in progress at its earlier incarnation (ended: how many requests of this instance) is lost.", "check the replica if this repeats")
	NodeResumed                = add(3180, hclog.Warn, "machine was suspended", "after", "The machine and its monotonic clock were suspended for this time. Whatever expired during it is treated as expired; pending calls to the store are repeated.", "find out why the platform suspends machines")
	NodePanicked               = add(3060, hclog.Error, "panic in a request", "panic", "One request failed because of a bug in the program; others are not affected.", "report it with the log line")
)

// Events of the coord.
var (
	CoordStarted        = add(2001, hclog.Info, "coord started", "incarnation, link", "The coord accepts connections.", noAction)
	CoordStopped        = add(2002, hclog.Info, "coord stopped", "", "A planned stop is complete.", noAction)
	MemberChanged       = add(2010, hclog.Info, "member", "name, state, incarnation, leaving", "The recorded state of another instance changed.", "if this affects many at once, check the network between halls")
	MemberDead          = add(2011, hclog.Warn, "member dead", "name, incarnation", "An instance has not responded and did not refute the suspicion.", "check whether it crashed or is partitioned")
	ConfigAdopted       = add(2020, hclog.Info, "configuration in force", "revision, plan", "The coord has applied a new revision.", noAction)
	ConfigOlderRefused  = add(2021, hclog.Error, "older configuration refused", "from, revision, in_force", "The platform or a peer offered an older revision, which was refused.", "check whether the platform's store was restored from a backup")
	ConfigConflict      = add(2022, hclog.Error, "two plans under one revision", "from, revision, plan", "The platform's store accepted two plans under the same revision.", "the store has lost a write: plan and confirm again")
	ConfigInvalid       = add(2023, hclog.Error, "configuration can't be read", "from, revision, error", "A confirmed declaration fails the checks of this binary; the current one stays in force.", "compare the versions of the binaries")
	PlatformUnreachable = add(2030, hclog.Warn, "platform unreachable", "error", "No plan can be confirmed; the current configuration stays in force.", "check the platform's service")
	PlatformReachable   = add(2031, hclog.Info, "platform reachable", "after", "The outage has ended.", noAction)
	ReplicaDraining     = add(2040, hclog.Info, "replica leaving", "replica, incarnation, sign", "The replica gets no new work.", noAction)
	PlanMade            = add(2050, hclog.Info, "plan made", "plan, by, base", "An operator submitted an intent; nothing has changed yet.", noAction)
	PlanConfirmed       = add(2051, hclog.Info, "plan confirmed", "plan, by, revision, state", "An operator confirmed a plan.", noAction)
	OrderLeaseAcquired  = add(2070, hclog.Info, "order lease taken", "token", "This coord sends the engines their orders from now on.", noAction)
	OrderLeaseLost      = add(2071, hclog.Warn, "order lease lost", "token", "This coord no longer sends orders.", "nothing, unless no other coord takes the lease: then check the platform's service")
	OrderObeyed         = add(2072, hclog.Info, "order obeyed", "replica, model, token", "An engine serves the declared model.", noAction)
	OrderNotObeyed      = add(2073, hclog.Warn, "order not obeyed", "replica, model, token, error", "An engine did not obey an order; it is repeated while the lease is held.", "check the replica if this repeats")
	OperatorRefused     = add(2060, hclog.Warn, "operator refused", "path", "A call to the intent API had no valid token.", "find out who sends it")
)

var all []*Event

func add(n int, l hclog.Level, name, fields, meaning, action string) *Event {
	e := &Event{Number: n, Level: l, Name: name, Fields: fields, Meaning: meaning, Action: action}
	all = append(all, e)
	return e
}

// All returns all events of the catalogue.
func All() []*Event { return all }

// Markdown returns the catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line carries `event`, a number of this list, and `instance`, the name of the instance. This page is generated from `protocol/event` by `go run ./protocol/event/page > docs/EVENTS.md`; a test compares them.\n\n")
	b.WriteString("| number | level | line | fields | meaning | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range all {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", e.Number, e.Level, e.Name, e.Fields, e.Meaning, e.Action)
	}
	return b.String()
}
