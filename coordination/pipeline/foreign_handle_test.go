package pipeline

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against MIXED: a handle that a replica still holds for one item was taken for the result of
// another one, read by its request, and freed under its owner.
func TestHandleOfAnotherItemIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.submit(newTestJob("owner", 4)) // its first stage fills a call
	first := h.busyReplica("read")
	owned := h.results(first, "owned")
	h.apply(h.s.FinishCall(h.now, h.takeCall(first).ID, Answered, owned))
	h.submit(newTestJob("other", 4))
	call := h.takeCall(first)
	if len(call.Items) == 0 || call.Items[0].RequestID != "other" {
		t.Fatalf("%s got no item of the other request: %v", first, call.Items)
	}
	h.apply(h.s.FinishCall(h.now, call.ID, Answered, owned[:len(call.Items)]))
	is.True(len(h.foreign) > 0)
	is.Equal(h.foreign[0].Handle, owned[0].Handle)
	is.True(h.foreign[0].Request != h.foreign[0].Owner)
	is.True(!slices.Contains(h.freed, owned[0].Handle))
	for _, c := range h.calls {
		for _, item := range c.Items {
			is.True(item.RequestID != "other" || !slices.Contains(item.Inputs, owned[0].Handle))
		}
	}
}

// results returns successful results for the call that a replica has.
func (h *harness) results(replica, prefix string) (out []Result) {
	for i := range h.calls[replica].Items {
		out = append(out, Result{Handle: fmt.Sprint(prefix, i)})
	}
	return out
}

// takeCall removes the call that a replica has.
func (h *harness) takeCall(replica string) Call {
	c := h.calls[replica]
	delete(h.calls, replica)
	return c
}

// Guards against MIXED: when one item of a stage found its inputs gone, others that waited for a
// call were sent with empty handles while these were made again.
func TestItemsWaitForInputsThatAreMadeAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	j := newTestJob("j", 2)
	j.Stages = append(j.Stages, Stage{Service: "rank", After: []int{0}, Items: 40, ResultBytes: 10_000}) // more than the calls at a time take
	h.submit(j)
	for r := h.busyReplica("read"); r != ""; r = h.busyReplica("read") {
		h.answer(r, Answered)
	}
	is.Equal(h.busyReplicas("rank"), 2)
	first := h.busyReplica("rank")
	h.answer(first, Answered, InputMissing)
	is.True(h.busyReplicas("read") > 0) // the inputs are being made again
	for _, c := range h.calls {
		for _, item := range c.Items {
			is.True(!slices.Contains(item.Inputs, ""))
		}
	}
	for r := h.busyReplica("read"); r != ""; r = h.busyReplica("read") {
		h.answer(r, Answered)
	}
	for r := h.busyReplica("rank"); r != ""; r = h.busyReplica("rank") {
		for _, item := range h.calls[r].Items {
			is.True(!slices.Contains(item.Inputs, ""))
		}
		h.answer(r, Answered)
	}
	is.Equal(len(h.delivered), 1)
}
