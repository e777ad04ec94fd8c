package launcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/platform/emulator"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

type (
	// LocalSettings configures an estate in one process.
	LocalSettings struct {
		DataFolder  string // of the control replica
		Callers     string // address of the callers' interface
		Operators   string // address of the operators' interface
		Environment string // prefix of the VMs' names
		Domains     []jaygw.DomainSpec
		Workers     int             // number of VMs with an agent and a stand-in worker
		VMsPerRack  int             // number of VMs in a rack
		Size        jaygw.Resources // of each VM
	}

	// Local is an estate in one process: an entry with a control replica, and agents
	// with stand-in workers.
	Local struct {
		Callers   string // address of the callers' interface
		Operators string // address of the operators' interface
		Workers   []LocalWorker

		settings        LocalSettings
		log             *logrus.Logger
		entry           *Process
		agents          []*Process
		workerServers   []*http.Server
		workerListeners []net.Listener // of workerServers, in the same order
	}

	// LocalWorker is a stand-in worker of a local estate, with the VM that it runs on.
	LocalWorker struct {
		VM     string
		Domain string
		Size   jaygw.Resources
		Worker *emulator.Worker
	}
)

const (
	localSlots       = 8
	localConnections = 64
	anyPort          = "127.0.0.1:0"
)

// NewLocal returns a local estate. The listeners of its entry and workers are open already,
// so that their addresses are known before Run.
func NewLocal(settings LocalSettings, log *logrus.Logger) (*Local, error) {
	if err := os.MkdirAll(settings.DataFolder, 0o750); err != nil {
		return nil, eris.Wrap(err, "create the data folder")
	}
	l := &Local{settings: settings, log: log}
	var listeners Listeners
	var err error
	if listeners.Callers, err = listen(settings.Callers); err != nil {
		return nil, err
	}
	if listeners.Operators, err = listen(settings.Operators); err != nil {
		return nil, err
	}
	if listeners.Processes, err = listen(anyPort); err != nil {
		return nil, err
	}
	l.Callers = listeners.Callers.Addr().String()
	l.Operators = listeners.Operators.Addr().String()
	address := listeners.Processes.Addr().String()
	domain := settings.Domains[0]
	l.entry = New(jaygw.Settings{
		Name: "entry-1", Group: jaygw.DefaultGroup, Region: domain.Region, Domain: domain.Name, Rack: domain.Name + "-r0",
		Control: &jaygw.ControlSettings{ID: 1, DataFolder: settings.DataFolder, Members: []jaygw.Member{
			{ID: 1, Name: "entry-1", Address: address, Domain: domain.Name, Voter: true},
		}},
		Limits: jaygw.RequestLimits{BalancerWait: jaygw.Duration(time.Millisecond)},
	}, WithListeners(listeners), WithLogger(log))
	for i := range settings.Workers {
		if err := l.addWorker(i, address); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func listen(address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return listener, eris.Wrapf(err, "listen at %s", address)
}

func (l *Local) addWorker(number int, controlAddress string) error {
	listener, err := listen(anyPort)
	if err != nil {
		return err
	}
	rack := number / l.settings.VMsPerRack
	domain := l.settings.Domains[rack%len(l.settings.Domains)]
	name := fmt.Sprintf("%s-%02d", l.settings.Environment, number+1)
	worker := emulator.New(l.settings.Size)
	l.Workers = append(l.Workers, LocalWorker{VM: name, Domain: domain.Name, Size: l.settings.Size, Worker: worker})
	l.workerServers = append(l.workerServers, &http.Server{Handler: worker.Handler(), ReadHeaderTimeout: headerTimeout})
	l.workerListeners = append(l.workerListeners, listener)
	l.agents = append(l.agents, New(jaygw.Settings{
		Name: name, Group: jaygw.DefaultGroup, Region: domain.Region, Domain: domain.Name,
		Rack:   fmt.Sprintf("%s-r%d", domain.Name, rack/len(l.settings.Domains)+1),
		Listen: jaygw.Listen{Processes: anyPort},
		Peers:  []string{controlAddress},
		Limits: jaygw.RequestLimits{BalancerWait: jaygw.Duration(time.Millisecond)},
		Worker: &jaygw.WorkerSettings{
			Address: listener.Addr().String(), Size: l.settings.Size, Slots: localSlots, Connections: localConnections,
		},
	}, WithLogger(l.log)))
	return nil
}

// Run runs the estate until the context ends and its processes have stopped.
func (l *Local) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, server := range l.workerServers {
		group.Go(func() error {
			if err := server.Serve(l.workerListeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrap(err, "serve the stand-in worker")
			}
			return nil
		})
	}
	group.Go(func() error { return l.entry.Run(ctx, jaygw.RoleEntry) })
	for _, agent := range l.agents {
		group.Go(func() error { return agent.Run(ctx, jaygw.RoleAgent) })
	}
	group.Go(func() error {
		<-ctx.Done()
		for _, server := range l.workerServers {
			server.Close()
		}
		return nil
	})
	return group.Wait()
}
