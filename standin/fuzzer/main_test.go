package fuzzer_test

import (
	"io"
	"log"
	"testing"

	"samphiremux/pkg/testrunner"
)

func TestMain(m *testing.M) {
	// Scripts make servers send what net/http warns of, a line for each.
	log.SetOutput(io.Discard)
	testrunner.RunMain(m, 250)
}
