package jaygw

import (
	"slices"
	"time"
)

type (
	// PoolWorker describes the worker on an agent's VM, as the worker reports itself.
	PoolWorker struct {
		Incarnation WorkerIncarnation `cbor:"1,keyasint"`
		// Service names the pool that the worker belongs to: it takes tasks of the queues
		// of this service.
		Service string `cbor:"2,keyasint"`
		// Domain is the failure domain.
		Domain string `cbor:"3,keyasint"`
		// Size is the whole capacity of the VM.
		Size Resources `cbor:"4,keyasint"`
		// Labels are the properties that steps may require or prefer in a VM, among them the
		// racks that hold data.
		Labels []string `cbor:"5,keyasint,omitempty"`
		// Machine is the worker's machine as the platform names it. The scheduler does not
		// use it.
		Machine string `cbor:"6,keyasint,omitempty"`
		// Draining is set once the worker is about to leave; it then gets no new runs.
		Draining bool `cbor:"7,keyasint,omitempty"`
		// Remaining is the least time until a draining worker leaves. Zero means that none
		// was reported; the scheduler does not use it.
		Remaining time.Duration `cbor:"8,keyasint,omitempty"`
		// Address is the host and port at which the worker takes the agent's calls.
		Address string `cbor:"9,keyasint,omitempty"`
		// Sequence is the number of the worker's heartbeat, which increases in an incarnation; zero if it has none.
		// The agent does not pass it on.
		Sequence uint64 `cbor:"-"`
	}

	// WorkerProfile is what a worker declares for its whole incarnation and limits the runs that it may get.
	WorkerProfile struct {
		// Service names the pool that the worker belongs to.
		Service string `cbor:"1,keyasint"`
		// Size is the whole capacity of the VM.
		Size Resources `cbor:"2,keyasint"`
		// Labels are those of the worker.
		Labels []string `cbor:"3,keyasint,omitempty"`
	}

	// WorkerIncarnation identifies one incarnation of a worker. A worker that starts again may
	// keep its name; it then has another start time and none of its earlier runs.
	WorkerIncarnation struct {
		Name string `cbor:"1,keyasint"`
		// StartTime is the start time of the incarnation; zero if the worker reports none.
		StartTime Time `cbor:"2,keyasint,omitempty"`
	}

	// ReportedRun is a run that an agent reports in a poll: one that is starting, running or
	// stopping, or one whose end is not committed yet.
	ReportedRun struct {
		Run Run `cbor:"1,keyasint"`
		// Percent is the share of the run's work that is done, from 0 to 100.
		Percent int `cbor:"2,keyasint,omitempty"`
		// Checkpoint is the run's latest checkpoint; empty if there is none, or if the poll has no room
		// for it. The one in the poll before then counts.
		Checkpoint string `cbor:"3,keyasint,omitempty"`
		// TraitsUnknown is set if the agent does not know the run's traits, as after a restart of
		// the agent. The response then carries them.
		TraitsUnknown bool `cbor:"4,keyasint,omitempty"`
		// SlowdownPercent is by how many percent of its full speed a spare run is slowed down; zero
		// means full speed.
		SlowdownPercent int `cbor:"5,keyasint,omitempty"`
		// TailLatency is the tail latency of a serving run over the last half second; zero if the
		// run does not serve or has no measurement.
		TailLatency time.Duration `cbor:"6,keyasint,omitempty"`
		// UsedCPU is the processor time that a spare run gets; zero for any other run.
		UsedCPU MilliCores `cbor:"8,keyasint,omitempty"`
		// Resumed is set if the run started from a checkpoint, or was found on the worker
		// by a new agent process. Its progress since its start then gives no speed.
		Resumed bool `cbor:"7,keyasint,omitempty"`
		// Confirmed is set once the worker has confirmed or listed the run. Earlier builds do not set it.
		Confirmed bool `cbor:"9,keyasint,omitempty"`
	}

	// PollRequest is an agent's poll of the leader: it reports what the worker runs and
	// which runs have ended there, and fetches what to start and to stop. It is a long
	// poll: the leader holds the response until the VM's runs change.
	PollRequest struct {
		VM string `cbor:"1,keyasint"`
		// Process is a random number that each agent process draws when it starts.
		Process uint64 `cbor:"2,keyasint"`
		// Sequence numbers the polls of one agent process.
		Sequence uint64 `cbor:"4,keyasint"`
		// Worker describes the worker; nil until the worker has reported to the agent. The
		// leader refuses a poll without it.
		Worker *PoolWorker `cbor:"5,keyasint,omitempty"`
		// Runs lists the reported runs.
		Runs []ReportedRun `cbor:"6,keyasint,omitempty"`
		// Ended lists the ends that no response has confirmed as committed yet.
		Ended []EndedRun `cbor:"7,keyasint,omitempty"`
		// LastRevision is the revision of the last response, zero before the first one. The
		// leader responds at once if its revision differs.
		LastRevision uint64 `cbor:"8,keyasint,omitempty"`
		// Hold is the longest time that the leader may hold the response; zero asks for an
		// immediate one. The leader has a limit of its own.
		Hold time.Duration `cbor:"9,keyasint,omitempty"`
		// Unhealthy says why the VM should get no new runs; empty if it may get them.
		Unhealthy string `cbor:"10,keyasint,omitempty"`
		// RunsUnknown is set until the worker has listed all its runs to a session of this process. It may
		// then run what an earlier process has ordered.
		RunsUnknown bool `cbor:"11,keyasint,omitempty"`
		// Received is the highest sequence number of a poll whose response has arrived; zero before the
		// first one. Earlier builds do not set it.
		Received uint64 `cbor:"12,keyasint,omitempty"`
	}

	// StartOrder orders an agent to start a run.
	StartOrder struct {
		Run Run `cbor:"1,keyasint"`
		// Payload is passed from the workflow to the worker.
		Payload string `cbor:"2,keyasint,omitempty"`
		// Checkpoint is where the run continues; empty to start from the beginning.
		Checkpoint string `cbor:"3,keyasint,omitempty"`
		// ValidFor is how long the order may be carried out, counted from when the agent sent
		// the poll.
		ValidFor time.Duration `cbor:"4,keyasint"`
		// Ticket permits the start on an advised queue; empty on other queues.
		Ticket string    `cbor:"5,keyasint,omitempty"`
		Traits RunTraits `cbor:"7,keyasint"`
		// Doubled is set if the task has another run. The worker then has less time to carry out the order, so that the
		// run does not start long after the other one is done.
		Doubled bool `cbor:"8,keyasint,omitempty"`
	}

	// RunTraits are the properties of a step that an agent needs while one of its runs is
	// in progress.
	RunTraits struct {
		// Image names the program that the run executes. Estimates of interference are
		// held per pair of images.
		Image string `cbor:"1,keyasint,omitempty"`
		// Spare is set for a run that uses only processor time left by the others.
		Spare bool `cbor:"2,keyasint,omitempty"`
		// LatencyTarget bounds the tail latency of a serving run; zero if the run does not serve.
		LatencyTarget time.Duration `cbor:"3,keyasint,omitempty"`
		// Lasting is set for a run of a lasting task, which does not end by itself.
		Lasting bool `cbor:"4,keyasint,omitempty"`
		// CPU is the declared processor time.
		CPU MilliCores `cbor:"5,keyasint,omitempty"`
		// Rank orders the spare runs of a VM: those with a higher rank are slowed down first. Earlier builds and
		// leaders without pacing by urgency send zero.
		Rank int `cbor:"6,keyasint,omitempty"`
	}

	// ImagePair is the image of a spare run and that of a serving run co-located with it.
	ImagePair struct {
		Spare   string `cbor:"1,keyasint"`
		Serving string `cbor:"2,keyasint"`
	}

	// ImageEffect is the interference of a spare image with a serving one.
	ImageEffect struct {
		Pair ImagePair `cbor:"1,keyasint"`
		// Effect is by how much the ratio of the latency target to the tail latency falls
		// per share of the VM's processor time that the spare image uses. With an effect
		// of 3, spare work on a tenth of the VM lowers the ratio by 0.3.
		Effect float64 `cbor:"2,keyasint"`
	}

	// EffectEstimate is the leader's estimate of an ImageEffect.
	EffectEstimate struct {
		Pair ImagePair `cbor:"1,keyasint"`
		// Effect is the mean of the estimate, in the unit of ImageEffect.Effect.
		Effect float64 `cbor:"2,keyasint"`
		// Variance is the variance of the estimate, in the square of that unit.
		Variance float64 `cbor:"3,keyasint"`
	}

	// RunWithTraits is a run together with its traits.
	RunWithTraits struct {
		Run    Run       `cbor:"1,keyasint"`
		Traits RunTraits `cbor:"2,keyasint"`
	}

	// PollResponse is the leader's response to a poll.
	PollResponse struct {
		// Session is the VM's session number and the fencing token of the agent's orders.
		// It rises with each new agent process and each new incarnation of the worker.
		Session uint64 `cbor:"1,keyasint"`
		// Sequence is the sequence number of the poll.
		Sequence uint64 `cbor:"2,keyasint"`
		// Lease is how long the VM may run its runs, counted from when the agent sent the
		// poll; zero grants none.
		Lease time.Duration `cbor:"3,keyasint"`
		// Starts lists the runs to start: the control state assigns them to the VM, and the
		// poll did not report them. A response has room for some of them; the next one orders the others.
		Starts []StartOrder `cbor:"4,keyasint,omitempty"`
		// Stops lists the runs to stop: they are no longer assigned to the VM, or their
		// workflow has ended.
		Stops []Run `cbor:"5,keyasint,omitempty"`
		// Revision is the revision of the runs assigned to the VM; the next poll returns it.
		Revision uint64 `cbor:"6,keyasint"`
		// Recorded lists the ended runs of the poll whose ends are committed.
		Recorded []Run `cbor:"7,keyasint,omitempty"`
		// Traits holds the traits of reported runs whose traits the agent did not know.
		Traits []RunWithTraits `cbor:"8,keyasint,omitempty"`
		// Effects holds the estimates for the images on the VM.
		Effects []ImageEffect `cbor:"9,keyasint,omitempty"`
		// Unplaced lists the reported runs that are not assigned to the VM, without those that the poll
		// reports as ended: their room may have been given to other runs.
		Unplaced []Run `cbor:"10,keyasint,omitempty"`
	}
)

// NegligibleEffect is the effect below which the interference of a pair of images counts as
// none, in the unit of ImageEffect.Effect. Noise in the measurements keeps the estimates
// of such pairs above zero; without this threshold, a serving task whose own load brings
// it near its target would keep all spare tasks off its VM.
const NegligibleEffect = 3.0

// Profile returns the worker's profile.
func (w *PoolWorker) Profile() *WorkerProfile {
	return &WorkerProfile{Service: w.Service, Size: w.Size, Labels: w.Labels}
}

// HasBegun reports whether the worker is known to have begun the run.
func (r ReportedRun) HasBegun() bool { return r.Confirmed || r.Percent > 0 }

// Equal reports whether two profiles are the same. Either may be nil.
func (p *WorkerProfile) Equal(o *WorkerProfile) bool {
	if p == nil || o == nil {
		return p == o
	}
	return p.Service == o.Service && p.Size == o.Size && slices.Equal(p.Labels, o.Labels)
}
