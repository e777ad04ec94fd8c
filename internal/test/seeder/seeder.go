// Package seeder fixes the seeds of property tests, so that every run of the tests gives the same
// result.
package seeder

import (
	"flag"
	"fmt"
	"os"
)

const (
	seedVariable   = "JAYGW_SEED"
	checksVariable = "JAYGW_CHECKS"
	defaultSeed    = "20261204"
)

// FixSeed sets the seed and the number of checks per property for package rapid. The environment
// variables JAYGW_SEED and JAYGW_CHECKS override them. Fix must be called from TestMain, before the
// flags are parsed.
func FixSeed(checks int) {
	setFlag("rapid.seed", environmentOr(seedVariable, defaultSeed))
	setFlag("rapid.checks", environmentOr(checksVariable, fmt.Sprint(checks)))
	setFlag("rapid.nofailfile", "true")
}

func environmentOr(variable, fallback string) string {
	if value := os.Getenv(variable); value != "" {
		return value
	}
	return fallback
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("seeder: flag %s: %v", name, err))
	}
}
