package orchestrator

import (
	"context"
	"errors"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/sirupsen/logrus"
)

// expiryRetryDelay is the delay before a poll is tried again while the end of its VM's lease is
// being committed.
const expiryRetryDelay = 10 * time.Millisecond

// Poll handles the poll of an agent. It commits the ends of runs that the poll reports, holds the
// response until there is a change for the VM, and confirms the leadership with a quorum before it
// responds.
func (o *Orchestrator) Poll(ctx context.Context, request jaygw.PollRequest) (jaygw.PollResponse, error) {
	arrived := time.Now()
	if err := o.openSession(ctx, request); err != nil {
		return jaygw.PollResponse{}, err
	}
	if err := o.commitEnds(ctx, request); err != nil {
		return jaygw.PollResponse{}, err
	}
	o.beginPoll(request.VM)
	defer o.finishPoll(request.VM)
	revision := o.awaitChange(ctx, request)
	if _, err := o.replica.Confirm(ctx); err != nil {
		return jaygw.PollResponse{}, err
	}
	var result jaygw.PollResponse
	var err error
	lost := false
	o.withRegistrar(func(state *registrar.Registrar) {
		withheld := o.isWithheld(request.VM)
		result, err = o.buildResponse(request, state, arrived, time.Now())
		lost = !withheld && o.isWithheld(request.VM)
		o.countRanks(o.ranksChanged)
		o.ranksChanged = 0
	})
	if lost {
		o.incrementCounter("scheduler.responses-lost")
		o.log.WithFields(logrus.Fields{
			"vm": request.VM, "process": request.Process, "sequence": request.Sequence, "received": request.Received, "starts": len(result.Starts),
		}).Warn("scheduler: responses do not reach the agent, it gets no lease")
	}
	result.Revision = revision
	return result, err
}

// beginPoll counts a poll that waits for its response, and finishPoll one that has it or has failed.
func (o *Orchestrator) beginPoll(vm string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.openPolls[vm]++
}

func (o *Orchestrator) finishPoll(vm string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.openPolls[vm]--; o.openPolls[vm] <= 0 {
		delete(o.openPolls, vm)
	}
}

// commitEnds commits the ends of runs that a poll reports, in the term in which the poll is the latest: a
// later leader may have let another agent process start a run that this one has not started.
func (o *Orchestrator) commitEnds(ctx context.Context, request jaygw.PollRequest) error {
	for {
		var command *jaygw.Command
		var err error
		var term uint64
		refused := false
		o.withRegistrar(func(state *registrar.Registrar) {
			term = o.term
			command, err = o.recordPoll(request, state, time.Now())
			if command != nil && err == nil {
				err = o.beginEnds(request.VM)
				refused = err != nil
			}
		})
		if errors.Is(err, errExpiring) {
			select {
			case <-ctx.Done():
				return jaygw.ErrNotConfirmed
			case <-time.After(expiryRetryDelay):
			}
			continue
		}
		if refused {
			o.log.WithFields(logrus.Fields{
				"vm": request.VM, "process": request.Process, "sequence": request.Sequence, "runs": len(request.Ended),
			}).Info("scheduler: ends refused while a session is opened")
		}
		if command == nil || err != nil {
			return err
		}
		result, err := o.replica.Propose(jaygw.InTerm(ctx, term), *command)
		o.mu.Lock()
		o.finishEnds(request.VM)
		o.mu.Unlock()
		if err != nil {
			return err
		}
		o.reportEnds(request, result)
		o.recordDone(request, result)
		return result.Err()
	}
}

// awaitChange waits until the VM's runs have changed since the last response, or the time that the
// agent allows has passed. It returns the revision for the response.
func (o *Orchestrator) awaitChange(ctx context.Context, request jaygw.PollRequest) uint64 {
	o.mu.Lock()
	hold := min(request.Hold, o.holdLimit(request.VM))
	o.mu.Unlock()
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		revision, changed := o.notifier.VMRevision(request.VM)
		if revision != request.LastRevision || hold <= 0 {
			return revision
		}
		select {
		case <-changed:
		case <-timer.C:
			return revision
		case <-ctx.Done():
			return revision
		}
	}
}

// Query responds from a state that a quorum has confirmed since the call began. Any replica may
// respond.
func (o *Orchestrator) Query(ctx context.Context, query jaygw.WorkflowQuery) (jaygw.WorkflowQueryResult, error) {
	if _, err := o.replica.Confirm(ctx); err != nil {
		return jaygw.WorkflowQueryResult{}, err
	}
	var answer jaygw.WorkflowQueryResult
	o.replica.Read(func(machine *applier.Machine) {
		if query.Domain == "" {
			answer = machine.Registrar().Query(query)
		} else if domain := machine.State().Domains[query.Domain]; domain != nil {
			answer.Order = domain.Order
		}
		answer.Index = machine.State().Index
	})
	answer.Replica = o.replica.Status().ID
	return answer, nil
}
