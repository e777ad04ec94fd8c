package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/examples"
	"github.com/jaygw/jaygw/internal/config/checker"
	"github.com/jaygw/jaygw/internal/daemon/demonstrator"
	"github.com/jaygw/jaygw/internal/daemon/launcher"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	anyPort = "127.0.0.1:0" // the system chooses a free port

	// The local estate has localWorkers workers, with localPerRack of them in each rack.
	localWorkers = 11
	localPerRack = 3
)

func (c *Commander) addDaemons() {
	for _, daemon := range []struct {
		role        jaygw.Role
		description string
	}{
		{jaygw.RoleEntry, "serve callers and operators on an entry VM"},
		{jaygw.RoleControl, "run a replica of the control state"},
		{jaygw.RoleAgent, "run beside an upstream"},
	} {
		command := c.add(&c.parser.Subcommand, string(daemon.role), daemon.description, func(ctx context.Context) error {
			return c.runDaemon(ctx, daemon.role)
		})
		command.String(&c.options.Settings, "f", "settings", "settings file")
	}
	local := c.add(&c.parser.Subcommand, "local", "run an example estate in one process", c.runLocal)
	local.Bool(&c.options.Tour, "t", "tour", "show the estate at work on free ports, then exit")
	local.String(&c.options.Example, "e", "example", "litera-unita or cedarline")
	local.String(&c.options.DataFolder, "d", "data-folder", "folder of the control state")
	local.String(&c.options.Callers, "c", "callers", "address for callers")
	local.String(&c.options.Operators, "p", "operators", "address for operators")
	local.String(&c.options.LogLevel, "l", "log-level", "debug, info, warning or error")
}

func (c *Commander) runDaemon(ctx context.Context, role jaygw.Role) error {
	if c.options.Settings == "" {
		return &usageError{eris.New("--settings is missing")}
	}
	settings, err := readFile(c.options.Settings, func(file string, data []byte) (jaygw.Settings, jaygw.Findings) {
		return checker.Settings(file, data, role)
	})
	if err != nil {
		return err
	}
	return launcher.New(settings).Run(ctx, role)
}

// exampleOf returns the document and the size of each worker of a built-in example.
func exampleOf(name string) (jaygw.Document, jaygw.Resources, error) {
	var data []byte
	var size jaygw.Resources
	switch name {
	case "litera-unita":
		data = examples.LiteraUnitaDocument
		size = jaygw.Resources{CPU: 32 * jaygw.Core, Memory: 125 * jaygw.GB}
	case "cedarline":
		data = examples.CedarlineDocument
		size = jaygw.Resources{CPU: 16 * jaygw.Core, Memory: 62 * jaygw.GB}
	default:
		return jaygw.Document{}, size, &usageError{eris.Errorf("there is no example %q; use litera-unita or cedarline", name)}
	}
	document, findings := checker.Document(name, data)
	if len(findings) > 0 {
		return document, size, findings
	}
	return document, size, nil
}

func (c *Commander) runLocal(ctx context.Context) error {
	document, size, err := exampleOf(c.options.Example)
	if err != nil {
		return err
	}
	settings := launcher.LocalSettings{
		DataFolder: c.options.DataFolder, Callers: c.options.Callers, Operators: c.options.Operators,
		Environment: document.Environment, Domains: document.Domains,
		Workers: localWorkers, VMsPerRack: localPerRack, Size: size,
	}
	if c.options.Tour {
		return c.runTour(ctx, settings, document)
	}
	log := launcher.NewLogger(jaygw.LogSettings{Level: c.options.LogLevel})
	estate, err := launcher.NewLocal(settings, log)
	if err != nil {
		return err
	}
	folder, err := filepath.Abs(settings.DataFolder)
	if err != nil {
		return eris.Wrap(err, "find the data folder")
	}
	fmt.Fprintf(c.out, "callers at http://%s, operators at %s, state in %s\n", estate.Callers, estate.Operators, folder)
	return estate.Run(ctx)
}

// runTour runs the estate and the tour in a temporary folder, on free ports of loopback.
func (c *Commander) runTour(ctx context.Context, settings launcher.LocalSettings, document jaygw.Document) error {
	folder, err := os.MkdirTemp("", "jaygw-tour-")
	if err != nil {
		return eris.Wrap(err, "create the data folder")
	}
	defer os.RemoveAll(folder)
	settings.DataFolder = folder
	settings.Callers = anyPort
	settings.Operators = anyPort
	estate, err := launcher.NewLocal(settings, launcher.NewLogger(jaygw.LogSettings{Level: "error"}))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return estate.Run(ctx) })
	report, tourErr := demonstrator.New(tourPlan(document), estate, c.out).Run(ctx)
	stop()
	if err := group.Wait(); err != nil {
		return err
	}
	if tourErr != nil {
		return tourErr
	}
	if broken := report.Broken(); broken > 0 {
		return eris.Errorf("%d promises were broken", broken)
	}
	return nil
}

// tourPlan returns the plan of a tour through the first service and the last team of a document.
func tourPlan(document jaygw.Document) demonstrator.Plan {
	service := document.Services[0]
	team := document.Teams[len(document.Teams)-1]
	return demonstrator.Plan{
		Document: document,
		Job: jaygw.JobSpec{
			Name: "tour", Environment: document.Environment, Team: team.Name, Tasks: 800,
			Resources: jaygw.Resources{CPU: 2 * jaygw.Core, Memory: 6 * jaygw.GB}, RunTime: jaygw.Duration(2 * time.Second),
		},
		Service: service.Name, RequestRate: 200, ServiceTime: 2 * time.Millisecond,
		OutageDelay: 4 * time.Second, OutageLength: 8 * time.Second, TimeAfterOutage: 4 * time.Second,
		Timeout: 55 * time.Second, PollInterval: 100 * time.Millisecond,
	}
}
