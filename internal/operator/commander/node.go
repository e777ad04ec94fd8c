package commander

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/checker"
	"github.com/jaygw/jaygw/internal/daemon/launcher"
	"github.com/jaygw/jaygw/platform"
	"github.com/rotisserie/eris"
)

func (c *Commander) addNodes() {
	node := c.add(&c.parser.Subcommand, "node", "run a daemon on a VM whose addresses the platform assigns", nil)
	for _, daemon := range []struct {
		role        jaygw.Role
		description string
	}{
		{jaygw.RoleEntry, "serve callers of workflows"},
		{jaygw.RoleControl, "run a replica of the control state and serve operators"},
		{jaygw.RoleAgent, "run beside a worker"},
	} {
		command := c.add(node, string(daemon.role), daemon.description, func(ctx context.Context) error {
			return c.runNode(ctx, daemon.role)
		})
		command.String(&c.options.Settings, "f", "settings", "settings file; without it, the one that the platform names")
		command.Int(&c.options.MetricsPort, "m", "metrics-port", "port of the metrics at the VM's address; zero: none")
	}
}

// runNode runs a daemon in a role, and makes it read its settings again on each SIGHUP.
func (c *Commander) runNode(ctx context.Context, role jaygw.Role) error {
	file := c.options.Settings
	if file == "" {
		file = platform.SettingsFile()
	}
	if file == "" {
		return &usageError{eris.New("--settings is missing, and the platform names no file")}
	}
	readSettings := func() (jaygw.NodeSettings, error) {
		settings, err := readFile(file, func(file string, data []byte) (jaygw.NodeSettings, jaygw.Findings) {
			return checker.Node(file, data, role)
		})
		if err == nil && c.options.MetricsPort != 0 {
			settings.Listen.Metrics = net.JoinHostPort(settings.Address, strconv.Itoa(c.options.MetricsPort))
		}
		return settings, err
	}
	settings, err := readSettings()
	if err != nil {
		return err
	}
	hangup := make(chan struct{}, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	go func() {
		for range signals {
			select {
			case hangup <- struct{}{}:
			default: // an earlier signal has not been handled yet; its read suffices
			}
		}
	}()
	return launcher.NewNode(settings, readSettings).Run(ctx, role, hangup)
}
