// Package fuzzer runs whole deployments in virtual time through scripts of
// faults and operators' acts, and holds what happened against an oracle.
package fuzzer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Script is a run: a cluster, a load, and steps at their times.
type Script struct {
	Entries int
	Seed    uint64
	// CallsPerSecond is the rate of calls to each service.
	CallsPerSecond int
	Length         time.Duration
	Steps          []Step
	// InjectedBug is the name of an injected bug, which the oracle must find.
	InjectedBug string
}

// Step is one act.
type Step struct {
	Offset time.Duration
	Verb   string
	Args   []string
}

// ErrInvalidScript says what is wrong with a line of a script.
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
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := s.add(words); err != nil {
			return Script{}, ErrInvalidScript{File: file, Line: i + 1, Rule: err.Error()}
		}
	}
	return s, nil
}

func (s *Script) add(words []string) (err error) {
	if len(words) < 2 {
		return fmt.Errorf("%q needs a value", words[0])
	}
	switch words[0] {
	case "entries":
		s.Entries, err = strconv.Atoi(words[1])
	case "seed":
		s.Seed, err = strconv.ParseUint(words[1], 10, 64)
	case "load":
		s.CallsPerSecond, err = strconv.Atoi(words[1])
	case "length":
		s.Length, err = time.ParseDuration(words[1])
	case "plant":
		s.InjectedBug = words[1]
	case "at":
		return s.addStep(words[1:])
	default:
		return fmt.Errorf("unknown setting %q", words[0])
	}
	return err
}

func (s *Script) addStep(words []string) error {
	if len(words) < 2 {
		return fmt.Errorf("a step needs a time and a verb")
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return err
	}
	v, ok := verbs[words[1]]
	if !ok {
		return fmt.Errorf("unknown verb %q", words[1])
	}
	if len(words)-2 != v.args {
		return fmt.Errorf("verb %q takes %d arguments", words[1], v.args)
	}
	s.Steps = append(s.Steps, Step{Offset: at, Verb: words[1], Args: words[2:]})
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
