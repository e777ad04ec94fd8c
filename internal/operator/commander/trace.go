package commander

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/jaygw/jaygw/internal/observe/tracer"
	"github.com/rotisserie/eris"
)

func (c *Commander) addTrace() {
	trace := c.add(&c.parser.Subcommand, "trace", "tell the story of a workflow, task, VM or worker from logs", c.runTrace)
	trace.AddPositionalValue(&c.options.Subject, "ID", 1, true, "id to look for, or a part of it")
	trace.AddPositionalValue(&c.options.File, "FILES", 2, false, "log file, or a pattern such as 'logs/*.log'; without it, standard input")
}

// runTrace prints the log lines that concern a subject, in the order of time, from the logs of
// several processes. Lines that do not name their process get the name of the file instead.
func (c *Commander) runTrace(context.Context) error {
	t := tracer.New(c.options.Subject)
	if c.options.File == "" {
		if err := scan(t, "", os.Stdin); err != nil {
			return err
		}
		return c.printTrace(t)
	}
	files, err := filepath.Glob(c.options.File)
	if err != nil || len(files) == 0 {
		return &usageError{eris.Errorf("no log file is named %s", c.options.File)}
	}
	slices.Sort(files)
	for _, name := range files {
		if err := scanFile(t, name); err != nil {
			return err
		}
	}
	return c.printTrace(t)
}

func scanFile(t *tracer.Tracer, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return &usageError{err}
	}
	defer file.Close()
	return scan(t, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), file)
}

// scan adds the lines of one log to a trace. A line of 1 MiB or more is an error.
func scan(t *tracer.Tracer, process string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		t.AddLine(process, scanner.Text())
	}
	return eris.Wrapf(scanner.Err(), "read the log of %s", process)
}

func (c *Commander) printTrace(t *tracer.Tracer) error {
	lines := t.Lines()
	for _, line := range lines {
		fmt.Fprintln(c.out, line)
	}
	if len(lines) == 0 {
		return eris.Errorf("no line names %s", c.options.Subject)
	}
	return nil
}
