package admitter

import (
	"cmp"
	"slices"

	"github.com/jaygw/jaygw"
)

// demand is what a class takes from its pool, in work per second.
type demand struct {
	class    *class
	measured float64
	wanted   float64
	granted  float64
}

// weight returns the weight of a class while classes compete. Those of lower priority have less of it, but some.
func (c *class) weight() float64 { return 1 / float64(1+max(0, c.priority)) }

// setRates sets the rates of the classes of one pool. The rate of a class is the measured one, unless it gets less
// than its share because of others: then it is the share, which the others' backlog does not reduce.
// Classes that take more than their share meanwhile are limited to it.
func setRates(classes []*class, now jaygw.Time) {
	total := 0.0
	demands := make([]demand, len(classes))
	for i, c := range classes {
		d := demand{class: c, measured: c.measuredRate(now)}
		d.wanted = max(d.measured, c.offered.rate(now))
		if c.delayed != 0 {
			d.wanted += c.waiting() / meterWindow.Seconds()
		}
		total += d.measured
		demands[i] = d
	}
	divide(demands, total)
	crowded := false
	for _, d := range demands {
		if d.class.delayed == 0 || d.measured >= crowdedShare*d.granted {
			continue
		}
		crowded = true
		if d.class.offered.rate(now) <= d.granted {
			d.class.sheltered = now.Add(meterWindow)
		}
	}
	for _, d := range demands {
		c := d.class
		c.rate = max(d.measured, d.granted)
		c.crowding = crowded && d.measured > d.granted
		if c.crowding {
			c.rate = d.granted
		}
	}
}

// divide grants the total to the demands, each up to what it wants, and what remains by weight.
func divide(demands []demand, total float64) {
	order := make([]*demand, len(demands))
	weights := 0.0
	for i := range demands {
		order[i] = &demands[i]
		weights += demands[i].class.weight()
	}
	slices.SortStableFunc(order, func(a, b *demand) int {
		return cmp.Compare(a.wanted/a.class.weight(), b.wanted/b.class.weight())
	})
	for _, d := range order {
		weight := d.class.weight()
		d.granted = min(d.wanted, total*weight/weights)
		total -= d.granted
		weights -= weight
	}
}

// waiting returns the work that waits in the class, without that which is of no use.
func (c *class) waiting() float64 {
	sum := c.backlog.started + c.backlog.late
	if n := len(c.backlog.sums); n > 0 {
		sum += c.backlog.sums[n-1]
	}
	return sum
}
