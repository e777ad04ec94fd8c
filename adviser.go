package jaygw

import (
	"context"
	"time"
)

type (
	// Adviser is the service that decides which workers may run a step of an advised queue.
	Adviser interface {
		// Advise returns the tickets of the workers that may run the step. A call may take
		// long, and the service handles one at a time.
		Advise(ctx context.Context, request AdviceRequest) (Advice, error)
	}

	// AdviceRequest asks which of some workers may run a step.
	AdviceRequest struct {
		// Step names the step by any of its tasks: the task's index is ignored.
		Step StepTask
		// Workers are the names of at most MaxAdvisedWorkers workers.
		Workers []string
	}

	// Advice is the adviser's response.
	Advice struct {
		// Tickets holds the ticket of each approved worker, by the worker's name. A worker
		// without a ticket may not run the step.
		Tickets map[string]string
		// ValidFor is how long the tickets are valid, counted from when the request was sent.
		ValidFor time.Duration
		// Unreadable is the number of rows of the response that could not be read.
		Unreadable int
	}
)

// MaxAdvisedWorkers is the largest number of workers in one request to the adviser.
const MaxAdvisedWorkers = 100
