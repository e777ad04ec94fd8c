// Package seeder fixes the seeds of property tests, so that every run of the
// tests gives the same verdict.
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

// Fix sets the seed of rapid and the number of checks per property. The
// environment variables JAYGW_SEED and JAYGW_CHECKS replace them. It is called
// from TestMain, before the flags are parsed.
func Fix(checks int) {
	set("rapid.seed", valueOf(seedVariable, defaultSeed))
	set("rapid.checks", valueOf(checksVariable, fmt.Sprint(checks)))
	set("rapid.nofailfile", "true")
}

func valueOf(variable, fallback string) string {
	if value := os.Getenv(variable); value != "" {
		return value
	}
	return fallback
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("seeder: flag %s: %v", name, err))
	}
}
