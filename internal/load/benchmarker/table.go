package benchmarker

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

type (
	// Fit is a straight line through the measurements at several estate sizes.
	Fit struct {
		Base  float64 // value of the line at zero VMs
		Slope float64 // increase per VM
		Worst float64 // largest relative deviation of the line from a measurement
	}

	// row is one row of the printed table.
	row struct {
		name  string
		unit  string
		value func(Costs) float64
	}
)

// micros returns a duration in microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// rows returns the rows of the table in the order in which they are printed.
func rows() []row {
	return []row{
		{"replica: state in memory", "MB", func(s Costs) float64 { return s.StateBytes / 1e6 }},
		{"replica: snapshot", "MB", func(s Costs) float64 { return s.SnapshotBytes / 1e6 }},
		{"replica: copy of the tables", "ms", func(s Costs) float64 { return micros(s.CopyTime) / 1e3 }},
		{"replica: encoding a snapshot", "ms", func(s Costs) float64 { return micros(s.EncodeTime) / 1e3 }},
		{"replica: CPU per task (grant, start, end)", "us", func(s Costs) float64 { return micros(s.StartCPU) }},
		{"replica: log per task (grant, start, end)", "bytes", func(s Costs) float64 { return s.StartBytes }},
		{"replica: CPU per document change", "us", func(s Costs) float64 { return micros(s.ChangeCPU) }},
		{"leader: scheduler's index", "MB", func(s Costs) float64 { return s.IndexBytes / 1e6 }},
		{"leader: CPU per decision at rest", "us", func(s Costs) float64 { return micros(s.DecisionCPU) }},
		{"leader: CPU per start in a wave", "us", func(s Costs) float64 { return micros(s.GrantCPU) }},
		{"leader: decision after a domain left", "ms", func(s Costs) float64 { return micros(s.DomainTime) / 1e3 }},
		{"leader: CPU per renewal", "us", func(s Costs) float64 { return micros(s.RenewalCPU) }},
		{"leader: CPU per whole view", "us", func(s Costs) float64 { return micros(s.ViewCPU) }},
		{"entry: whole view", "KB", func(s Costs) float64 { return s.ViewBytes / 1e3 }},
		{"agent: tasks", "", func(s Costs) float64 { return float64(s.TasksPerVM) }},
		{"agent: CPU per renewal", "us", func(s Costs) float64 { return micros(s.AgentCPU) }},
		{"agent: renewal", "bytes", func(s Costs) float64 { return s.RequestBytes }},
		{"agent: response", "bytes", func(s Costs) float64 { return s.ResponseBytes }},
		{"agent: state in memory", "KB", func(s Costs) float64 { return s.AgentLiveBytes / 1e3 }},
	}
}

// Write prints a table with one column for each estate size, followed by the line through their
// values.
func Write(out io.Writer, costs []Costs) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "figure\tunit\t")
	for _, s := range costs {
		fmt.Fprintf(w, "%d VMs, %d tasks\t", s.Size.VMs, s.Size.Tasks())
	}
	fmt.Fprintln(w, "base\tper 100 VMs\tworst\t")
	for _, r := range rows() {
		fmt.Fprintf(w, "%s\t%s\t", r.name, r.unit)
		for _, s := range costs {
			fmt.Fprintf(w, "%.2f\t", r.value(s))
		}
		fit := fitLine(costs, r.value)
		fmt.Fprintf(w, "%.2f\t%.3f\t%.0f%%\t\n", fit.Base, fit.Slope*100, fit.Worst*100)
	}
	return w.Flush()
}

// fitLine returns the least squares line of a value over the number of VMs.
func fitLine(costs []Costs, value func(Costs) float64) Fit {
	var n, sx, sy, sxx, sxy float64
	for _, s := range costs {
		x, y := float64(s.Size.VMs), value(s)
		n++
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
	}
	var fit Fit
	if d := n*sxx - sx*sx; d != 0 {
		fit.Slope = (n*sxy - sx*sy) / d
	}
	fit.Base = (sy - fit.Slope*sx) / n
	for _, s := range costs {
		if y := value(s); y != 0 {
			deviation := (fit.Base + fit.Slope*float64(s.Size.VMs) - y) / y
			fit.Worst = max(fit.Worst, deviation, -deviation)
		}
	}
	return fit
}
