package fuzzer_test

import (
	"flag"
	"io"
	"log"
	"os"
	"testing"
)

// TestMain fixes the seed and number of drawn scripts, so that every run gives
// the same verdict. Flags override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "250", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	// Scripts make servers send what net/http warns of, a line for each.
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
