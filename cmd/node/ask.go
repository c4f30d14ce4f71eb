package node

import (
	"errors"
	"fmt"
	"time"

	"quinceroad/platform"
	"quinceroad/protocol/pb"
)

// Bounds of an ask, beyond what a client's request and a configuration can
// state: an ask that ends its owner is put to the next one, and ends that too.
const (
	mostStages   = 64             // of a request: far beyond what deployments state
	longestAsk   = 24 * time.Hour // either way, of a time in an ask: far beyond the longest deadline
	mostAskBytes = 1 << 40        // bytes, of one result: more than a machine holds
)

var errAskTimes = errors.New("a time is out of range")

// checkAsk returns what is wrong with an ask for stages.
func checkAsk(ask *pb.StagesAsk) error {
	if len(ask.Stages) > mostStages {
		return fmt.Errorf("%d stages", len(ask.Stages))
	}
	if len(ask.Parts) > platform.MostParts || ask.TokensOut > platform.MostTokens {
		return fmt.Errorf("a prompt of %d parts, %d tokens to generate", len(ask.Parts), ask.TokensOut)
	}
	if len(ask.Customer) > maxCustomerLength {
		return fmt.Errorf("a customer's name of %d bytes", len(ask.Customer))
	}
	if part := ask.CustomerPart; !(part >= 0 && part <= 1) {
		return fmt.Errorf("a customer's part of %v", part)
	}
	for _, p := range ask.Parts {
		if p.GetTokens() > platform.MostTokens {
			return fmt.Errorf("a part of %d tokens", p.GetTokens())
		}
	}
	for n, w := range ask.Stages {
		if err := checkStage(n, w); err != nil {
			return err
		}
	}
	for _, us := range []int64{ask.ObjectiveUs, ask.DeadlineUs, ask.SlackUs} {
		if us > longestAsk.Microseconds() || us < -longestAsk.Microseconds() {
			return errAskTimes
		}
	}
	return nil
}

func checkStage(n int, w *pb.StageWork) error {
	if w.GetPieces() > platform.MostPieces || w.GetBytes() < 0 || w.GetBytes() > mostAskBytes {
		return fmt.Errorf("stage %d has %d pieces of %d bytes", n, w.GetPieces(), w.GetBytes())
	}
	for _, a := range w.GetAfter() {
		if int(a) >= n {
			return fmt.Errorf("stage %d comes after stage %d, which is not before it", n, a)
		}
	}
	return nil
}
