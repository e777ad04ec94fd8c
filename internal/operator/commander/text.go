package commander

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// text writes lines with aligned columns.
type text struct {
	writer *tabwriter.Writer
}

const columnPadding = 2

func (t *text) line(format string, args ...any) {
	fmt.Fprintf(t.writer, format+"\n", args...)
}

// print writes a value as JSON, or as text by the given function.
func (c *Commander) print(value any, write func(*text)) error {
	if c.options.Output == outputJSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(value), "write")
	}
	t := &text{writer: tabwriter.NewWriter(c.out, 0, 0, columnPadding, ' ', 0)}
	write(t)
	return eris.Wrap(t.writer.Flush(), "write")
}
