// Package commander implements the command line of jaygw.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/operator/client"
	"github.com/jaygw/jaygw/internal/operator/responder"
)

type (
	// Commander runs one command.
	Commander struct {
		options Options
		token   string // of operators, empty if no file is named
		load    loadOptions
		out     io.Writer // standard output
		err     io.Writer // standard error
		parser  *flaggy.Parser
		actions map[*flaggy.Subcommand]action
	}

	// action carries out one command.
	action func(context.Context) error

	// usageError is a fault in the arguments or in an input file.
	usageError struct{ cause error }
)

const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command was refused or failed.
	ExitFailed = 1
	// ExitUsage means wrong usage, an invalid input file, or findings of the server in the input.
	ExitUsage = 2
)

// New returns the command line with its commands. It writes results to out and errors to err.
func New(out, err io.Writer) *Commander {
	c := &Commander{options: DefaultOptions(), out: out, err: err, actions: map[*flaggy.Subcommand]action{}}
	c.parser = flaggy.NewParser("jaygw")
	c.parser.Description = "scheduler for latency-critical and batch work on the same VMs"
	c.parser.DisableShowVersionWithVersion()
	c.parser.String(&c.options.Server, "s", "server", "address of the operator endpoint (JAYGW_SERVER)")
	c.parser.String(&c.options.Output, "o", "output", "text or json")
	c.parser.String(&c.options.TokenFile, "", "token-file", "file with the operators' token (JAYGW_TOKEN_FILE)")
	c.addDaemons()
	c.addNodes()
	c.addTrace()
	c.addMembers()
	c.addDocuments()
	c.addEstate()
	c.addLoad()
	return c
}

// Run runs the command that the arguments name and returns the exit code.
func (c *Commander) Run(ctx context.Context, arguments []string) int {
	if len(arguments) == 0 {
		c.parser.ShowHelp()
		return ExitUsage
	}
	if err := c.parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(c.err, err)
		return ExitUsage
	}
	if c.options.Output != outputText && c.options.Output != outputJSON {
		fmt.Fprintf(c.err, "--output %q is not text or json\n", c.options.Output)
		return ExitUsage
	}
	if c.options.TokenFile != "" {
		token, err := responder.ReadToken(c.options.TokenFile)
		if err != nil {
			fmt.Fprintln(c.err, err)
			return ExitUsage
		}
		c.token = token
	}
	for command, run := range c.actions {
		if command.Used {
			return c.exitCode(run(ctx))
		}
	}
	c.parser.ShowHelp()
	return ExitUsage
}

// exitCode prints the error of a command, if any, and returns the exit code for it.
func (c *Commander) exitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(c.err, err)
	var usage *usageError
	var failure *client.Failure
	if errors.As(err, &usage) || errors.As(err, &failure) && len(failure.Findings) > 0 {
		return ExitUsage
	}
	return ExitFailed
}

// add adds a command below a parent. A command without an action only groups its subcommands.
func (c *Commander) add(parent *flaggy.Subcommand, name, description string, run action) *flaggy.Subcommand {
	command := flaggy.NewSubcommand(name)
	command.Description = description
	parent.AttachSubcommand(command, 1)
	if run != nil {
		c.actions[command] = run
	}
	return command
}

// Error returns the cause.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// readFile reads and checks an input file. A file that cannot be read or has findings is an error of
// usage.
func readFile[T any](name string, check func(file string, data []byte) (T, jaygw.Findings)) (T, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		var zero T
		return zero, &usageError{err}
	}
	value, findings := check(name, data)
	if len(findings) > 0 {
		return value, &usageError{findings}
	}
	return value, nil
}
