// Package work defines what the stand-in upstreams compute, so that a checker
// can work out any answer without asking the system: the output of an
// operation is a function of its name and input alone.
package work

import (
	"fmt"
	"hash/fnv"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Generate is the operation whose output streams as tokens.
const Generate = "generate"

const (
	minTokens  = 8
	moreTokens = 24
	passages   = 3
)

// Output returns what op makes of input.
func Output(op string, input []byte) []byte {
	switch op {
	case Generate:
		return []byte(strings.Join(Tokens(input), ""))
	case "retrieve":
		var b strings.Builder
		for i := range passages {
			fmt.Fprintf(&b, "retrieve:%016x passage %d\n", xxhash.Sum64(input), i)
		}
		return []byte(b.String())
	}
	return fmt.Appendf(nil, "%s:%016x", op, xxhash.Sum64(input))
}

// Tokens returns the tokens generated for input.
func Tokens(input []byte) []string {
	h := xxhash.Sum64(input)
	out := make([]string, minTokens+int(h%moreTokens))
	for i := range out {
		out[i] = fmt.Sprintf("t%d-%04x ", i, uint16(h>>(i%48)))
	}
	return out
}

// Time returns how long an operation takes: mean times a lognormal factor of
// mean 1 drawn from the label that the caller gave the request (the part of its
// id before the dot), so that any policy meets the same service times.
func ServiceTime(mean time.Duration, sigma float64, request, stage string) time.Duration {
	if sigma == 0 {
		return mean
	}
	label, _, _ := strings.Cut(request, ".")
	h := fnv.New64a()
	_, _ = h.Write([]byte(label))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(stage))
	s := xxhash.Sum64String(fmt.Sprint(h.Sum64()))
	u1 := (float64(s>>32) + 1) / (1 << 32)
	u2 := float64(s&math.MaxUint32) / (1 << 32)
	z := math.Sqrt(-2*math.Log(min(u1, 1))) * math.Cos(2*math.Pi*u2)
	return time.Duration(float64(mean) * math.Exp(sigma*z-sigma*sigma/2))
}
