package fuzzer_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"samphiremux/standin/failurefilter"
	"samphiremux/standin/fuzzer"
)

var verbose = flag.Bool("fuzz-verbose", false, "print each script")

// play runs a script in a bubble of its own.
func play(t *testing.T, s fuzzer.Script) (findings []fuzzer.Violation) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		findings, err = fuzzer.Run(s)
		if err != nil {
			t.Fatal(err)
		}
	})
	return findings
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("_fixtures/*.script")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s, err := fuzzer.ParseScript(file, string(data))
			if err != nil {
				t.Fatal(err)
			}
			if findings := play(t, s); len(findings) > 0 {
				failurefilter.Errorf(t, "%s", fuzzer.FormatViolations(findings))
			}
		})
	}
}

// generator draws scripts. Each shard leans to other faults.
func generator(shard int) *rapid.Generator[fuzzer.Script] {
	return rapid.Custom(func(t *rapid.T) fuzzer.Script {
		s := fuzzer.Script{
			Entries: rapid.IntRange(2, 5).Draw(t, "entries"), Seed: rapid.Uint64Range(1, 1000).Draw(t, "seed"),
			CallsPerSecond: rapid.IntRange(10, 50).Draw(t, "load"), Length: 5 * time.Second,
		}
		steps := rapid.IntRange(1, 7).Draw(t, "steps")
		at := time.Duration(0)
		for range steps {
			// Two steps in a row may come at the same moment.
			at += time.Duration(rapid.SampledFrom([]int{0, 0, 5, 50, 300, 900, 2000}).Draw(t, "gap")) * time.Millisecond
			s.Steps = append(s.Steps, fuzzer.DrawStep(shard, at%s.Length, func(low, high int) int {
				return rapid.IntRange(low, high).Draw(t, "choice")
			}, s.Entries))
		}
		return s
	})
}

func TestFuzz(t *testing.T) {
	for shard := range fuzzer.ProfileCount {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				s := generator(shard).Draw(rt, "script")
				if *verbose {
					fmt.Println(s)
				}
				if findings := play(t, s); len(findings) > 0 {
					rt.Fatalf("%s\n%s", s, fuzzer.FormatViolations(findings))
				}
			})
		})
	}
}

// plantScripts are scripts on which each injected bug shows.
var plantScripts = map[string]string{
	"probe-often":    "at 100ms crash booking-1\nat 2s drain booking-2",
	"fall-early":     "at 100ms turn-cold booking-1\nat 100ms turn-cold booking-2",
	"wrong-domain":   "at 100ms domain-out howrah",
	"ignore-verdict": "length 16s\nload 100\nat 100ms move catalogue",
	"no-echo":        "at 100ms cross-answers catalogue-1 3",
	"shed-after-run": "at 100ms apply",
	"run-twice":      "at 100ms apply",
	"stop-cuts":      "at 500ms stop 1\nat 500ms stop 2\nat 500ms stop 3",
	"forget-all":     "at 100ms apply\nat 1s restore-older\nat 1500ms kill 1\nat 1500ms kill 2\nat 1500ms kill 3\nat 1500ms kill 4\nat 2s start 1\nat 2s start 2",
	"hide-crash":     "at 100ms poison catalogue",
	"never-heal":     "at 100ms apply",
	"retry-storm":    "at 100ms apply",
}

func TestOracleFindsInjectedBugs(t *testing.T) {
	for plant, invariant := range fuzzer.InjectedBugs() {
		t.Run(plant, func(t *testing.T) {
			t.Parallel()
			s, err := fuzzer.ParseScript(plant, plantScripts[plant])
			if err != nil {
				t.Fatal(err)
			}
			s.InjectedBug = plant
			findings := play(t, s)
			for _, f := range findings {
				if f.Invariant == invariant {
					return
				}
			}
			t.Errorf("the oracle did not find the planted fault under %s; it found: %s", invariant, fuzzer.FormatViolations(findings))
		})
	}
}
