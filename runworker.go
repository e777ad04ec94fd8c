package jaygw

import (
	"context"
	"time"
)

type (
	// RunWorker is a worker that runs tasks under a lease on its own clock. Each call names
	// the incarnation that is meant; any other one denies the order. Fences are session
	// numbers: a worker denies the orders of a session once a newer one has given orders.
	RunWorker interface {
		// Start begins a run. An error leaves open whether the run starts now or later;
		// only a list shows it.
		Start(ctx context.Context, incarnation WorkerIncarnation, start WorkerStart) (WorkerResponse, error)
		// Stop ends a run. A run whose start has not arrived yet never starts afterwards.
		Stop(ctx context.Context, incarnation WorkerIncarnation, run Run, fence uint64) (WorkerResponse, error)
		// ExtendLease extends the lease of all runs and lists them.
		ExtendLease(ctx context.Context, incarnation WorkerIncarnation, extension LeaseExtension) (RunList, error)
		// SetPace limits a run to a share of its full speed, in percent.
		SetPace(ctx context.Context, incarnation WorkerIncarnation, run Run, percent int, fence uint64) (WorkerResponse, error)
	}

	// WorkerStart is an order to start a run.
	WorkerStart struct {
		Run Run
		// Payload is passed from the workflow to the worker.
		Payload string
		// Checkpoint is where the run continues; empty to start from the beginning.
		Checkpoint string
		// Ticket permits the start on an advised queue; empty on other queues.
		Ticket string
		// Deadline is a reading of the worker's clock: the worker denies the order from
		// then on, and its lease extends at least to it.
		Deadline time.Duration
		// Fence is the number of the session that gives the order.
		Fence uint64
	}

	// LeaseExtension asks a worker to extend its lease and to list its runs.
	LeaseExtension struct {
		// Deadline is the new end of the lease, as a reading of the worker's clock; zero
		// leaves the lease as it is.
		Deadline time.Duration
		// Fence is the number of the session that gives the order.
		Fence uint64
		// LastRecordedEnd is the number of the last end that is recorded; the worker forgets that end
		// and the earlier ones. Zero forgets none.
		LastRecordedEnd uint64
		// Wait is how long the worker may hold the response until another run ends; zero
		// asks for an immediate one.
		Wait time.Duration
	}

	// WorkerResponse is a worker's response to an order.
	WorkerResponse struct {
		// Clock is a reading of the worker's clock.
		Clock time.Duration
		// Denied says why the order was not carried out; empty if it was.
		Denied OrderDenial
		// Detail is the worker's own text about a denial.
		Detail string
	}

	// OrderDenial says why a worker has not carried out an order.
	OrderDenial string

	// RunList lists the runs of a worker and the ends that it has not forgotten.
	RunList struct {
		WorkerResponse
		// Incarnation is the incarnation that has responded.
		Incarnation WorkerIncarnation
		Running     []RunningRun
		Ended       []NumberedEnd
		// Truncated is set if the worker may have more ends than it lists.
		Truncated bool
		// Unreadable holds a reason for each row of the response that names no run.
		Unreadable []error
	}

	// RunningRun is one run that is in progress on a worker.
	RunningRun struct {
		Run Run
		// Checkpoint is the run's latest checkpoint; empty if there is none.
		Checkpoint string
		// Percent is the share of the run's work that is done, from 0 to 100.
		Percent int
		// TailLatency is the tail latency. It is meaningful for serving runs only; zero means that
		// there is no measurement.
		TailLatency time.Duration
		// UsedCPU is the processor time in use. It is meaningful for runs that do not serve;
		// zero means that there is no measurement.
		UsedCPU MilliCores
	}

	// NumberedEnd is the end of a run with its number.
	NumberedEnd struct {
		// Number counts the ends within one incarnation of the worker, from 1.
		Number uint64
		End    EndedRun
	}
)

const (
	// DeniedFence means that a newer session has already given orders.
	DeniedFence OrderDenial = "fence"
	// DeniedStale means that the run, or a later one of its task, was stopped or has ended.
	DeniedStale OrderDenial = "old"
	// DeniedLate means that the order's deadline had expired.
	DeniedLate OrderDenial = "late"
	// DeniedCapacity means that the run exceeds the worker's free capacity.
	DeniedCapacity OrderDenial = "room"
	// DeniedTicket means that the ticket that the run requires is missing or not valid.
	DeniedTicket OrderDenial = "ticket"
	// DeniedUnhealthy means that the worker is not healthy enough to carry out orders.
	DeniedUnhealthy OrderDenial = "busy"
	// DeniedIncarnation means that the order was for another incarnation of the worker.
	DeniedIncarnation OrderDenial = "life"
	// DeniedInvalid means that the worker could not read the order.
	DeniedInvalid OrderDenial = "invalid"
)
