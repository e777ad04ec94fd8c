// Command jaygw-capacity measures the resources that each role uses at fractions of the target size.
// It prints the measurements with a linear fit over the number of VMs.
package main

import (
	"fmt"
	"os"

	"github.com/jaygw/jaygw/internal/load/benchmarker"
)

// fractions are the measured fractions of the target size, as numerator and denominator.
var fractions = [][2]int{{1, 8}, {1, 4}, {1, 2}, {1, 1}}

func main() {
	var costs []benchmarker.Costs
	for _, fraction := range fractions {
		cost, err := benchmarker.Run(benchmarker.Target().Fraction(fraction[0], fraction[1]))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		costs = append(costs, cost)
	}
	if err := benchmarker.Write(os.Stdout, costs); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
