package quarantine

import "time"

// Options are the settings of a Tracker.
type Options struct {
	QuarantineAt         int           // number of replicas that must end while running requests with a feature to quarantine it
	PartSuspectAt        int           // number of replicas that must end to suspect a part of prompts
	MaxTrialEnds         int           // replicas that may end in trials of a part; then it is not tried any more
	RetrialPause         time.Duration // time after which a part that one trial quarantined is tried once more
	MaxEndDelay          time.Duration // maximum time between a broken answer and the replica's end
	SuccessTTL           time.Duration // time for which a complete answer clears all attempts of a request, whichever replicas end
	PartSuccessTTL       time.Duration // the same for the parts of its prompt
	SuspectTTL           time.Duration // time without changes after which a suspect expires
	QuarantineTTL        time.Duration // time without attempts after which a quarantined request expires
	MaxCases             int           // cases kept; the one with the fewest ended replicas is evicted first
	MaxIncarnations      int           // incarnations kept of a case: ended and cleared each
	Announcements        int           // messages in which a changed case is announced
	MaxChangedPerMessage int           // changed cases in a message
	MaxPerSnapshot       int           // cases in a message to an instance that has just started
	RepeatsPerMessage    int           // further quarantined cases in a message, round-robin, for instances that were suspended or partitioned
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		// The most that the requirements allow. With two, a request that ran concurrently
		// with a poisonous one twice would be quarantined.
		QuarantineAt:         3,
		PartSuspectAt:        2, // many rare parts see one end beside others
		MaxTrialEnds:         3, // the most that the requirements allow after the fifth end
		RetrialPause:         time.Minute,
		MaxEndDelay:          5 * time.Second,  // a replica's registration is removed about 3 s after its end
		SuccessTTL:           10 * time.Second, // frequent requests are answered more often than that
		PartSuccessTTL:       time.Minute,      // one that many requests share is answered more often than that
		SuspectTTL:           time.Minute,      // longer than callers retry a failed request
		QuarantineTTL:        time.Hour,
		MaxCases:             4096, // about 0.5 MB
		MaxIncarnations:      16,   // as many as may end before the first is known
		Announcements:        6,    // rounds of heartbeats; five reach all of 390 instances
		MaxChangedPerMessage: 16,
		MaxPerSnapshot:       200, // about 8 KB, half of the largest datagram
		RepeatsPerMessage:    8,
	}
}
