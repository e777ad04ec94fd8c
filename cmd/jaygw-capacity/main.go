// Command jaygw-capacity measures what each role costs at parts of the target
// size and prints the figures with the line through them.
package main

import (
	"fmt"
	"os"

	"github.com/jaygw/jaygw/internal/load/surveyor"
)

// parts are the measured shares of the target size.
var parts = [][2]int{{1, 8}, {1, 4}, {1, 2}, {1, 1}}

func main() {
	var surveys []surveyor.Survey
	for _, part := range parts {
		survey, err := surveyor.Run(surveyor.Target().Part(part[0], part[1]))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		surveys = append(surveys, survey)
	}
	if err := surveyor.Write(os.Stdout, surveys); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
