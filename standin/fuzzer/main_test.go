package fuzzer_test

import (
	"io"
	"log"
	"testing"

	"samphiremux/pkg/seeder"
)

func TestMain(m *testing.M) {
	// Scripts make servers send what net/http warns of, a line for each.
	log.SetOutput(io.Discard)
	seeder.RunMain(m, 250)
}
