// Package fuzzer runs whole deployments in virtual time through scripts of faults and
// operators' changes, and checks each run against invariants with an oracle.
package fuzzer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Script describes a run: the size of the cluster, the load, and the steps.
type Script struct {
	Entries int
	Seed    uint64
	// CallsPerSecond is the rate of calls to each service.
	CallsPerSecond int
	// Length is the time under load; it begins when the cluster has settled.
	Length time.Duration
	Steps  []Step
	// InjectedBug is the name of the bug to inject, which the oracle must find. Empty
	// means none.
	InjectedBug string
}

// Step is one fault, repair or operators' change.
type Step struct {
	// Offset is the time of the step from the start of the load.
	Offset time.Duration
	Verb   string
	Args   []string
}

// ErrInvalidScript reports a line of a script that breaks a rule of its format.
type ErrInvalidScript struct {
	File string
	Line int
	Rule string
}

func (e ErrInvalidScript) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Rule) }

// ParseScript reads a script. Each line is a setting, such as "entries 4", or a
// step, such as "at 1s crash booking-1".
func ParseScript(file, text string) (s Script, err error) {
	s = Script{Entries: 4, Seed: 1, CallsPerSecond: 40, Length: 5 * time.Second}
	for i, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if err := s.parseLine(fields); err != nil {
			return Script{}, ErrInvalidScript{File: file, Line: i + 1, Rule: err.Error()}
		}
	}
	return s, nil
}

// parseLine adds a setting or a step, given as the words of its line.
func (s *Script) parseLine(fields []string) (err error) {
	if len(fields) < 2 {
		return fmt.Errorf("%q needs a value", fields[0])
	}
	switch fields[0] {
	case "entries":
		s.Entries, err = strconv.Atoi(fields[1])
	case "seed":
		s.Seed, err = strconv.ParseUint(fields[1], 10, 64)
	case "load":
		s.CallsPerSecond, err = strconv.Atoi(fields[1])
	case "length":
		s.Length, err = time.ParseDuration(fields[1])
	case "plant":
		s.InjectedBug = fields[1]
	case "at":
		return s.addStep(fields[1:])
	default:
		return fmt.Errorf("unknown setting %q", fields[0])
	}
	return err
}

// addStep adds a step, given as its offset, verb and arguments.
func (s *Script) addStep(fields []string) error {
	if len(fields) < 2 {
		return fmt.Errorf("a step needs a time and a verb")
	}
	offset, err := time.ParseDuration(fields[0])
	if err != nil {
		return err
	}
	v, ok := verbs[fields[1]]
	if !ok {
		return fmt.Errorf("unknown verb %q", fields[1])
	}
	if len(fields)-2 != v.argCount {
		return fmt.Errorf("verb %q takes %d arguments", fields[1], v.argCount)
	}
	s.Steps = append(s.Steps, Step{Offset: offset, Verb: fields[1], Args: fields[2:]})
	return nil
}

// String returns the script in the form that ParseScript reads.
func (s Script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "entries %d\nseed %d\nload %d\nlength %v\n", s.Entries, s.Seed, s.CallsPerSecond, s.Length)
	if s.InjectedBug != "" {
		fmt.Fprintf(&b, "plant %s\n", s.InjectedBug)
	}
	steps := slices.Clone(s.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Offset - b.Offset) })
	for _, st := range steps {
		fmt.Fprintf(&b, "at %v %s\n", st.Offset, strings.Join(append([]string{st.Verb}, st.Args...), " "))
	}
	return b.String()
}
