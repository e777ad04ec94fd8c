package applier

import (
	"maps"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/rotisserie/eris"
)

type (
	// State is the replicated state of a control group. Workflows are held by the registrar
	// and are part of a State only in a snapshot.
	State struct {
		Version      int                             // format of the encoded state
		Index        jaygw.Index                     // log index of the last applied command
		Time         jaygw.Time                      // latest time of all applied commands
		EpochFloor   jaygw.Epoch                     // highest epoch of all removed tasks; new tasks start from it
		Environments map[string]*Environment         // by name
		Domains      map[string]*jaygw.FailureDomain // by name
		VMs          map[string]*jaygw.VM            // by name
		Teams        map[string]*jaygw.Team          // by environment/team
		Jobs         map[string]*jaygw.Job           // by environment/job
		Tasks        map[jaygw.TaskID]*jaygw.Task    // by id
		Keys         map[string]*jaygw.KeyRecord     // idempotency keys, by key
		Clients      map[string]*client              // results stored for resends, by client id
		Registry     *registrar.State                `cbor:",omitempty"` // workflows; set only in a snapshot
	}

	// Environment holds the documents of one environment.
	Environment struct {
		Name    string
		InForce *jaygw.Submitted            // document in force; nil before the first promotion
		Trials  map[uint64]*jaygw.Submitted // documents on trial, by number
		Records []jaygw.DocumentRecord      // promoted and skipped documents, sorted by number
	}
)

// stateVersion is the format version of an encoded state.
const stateVersion = 1

func newState() *State {
	return &State{
		Version:      stateVersion,
		Environments: map[string]*Environment{},
		Domains:      map[string]*jaygw.FailureDomain{},
		VMs:          map[string]*jaygw.VM{},
		Teams:        map[string]*jaygw.Team{},
		Jobs:         map[string]*jaygw.Job{},
		Tasks:        map[jaygw.TaskID]*jaygw.Task{},
		Keys:         map[string]*jaygw.KeyRecord{},
		Clients:      map[string]*client{},
	}
}

// Snapshot copies the tables, which takes a few milliseconds at the target size,
// and returns a function that encodes the copy.
func (m *Machine) Snapshot() func() ([]byte, error) {
	s := m.state
	snapshot := &State{
		Version:      s.Version,
		Index:        s.Index,
		Time:         s.Time,
		EpochFloor:   s.EpochFloor,
		Environments: maps.Clone(s.Environments),
		Domains:      maps.Clone(s.Domains),
		VMs:          maps.Clone(s.VMs),
		Teams:        maps.Clone(s.Teams),
		Jobs:         maps.Clone(s.Jobs),
		Tasks:        maps.Clone(s.Tasks),
		Keys:         maps.Clone(s.Keys),
		Clients:      maps.Clone(s.Clients),
		Registry:     m.registrar.Snapshot(),
	}
	return func() ([]byte, error) { return encoder.MarshalLarge(snapshot) }
}

// Restore replaces the state with that of a snapshot and resets the observers. On an error the
// state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	state := newState()
	if err := encoder.Unmarshal(snapshot, state); err != nil {
		return eris.Wrap(err, "restore the control state")
	}
	if state.Version != stateVersion {
		return eris.Errorf("the snapshot has format version %d; this program reads version %d",
			state.Version, stateVersion)
	}
	if err := state.validate(); err != nil {
		return eris.Wrap(err, "restore the control state")
	}
	m.registrar.Restore(state.Registry)
	state.Registry = nil
	m.state = state
	m.index = newIndex(state)
	for _, observer := range m.observers {
		observer.Reset()
	}
	return nil
}
