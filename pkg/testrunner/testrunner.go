// Package testrunner fixes the seed and number of drawn tests, so that every run gives
// the same verdict.
package testrunner

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// RunMain runs a package's tests with seed 1 and a number of checks for each drawn
// test, unless flags of the command line say otherwise. It is called by TestMain
// and ends the process.
func RunMain(m *testing.M, checks int) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
