package node

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A reader's watch that the store had missed in an outage waited 8.7 s in all,
// past the time in which a configuration must be in force.
func TestACallThatTheStoreMissedIsGivenUpWhenItIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // a call that waits for good fails the test at once
		is := is.New(t)
		p := newPulse()
		missed := make(chan struct{})
		defer close(missed)
		f := &follow{back: p.back}
		began := make(chan struct{})
		ended := make(chan error)
		go func() {
			ended <- f.await(func() (func(), error) {
				close(began)
				<-missed
				return nil, nil
			})
		}()
		<-began
		p.note(true) // it answers as before
		synctest.Wait()
		select {
		case err := <-ended:
			t.Fatalf("given up without a silence: %v", err)
		default:
		}
		p.note(false)
		p.note(true)
		is.Equal(<-ended, errMissed)
	})
}

func TestAnAnswerIsTakenIn(t *testing.T) {
	is := is.New(t)
	taken := false
	f := &follow{back: newPulse().back}
	is.NoErr(f.await(func() (func(), error) { return func() { taken = true }, nil }))
	is.True(taken)
}

// Silences and returns are logged once each, not with every question.
func TestOnlyAChangeOfTheStoresSilenceIsNews(t *testing.T) {
	is := is.New(t)
	p := newPulse()
	var news []bool
	for _, answered := range []bool{true, false, false, true, true} {
		news = append(news, p.note(answered))
	}
	is.Equal(news, []bool{false, true, false, true, false})
}
