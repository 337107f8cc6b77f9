package roller

import (
	"testing"

	"samphiremux/pkg/seeder"
)

func TestMain(m *testing.M) { seeder.RunMain(m, 1000) }
