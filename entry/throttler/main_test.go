package throttler_test

import (
	"testing"

	"samphiremux/pkg/testrunner"
)

func TestMain(m *testing.M) { testrunner.RunMain(m, 1000) }
