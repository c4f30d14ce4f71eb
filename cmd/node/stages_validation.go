package node

import (
	"errors"
	"fmt"
	"time"

	"quinceroad/platform"
	"quinceroad/protocol/pb"
)

// Bounds of a StagesAsk, which are above those of clients' requests and configurations.
// A message that crashes an owner would be sent to the successor and crash that too.
const (
	maxStages      = 64             // per request; far more than deployments configure
	maxAskTime     = 24 * time.Hour // bound of any duration, positive or negative; far longer than the longest deadline
	maxResultBytes = 1 << 40        // per result; more than a machine can hold
)

var errAskTimeOutOfRange = errors.New("a time is out of range")

// validateStagesAsk returns an error if a StagesAsk is out of bounds.
func validateStagesAsk(ask *pb.StagesAsk) error {
	if len(ask.Stages) > maxStages {
		return fmt.Errorf("%d stages", len(ask.Stages))
	}
	if len(ask.Parts) > platform.MaxPromptParts || ask.TokensOut > platform.MaxTokens {
		return fmt.Errorf("a prompt of %d parts, %d tokens to generate", len(ask.Parts), ask.TokensOut)
	}
	if len(ask.Customer) > maxCustomerLength {
		return fmt.Errorf("a customer's name of %d bytes", len(ask.Customer))
	}
	if part := ask.CustomerPart; !(part >= 0 && part <= 1) {
		return fmt.Errorf("a customer's part of %v", part)
	}
	for _, p := range ask.Parts {
		if p.GetTokens() > platform.MaxTokens {
			return fmt.Errorf("a part of %d tokens", p.GetTokens())
		}
	}
	for n, w := range ask.Stages {
		if err := validateStageWork(n, w); err != nil {
			return err
		}
	}
	for _, us := range []int64{ask.ObjectiveUs, ask.DeadlineUs, ask.SlackUs} {
		if us > maxAskTime.Microseconds() || us < -maxAskTime.Microseconds() {
			return errAskTimeOutOfRange
		}
	}
	return nil
}

func validateStageWork(n int, w *pb.StageWork) error {
	if w.GetPieces() > platform.MaxStageItems || w.GetBytes() < 0 || w.GetBytes() > maxResultBytes {
		return fmt.Errorf("stage %d has %d pieces of %d bytes", n, w.GetPieces(), w.GetBytes())
	}
	for _, a := range w.GetAfter() {
		if int(a) >= n {
			return fmt.Errorf("stage %d comes after stage %d, which is not before it", n, a)
		}
	}
	return nil
}
