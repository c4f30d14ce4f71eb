// Package event is the catalogue of what the processes log: each line carries
// its event's number. docs/EVENTS.md is made from it and a test compares them.
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

const nothing = "nothing"

// WhyCondemned is why a request is not sent that replicas have ended under; its
// caller and the line of its end are told so.
const ReasonQuarantined = "replicas have ended under this request; it is not sent to any more of them"

// Events of the entry.
var (
	EntryStarted          = add(1001, hclog.Info, "entry started", "incarnation, http", "The entry listens.", nothing)
	EntryStopping         = add(1002, hclog.Info, "entry stopping", "wait", "A planned stop began: the entry serves on until the longest address answer has run out.", nothing)
	EntryStopped          = add(1003, hclog.Info, "entry stopped", "in_flight", "The planned stop ended.", "if in_flight is not 0, look why those requests outlived the stop's limit")
	EntryDrained          = add(1004, hclog.Info, "entry drained", "", "An operator wants this instance empty: address answers leave it out until it is started again.", "stop it when its requests have ended")
	CoordUnreachable      = add(1010, hclog.Warn, "coord unreachable", "error", "The entry goes on with its last configuration and members.", "see that the coord on this instance runs")
	EntryConfigAdopted    = add(1011, hclog.Info, "configuration in force", "revision", "The entry took a new revision into force.", nothing)
	EntryConfigRefused    = add(1012, hclog.Error, "configuration refused", "revision, error", "The entry was sent a configuration that it can't read or that is older than the one in force.", "compare the versions of the binaries; ask every coord for its revision with quincectl status")
	EntryPanicked         = add(1020, hclog.Error, "panic in a request", "panic", "One request ended by a fault of the program; others go on.", "report it with the line")
	AnswerDropped         = add(1030, hclog.Warn, "answer dropped", "request, stage, replica, error", "An upstream's answer was late, cut or another request's, and was not used.", "look at that replica when it repeats")
	Unauthorized          = add(1040, hclog.Warn, "caller refused", "code, path", "A caller's key or ticket was not accepted.", "see that the customer has the declared key")
	SlotOwnerUnreachable  = add(1050, hclog.Warn, "slots owner unreachable", "service, owner", "The entry chooses replicas by itself for a while.", "see that the owner's coord runs")
	TicketHomeUnreachable = add(1060, hclog.Warn, "ticket's home unreachable", "request, home", "The caller was told unknown: only the home may run the request.", "see whether that instance crashed")
	LedgerHandedOver      = add(1070, hclog.Info, "ledger handed over", "heir, entries", "A stopping entry's heir may start its tickets' numbers.", nothing)
	LedgerHandoverFailed  = add(1071, hclog.Warn, "ledger not handed over", "error", "Retries of this entry's tickets are told unknown.", "see that the platform's store answers; not urgent")
	LedgerAdopted         = add(1072, hclog.Info, "ledger taken over", "from, entries", "This entry starts a stopped entry's numbers.", nothing)
)

// Events of the node, an instance's one process on the users' platform.
var (
	NodeStarted                = add(3001, hclog.Info, "node started", "front, link", "The node listens.", nothing)
	NodeStopping               = add(3002, hclog.Info, "node stopping", "in_flight", "A planned stop began.", nothing)
	NodeStopped                = add(3003, hclog.Info, "node stopped", "in_flight", "The planned stop ended.", "if in_flight is not 0, look why those requests outlived the stop's limit")
	NodeSettingsReloaded       = add(3004, hclog.Info, "settings read again", "seeds", "The platform said that the settings changed.", nothing)
	NodeSettingsReloadFailed   = add(3005, hclog.Error, "settings can't be read", "error", "The changed settings are broken; the node goes on with those it has.", "mend the settings file")
	NodeConfigAdopted          = add(3010, hclog.Info, "configuration in force", "version, from, routes", "The node took a newer configuration into force.", nothing)
	NodeConfigInvalid          = add(3011, hclog.Error, "configuration has faults", "from, error", "Routes with faults are left out; the others are in force.", "mend the configuration")
	NodeStoreUnreachable       = add(3020, hclog.Warn, "store unreachable", "topic, waited, error", "A call failed after so long; what is in force goes on, peers tell of newer configurations.", "see to the platform's store")
	NodeStoreReachable         = add(3021, hclog.Info, "store reachable", "topic, after", "The topic is followed again.", nothing)
	NodeStoreEntryInvalid      = add(3022, hclog.Warn, "entry can't be read", "name", "An entry in the store is not an instance's or a replica's own; it is passed over.", "see who writes there")
	NodeReaderChanged          = add(3023, hclog.Info, "reads the store", "reads", "This instance follows the store for its hall, or no longer does.", nothing)
	NodeInstanceAlive          = add(3024, hclog.Info, "instance heard of", "name, hall, incarnation", "Another instance is taken for alive.", nothing)
	NodeIncarnationRaised      = add(3200, hclog.Warn, "earlier life outlived", "was, incarnation, from", "Others know of a life under this instance's name that counts as later than this one: the time of day has gone back between two starts. This instance has taken a higher incarnation.", "when it repeats, two instances have the same name")
	NodeInstanceDead           = add(3025, hclog.Info, "instance not heard of", "name, hall, incarnation, leaving", "Another instance has been silent for too long, or a connection to it failed; it is left out of addresses and ownership.", "for many at once look at the network between halls")
	NodeReplicasChanged        = add(3026, hclog.Info, "replicas changed", "from, changes, at, known", "The list of replicas changed, by the store's or a peer's word.", nothing)
	NodeStoreUnresponsive      = add(3027, hclog.Warn, "store silent", "error", "A reader asked the store whether it answers, and it did not; its waiting calls may be missed.", "see to the platform's store")
	NodeStoreResponsive        = add(3028, hclog.Info, "store answers", "after", "It answers a reader again; what waited is given up and asked anew.", nothing)
	NodeStoreCallAbandoned     = add(3029, hclog.Info, "call to the store given up", "topic, waited", "The store was silent since the call began and won't answer it.", nothing)
	NodeReplicaDraining        = add(3030, hclog.Info, "replica leaving", "replica, sign", "The replica gets no new work.", nothing)
	NodeReplicaEjected         = add(3031, hclog.Warn, "replica left alone", "replica, why, usual, by", "The replica gets no new work for a while, by own evidence or a peer's.", "look at that replica when it repeats")
	NodeHallDrained            = add(3033, hclog.Warn, "hall emptied", "hall, from, revision", "An operator wants a data hall empty: its replicas get nothing new, what is under way there ends by itself.", nothing)
	NodeHallReturned           = add(3034, hclog.Info, "hall taken back", "hall, from, revision", "Its replicas get work again; those of services that turn cold get little at first.", nothing)
	NodeReplicaWarming         = add(3035, hclog.Info, "replica cold", "replica, hall, for", "The replica said that it is cold, or its hall was taken back: it gets as much as a cold one carries.", nothing)
	NodeReplicaDrainAdvisory   = add(3036, hclog.Info, "replica says that it leaves", "replica, by", "An answer of the replica says so, to this instance or (by) a peer. It gets nothing new for as long as it is listed; what runs there goes on.", nothing)
	NodeReplicaRemoved         = add(3037, hclog.Info, "replica has left", "replica", "A replica that said so has not been listed for a while, and is forgotten.", nothing)
	NodeReplicaBackoff         = add(3038, hclog.Warn, "replica rests", "replica, service, for", "The replica turned a request away and wants nothing from this instance for so long.", "when it repeats, the service has too few replicas")
	NodeReplicaBackoffEnded    = add(3039, hclog.Info, "replica has rested", "replica", "Its rest is over: it gets one request, then a few, then any number.", nothing)
	NodeReplicaRateLimited     = add(3204, hclog.Warn, "replica states a limit", "replica, service, per_second, was, by", "The replica takes so many requests a second from all instances together; was: before, below 0 for any number; by: its own answer here, or the instance that told it. It gets no more: one instance gives the turns of it.", "see what the replica is short of; when all of a service state limits, it has too few replicas")
	NodeSendGrantRefused       = add(3206, hclog.Info, "refused for its engines' limits", "request, customer, rank, wait, may_wait, per_second", "All engines that may run the request state how much they take, and its turn would come too late; per_second: what they take together.", "see why they state limits (3204); counter node.pace.none")
	NodeReplicaRateLimitLifted = add(3205, hclog.Info, "replica states no limit any more", "replica, by", "It takes any number again.", nothing)
	NodeUnknownReplicaField    = add(3203, hclog.Warn, "word of replicas that nobody reads", "service, word, in", "A header of replicas' answers, or a field of their reports, that this build does not know. Said once for each service; counter node.words_unread.", "look on the users' pages what it means: it may ask for something that this build does not heed")
	NodeFleetLevelRaised       = add(3190, hclog.Info, "level of all rises", "level, was, of, least", "All instances that are alive have told for a while that they understand this much; of: what this build does; least: one that tells the least.", nothing)
	NodeFleetLevelLowered      = add(3191, hclog.Warn, "level of all falls", "level, was, of, least", "An instance of an older build (least) is there: what needs all to understand more is not in force, see docs/design/upgrades.md.", "go on with the upgrade; quincectl builds names who is behind")
	NodeReplicaReinstated      = add(3032, hclog.Info, "replica taken back", "replica", "A replica that was left alone has answered well.", nothing)
	NodePoolsOwned             = add(3040, hclog.Info, "pools owned", "cell", "Another instance took this one for the owner of these pools.", nothing)
	NodeBatchFailed            = add(3041, hclog.Warn, "call of pieces lost", "replica, pieces, fate", "A replica did not run a call of pieces, or its answer did not come; the pieces go to others.", "look at that replica when it repeats")
	NodeBatchDone              = add(3043, hclog.Debug, "call of pieces done", "replica, service, pieces, took, no_room, gone, late, failed", "A replica answered a call of pieces.", nothing)
	NodeOwnerUnreachable       = add(3042, hclog.Warn, "owner unreachable", "owner, request, error", "The next instance in line is asked.", "see whether that instance crashed")
	NodeCachedPrefixesUnknown  = add(3044, hclog.Info, "kept prompts unknown", "replica, error", "A new owner asked an engine which parts of prompts it keeps, and was not told; prompts are read again there.", "look at that replica when it repeats")
	NodeSideCallFailed         = add(3045, hclog.Debug, "side call failed", "what, to, error", "A call beside a request's way failed: results that nobody reads were not freed, a replica or peer was not asked, the store's list of instances was not read. Something else makes up for it.", nothing)
	NodeMessageInvalid         = add(3046, hclog.Warn, "message broken", "what, from, error", "What a peer sent can't be read, or what this instance has can't be written; it is passed over.", "do all instances run the same version?")
	NodeRequest                = add(3050, hclog.Info, "request", "request, customer, fingerprint, route, rank, why, objective, deadline, version, owner, attempts, replica, took, staged, expected, engine_expected, reads, moves, first, gap, tokens, fetch, pieces, region, chosen, leaves, short, asked, share", "What became of a request; chosen: by whom its last replica was; leaves: that one said so as it answered; fingerprint: of what its caller repeats when it comes again (customer, method, host, path, body); short: where its owner counted it beyond its customer's share, the service that is short, with what the customer asked for of it and its share, in seconds of replicas a second.", nothing)
	NodeAttemptFailed          = add(3051, hclog.Info, "attempt failed", "request, fingerprint, replica, why, took, kept, last_event, chosen, rest, leaves", "An attempt at a replica did not bring the answer; chosen: by whom the replica was; rest: for how long it wants nothing; leaves: it said so; kept: on a connection used before; last_event: of a stream, the last one that the client has.", "look at that replica when it repeats")
	NodeJobRefused             = add(3052, hclog.Info, "job refused", "request, customer, rank, again, short, asked, share, expected, wait, own, bound, limit, engine_expected, reads, moves, objective, deadline, stages, pools", "The owner of the pools refused a request's stages: expected is over limit. own: what they take where nothing waits; wait: the rest of expected, longest for the pool bound; short: the service of which the customer asks for more than its share, with both in seconds of replicas a second; objective: what is left of it for the stages; pools: those that the request asks for.", "wait over own: when it lasts, the pool bound has too few replicas; own over limit: too little time was left, see quincectl losses")
	NodeJobFailed              = add(3053, hclog.Info, "job failed", "request, customer, why, after, expected, rank, again, short, stages", "The stages of an admitted request could not be done.", "late or deadline: too few replicas; share: the customer asks for more than its share; tries or inputs: look at the pools' replicas")
	NodeCustomerThrottled      = add(3201, hclog.Warn, "customer held to its share", "cell, customer, service, asked, share", "A customer asks for clearly more of a service's pool than it usually has, and more is asked for than there is: what is beyond its share goes behind what is within the others'. asked and share: seconds of replicas in a second.", "tell the customer; quincectl customers shows what it sends, OPERATIONS says more")
	NodeCustomerUnthrottled    = add(3202, hclog.Info, "customer not held any more", "cell, customer, service, after", "It asks for no more than its share, or there is enough for all.", nothing)
	NodeSpeedLearned           = add(3100, hclog.Info, "engines' speed learned", "service, cell, base, per_token, likely_base, likely_per_token, per_out, longest, count", "What requests showed of a service's engines changed noticeably: the usual time to the first event of an empty prompt and for each token read, the same under which most lie, for a token generated, the longest prompts seen, how many observations.", nothing)
	NodeSpeedSeeded            = add(3101, hclog.Info, "engines' speed told", "service, cell, base, per_token, likely_base, likely_per_token, per_out, longest, count", "An owner that has observed little of a service's engines goes by what peers tell; count: the owners that observed.", nothing)
	NodeStagesDone             = add(3120, hclog.Debug, "stages done", "request, took, expected, stages", "The stages of an admitted request are done; stages tells what was expected of each when it came.", "where took is often above expected (counter node.jobs_overran), look which stage began late")
	NodeLogDropped             = add(3070, hclog.Warn, "log lines dropped", "lines", "Whoever reads the log was too slow.", "see to the reader; the counter node.log_dropped goes on")
	NodeRegionAsked            = add(3160, hclog.Info, "region asked", "request, region, refused, error, took", "The own region did not take a request's stages, so the owner in another one was asked.", "when it lasts, the own region has too few replicas")
	NodeHallWithoutRegion      = add(3161, hclog.Warn, "hall of no region", "hall, replicas", "Replicas are in a hall whose region the settings don't state. It counts as far from all others: they serve what no region can, and nothing that may be served in some regions only.", "state the hall's region in the settings")
	NodeReplicaEnded           = add(3170, hclog.Warn, "replica ended", "replica, service, sign", "A replica has ended without a word while answers were under way.", "when it repeats, look at the replicas and at what ran there")
	NodeRequestSuspected       = add(3171, hclog.Warn, "request suspected", "fingerprint, ended, why", "Replicas have ended under a request (ended: how many). It is tried at one place at a time, apart from other suspects.", nothing)
	NodeSuspectTried           = add(3172, hclog.Info, "suspect tried", "request, fingerprint, verdict", "A suspect has its turn.", nothing)
	NodeRequestQuarantined     = add(3173, hclog.Error, "request condemned", "fingerprint, ended, why", "So many replicas have ended under a request that it is not sent to any more; whoever sends it is told 400.", "find the customer by the fingerprint in the lines of requests; quincectl acquit once it is safe")
	NodeRequestReleased        = add(3174, hclog.Info, "request acquitted", "fingerprint, was, why", "A request under which replicas have ended had a whole answer since, was acquitted by an operator, or is forgotten by its age.", nothing)
	NodeReplicaRestarted       = add(3175, hclog.Warn, "replica started again", "replica, ended", "A replica has started again under its name; what ran in its life before (ended: how much of this instance's) is lost.", "when it repeats, look at that replica")
	NodeResumed                = add(3180, hclog.Warn, "machine was suspended", "after", "The machine stood still for so long, its steady clock too. What ran out meanwhile has run out; calls to the store that waited are made again.", "see why the platform suspends machines")
	NodePanicked               = add(3060, hclog.Error, "panic in a request", "panic", "One request ended by a fault of the program; others go on.", "report it with the line")
)

// Events of the coord.
var (
	CoordStarted        = add(2001, hclog.Info, "coord started", "incarnation, link", "The coord listens.", nothing)
	CoordStopped        = add(2002, hclog.Info, "coord stopped", "", "A planned stop ended.", nothing)
	MemberChanged       = add(2010, hclog.Info, "member", "name, state, incarnation, leaving", "The view of another instance changed.", "for many at once look at the network between halls")
	MemberDead          = add(2011, hclog.Warn, "member dead", "name, incarnation", "An instance has been silent and did not refute it.", "see whether it crashed or is cut off")
	ConfigAdopted       = add(2020, hclog.Info, "configuration in force", "revision, plan", "The coord took a new revision into force.", nothing)
	ConfigOlderRefused  = add(2021, hclog.Error, "older configuration refused", "from, revision, in_force", "The platform or a peer offered an older revision. It was not taken.", "see whether the platform's store was restored from a backup")
	ConfigConflict      = add(2022, hclog.Error, "two plans under one revision", "from, revision, plan", "The platform's store let two plans take one revision.", "the store has lost a write: plan and confirm again")
	ConfigInvalid       = add(2023, hclog.Error, "configuration can't be read", "from, revision, error", "A confirmed declaration does not pass this binary's checks; the one in force stays.", "compare the versions of the binaries")
	PlatformUnreachable = add(2030, hclog.Warn, "platform unreachable", "error", "Nothing can be confirmed; what is in force goes on.", "see to the platform's service")
	PlatformReachable   = add(2031, hclog.Info, "platform reachable", "after", "The outage ended.", nothing)
	ReplicaDraining     = add(2040, hclog.Info, "replica leaving", "replica, incarnation, sign", "The replica gets no new work.", nothing)
	PlanMade            = add(2050, hclog.Info, "plan made", "plan, by, base", "An operator stated an intent; nothing has changed yet.", nothing)
	PlanConfirmed       = add(2051, hclog.Info, "plan confirmed", "plan, by, revision, state", "An operator confirmed a plan.", nothing)
	OrderLeaseAcquired  = add(2070, hclog.Info, "order lease taken", "token", "This coord gives the engines their orders from now on.", nothing)
	OrderLeaseLost      = add(2071, hclog.Warn, "order lease lost", "token", "This coord gives no orders any more.", "nothing, unless no other takes it: then see to the platform's service")
	OrderObeyed         = add(2072, hclog.Info, "order obeyed", "replica, model, token", "An engine serves the declared model.", nothing)
	OrderNotObeyed      = add(2073, hclog.Warn, "order not obeyed", "replica, model, token, error", "An engine did not take an order; it is given again while the lease is held.", "look at that replica when it repeats")
	OperatorRefused     = add(2060, hclog.Warn, "operator refused", "path", "A call to the intent API had no valid token.", "see who calls")
)

var all []*Event

func add(n int, l hclog.Level, name, fields, meaning, do string) *Event {
	e := &Event{Number: n, Level: l, Name: name, Fields: fields, Meaning: meaning, Action: do}
	all = append(all, e)
	return e
}

// All returns the catalogue by number.
func All() []*Event { return all }

// Markdown returns the catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line carries `event`, a number of this list, and `instance`, the name of the instance. This page is made from `protocol/event` by `go run ./protocol/event/page > docs/EVENTS.md`; a test compares them.\n\n")
	b.WriteString("| number | level | line | fields | meaning | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range all {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", e.Number, e.Level, e.Name, e.Fields, e.Meaning, e.Action)
	}
	return b.String()
}
