package drains

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A weak inference lasts for a short time, is told to nobody and ends with a served request; a
// strong one does none of these, and replaces it.
func TestWeakInferenceGivesWay(t *testing.T) {
	is := is.New(t)
	d := NewTable()
	is.True(d.Add(0, "weak", Weak))
	is.True(!d.Add(time.Second, "weak", Weak)) // it lasts no longer for being made again
	is.True(d.Add(0, "served", Weak))
	is.True(d.Add(0, "strong", Strong))
	is.True(!d.Add(0, "strong", Weak))
	is.True(d.RecordServed("served"))
	is.True(!d.RecordServed("strong"))
	is.True(!d.RecordServed("unknown"))
	is.Equal(d.Recent(1, time.Minute, 9), []string{"strong"})
	is.Equal(len(d.Recent(1, time.Minute, 0)), 0)
	is.Equal(d.Expire(WeakTTL), nil)
	is.Equal(d.Expire(WeakTTL+1), []string{"weak"})
	is.True(!d.Has("weak") && !d.Has("served") && d.Has("strong"))
	is.True(d.Add(0, "again", Weak))
	is.True(d.Add(0, "again", Strong))
	is.Equal(d.Expire(WeakTTL+1), nil)
	is.Equal(len(d.Expire(strongTTL+1)), 2)
}

// RECOVER: whatever the size of a service, and however many of its replicas are full at once, at
// least half of them stay in use; one of two or more may be left out.
func TestWeakInferencesLeaveHalf(t *testing.T) {
	for listed := range 1000 {
		is := is.New(t)
		eligible := listed
		for MayInferWeakly(listed, eligible) && eligible > 0 {
			eligible--
		}
		is.True(2*eligible >= listed)
		is.True(listed < 2 || eligible < listed)
	}
}
