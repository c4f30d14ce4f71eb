// Package work defines the output and duration of the stand-in upstreams' operations. An
// output is a function of the operation's name and input alone, so a checker can compute
// the expected response without the system.
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
	minTokens       = 8
	tokenCountRange = 24
	passages        = 3
)

// Output returns the output of operation op for input.
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
	out := make([]string, minTokens+int(h%tokenCountRange))
	for i := range out {
		out[i] = fmt.Sprintf("t%d-%04x ", i, uint16(h>>(i%48)))
	}
	return out
}

// ServiceTime returns how long an operation takes: mean times a lognormal factor of mean
// 1. The factor is derived from the stage and from the label that the caller gave the
// request (the part of its id before the dot), so that all policies are compared with the
// same service times.
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
