package fuzzer_test

import (
	"io"
	"log"
	"testing"

	"samphiremux/pkg/testrunner"
)

func TestMain(m *testing.M) {
	// Scripts make backend servers send responses for which net/http logs a warning each.
	log.SetOutput(io.Discard)
	testrunner.RunMain(m, 250)
}
