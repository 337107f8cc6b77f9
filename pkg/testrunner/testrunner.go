// Package testrunner fixes the seed and the number of checks of property-based tests, so
// that every run gives the same result.
package testrunner

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// RunMain runs the tests of a package with seed 1 and the given number of checks per
// property-based test, without failure files. Command-line flags take precedence.
// TestMain calls it; it ends the process.
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
