package overloader

import (
	"fmt"
	"os"
	"testing"
)

// trialVariable enables the trials, which take about seven minutes and should run apart from
// other load.
const trialVariable = "SAMPHIRE_CROWD_TRIALS"

// trialScales are the sizes of crowds against the settings of the smallest VM.
var trialScales = []scale{
	{crowd: 400, memoryMB: 184, maxDescriptors: 4100, maxGrowthKB: 60 << 10},
	{crowd: 1500, memoryMB: 184, maxDescriptors: 4100, maxGrowthKB: 60 << 10},
}

// TestCrowdTrials guards against bounds that hold at the small scale of TestCrowds only: with
// more memory and descriptors, the connections themselves and their buffers take more.
func TestCrowdTrials(t *testing.T) {
	if os.Getenv(trialVariable) == "" {
		t.Skipf("%s is not set", trialVariable)
	}
	for _, program := range []struct {
		name, crowds string
		start        func(*testing.T, scale) *entry
	}{
		{"steer", "_fixtures/crowds.json", startEntry},
		{"entry", "_fixtures/own_crowds.json", startOwnEntry},
	} {
		for _, size := range trialScales {
			for _, c := range readCrowds(t, program.crowds) {
				t.Run(fmt.Sprintf("%s/%d/%s", program.name, size.crowd, c.Name), func(t *testing.T) { c.run(t, program.start(t, size), size) })
			}
		}
	}
}
