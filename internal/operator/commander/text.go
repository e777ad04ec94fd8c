package commander

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// tableWriter writes lines whose columns, separated by tabs, are aligned.
type tableWriter struct {
	writer *tabwriter.Writer
}

// columnPadding is the number of spaces between columns.
const columnPadding = 2

func (t *tableWriter) printLine(format string, args ...any) {
	fmt.Fprintf(t.writer, format+"\n", args...)
}

// print writes a value to the output: as indented JSON, or as text with the given function.
func (c *Commander) print(value any, write func(*tableWriter)) error {
	if c.options.Output == outputJSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(value), "write the output")
	}
	t := &tableWriter{writer: tabwriter.NewWriter(c.out, 0, 0, columnPadding, ' ', 0)}
	write(t)
	return eris.Wrap(t.writer.Flush(), "write the output")
}
