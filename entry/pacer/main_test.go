package pacer_test

import (
	"testing"

	"samphiremux/pkg/seeder"
)

func TestMain(m *testing.M) { seeder.RunMain(m, 1000) }
