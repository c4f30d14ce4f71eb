package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A version whose first order was withdrawn or replaced and that was then rolled out
// by a later order must serve. The ended first order once withheld it as soon as the
// later order was removed or another one came.
func TestVersionOrderedAgainIsNotWithheld(t *testing.T) {
	first := Order{Service: "s", Target: "v2", At: pointAt(3), TimeLimit: time.Minute}
	again := Order{Service: "s", Target: "v2", At: pointAt(7), TimeLimit: time.Minute}
	next := Order{Service: "s", Target: "v3", At: pointAt(9), TimeLimit: time.Minute}
	for name, before := range map[string][]Order{"taken back": nil, "ordered anew": {again}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := NewView()
			v.Replace(0, []Order{first}, pointAt(3))
			v.SetPhase(time.Second, pointAt(3), Canary)
			v.Replace(2*time.Second, before, pointAt(6))
			if len(before) == 0 {
				is.True(v.Withheld("s", "v2", true, false)) // withdrawn: no more requests
				v.Replace(3*time.Second, []Order{again}, pointAt(7))
			}
			for _, w := range []Phase{Canary, Promoted, Done} {
				v.SetPhase(4*time.Second, pointAt(7), w)
			}
			is.True(!v.Withheld("s", "v2", true, true))
			v.Replace(20*time.Second, nil, pointAt(8)) // the operator removes the finished order
			is.True(!v.Withheld("s", "v2", false, false))
			v.Replace(21*time.Second, []Order{next}, pointAt(9))
			v.SetPhase(22*time.Second, pointAt(9), Canary)
			is.True(!v.Withheld("s", "v2", true, false)) // it is the old version now
		})
	}
}

// A rejected version stays withheld when its order is removed.
func TestRejectedVersionStaysWithheldWithoutOrder(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(0, []Order{{Service: "s", Target: "v2", At: pointAt(3), TimeLimit: time.Minute}}, pointAt(3))
	v.SetPhase(time.Second, pointAt(3), Rejected)
	v.Replace(2*time.Second, nil, pointAt(4))
	is.True(v.Withheld("s", "v2", true, false))
	is.True(!v.Withheld("s", "v1", true, false))
	is.True(!v.Withheld("t", "v2", true, false))
}
