// Package explainer finds a request's way in the logs of any number of entries.
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	// Entry is the process that wrote it: what stands before the line's JSON, or
	// the name of the file.
	Entry   string         `json:"entry"`
	At      time.Time      `json:"at"`
	Module  string         `json:"part"`
	Message string         `json:"message"`
	Event   string         `json:"event,omitempty"`
	Inputs  map[string]any `json:"inputs,omitempty"`
}

// Explanation is a request's way in order of time.
type Explanation struct {
	ID string `json:"id"`
	// Steps are the decisions on the request.
	Steps []Line `json:"steps"`
	// StateChanges holds the last change of what each entry on the way believed, of
	// each kind, before the request ended there.
	StateChanges []Line `json:"beliefs"`
	// Verdict says in a sentence what became of the request.
	Verdict string `json:"verdict"`
	// Dropped is the number of lines that the logs say were dropped.
	Dropped int `json:"dropped"`
}

// beliefs are the messages that tell of a changed belief.
var beliefs = []string{
	"Configuration in force.", "Configuration refused.", "Failure domain changed.", "Move changed.", "Move taken back.",
	"Store does not answer; asking other entries.", "Store answers again.", "State taken from another entry.",
	"Settings changed.", "Entry runs.", "Entry stops.", "Registered.", "Registration not renewed.",
	"Backend server died under a request.",
}

// Explainer collects the lines of logs.
type Explainer struct {
	id      string
	steps   []Line
	beliefs []Line
	dropped int
}

// New returns an explainer for one request id.
func New(id string) *Explainer { return &Explainer{id: id} }

// Read takes in one log. Lines that are not JSON are passed over.
func (e *Explainer) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parse(name, s.Bytes()); ok {
			e.take(l)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("log %s: %w", name, err)
	}
	return nil
}

// parse reads a line. Collectors may put a time and the name of the process before
// the JSON; the last word there is the name.
func parse(name string, data []byte) (l Line, ok bool) {
	at := bytes.IndexByte(data, '{')
	if at < 0 {
		return Line{}, false
	}
	if words := strings.Fields(string(data[:at])); len(words) > 0 {
		name = words[len(words)-1]
	}
	inputs := map[string]any{}
	if err := json.Unmarshal(data[at:], &inputs); err != nil {
		return Line{}, false
	}
	l = Line{Entry: name, Inputs: inputs}
	l.Message, _ = inputs["@message"].(string)
	l.Module, _ = inputs["@module"].(string)
	l.Event, _ = inputs["event"].(string)
	stamp, _ := inputs["at"].(string)
	if stamp == "" {
		stamp, _ = inputs["@timestamp"].(string)
	}
	l.At, _ = time.Parse(time.RFC3339Nano, stamp)
	for _, key := range []string{"@message", "@module", "@level", "@timestamp", "at", "event"} {
		delete(inputs, key)
	}
	return l, l.Message != ""
}

func (e *Explainer) take(l Line) {
	id, _ := l.Inputs["id"].(string)
	switch {
	case id == e.id && e.id != "":
		delete(l.Inputs, "id")
		e.steps = append(e.steps, l)
	case l.Event == "dropped":
		if n, ok := l.Inputs["lines"].(float64); ok {
			e.dropped += int(n)
		}
	case slices.Contains(beliefs, l.Message):
		e.beliefs = append(e.beliefs, l)
	}
}

// Explain returns what the logs say of the request.
func (e *Explainer) Explain() Explanation {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(e.steps, byTime)
	slices.SortStableFunc(e.beliefs, byTime)
	return Explanation{ID: e.id, Steps: e.steps, StateChanges: e.before(), Verdict: e.verdict(), Dropped: e.dropped}
}

// before returns the last belief of each kind of each entry on the way.
func (e *Explainer) before() (last []Line) {
	ends := map[string]time.Time{}
	for _, l := range e.steps {
		ends[l.Entry] = l.At
	}
	newest := map[[2]string]Line{}
	for _, b := range e.beliefs {
		if end, ok := ends[b.Entry]; ok && !b.At.After(end) {
			newest[[2]string{b.Entry, b.Message}] = b
		}
	}
	for _, b := range newest {
		last = append(last, b)
	}
	slices.SortFunc(last, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Message, b.Message))
	})
	return last
}

// verdict says what became of the request.
func (e *Explainer) verdict() string {
	if len(e.steps) == 0 {
		return "No entry logged this id: the request was served well and is not among the sampled ones, " +
			"its lines were dropped, or it reached no entry whose log was given."
	}
	last := e.steps[len(e.steps)-1]
	sends := 0
	cause := ""
	for _, l := range e.steps {
		switch l.Event {
		case "chosen", "hedged":
			sends++
		case "ended":
			cause = fmt.Sprintf("the attempt at %v ended as %v", l.Inputs["server"], l.Inputs["outcome"])
		}
	}
	tried := fmt.Sprintf("after %d sends; %s", sends, cause)
	if sends == 0 {
		tried = "without being sent to a backend server"
	}
	switch last.Event {
	case "answered":
		return fmt.Sprintf("Answered with status %v after %v ms, %s.", last.Inputs["status"], last.Inputs["took-ms"], tried)
	case "refused":
		return fmt.Sprintf("Refused as %v because of %v, %s.", last.Inputs["kind"], last.Inputs["reason"], tried)
	default:
		return fmt.Sprintf("The log ends with %q: the process ended, or later lines were dropped.", last.Event)
	}
}

// Lines writes the explanation for people.
func (x Explanation) Lines() (lines []string) {
	lines = append(lines, "request "+x.ID, x.Verdict)
	if len(x.StateChanges) > 0 {
		lines = append(lines, "", "what the entries on the way believed, newest last:")
	}
	for _, b := range x.StateChanges {
		lines = append(lines, b.text(b.Message))
	}
	if len(x.Steps) > 0 {
		lines = append(lines, "", "decisions:")
	}
	for _, s := range x.Steps {
		what := s.Event
		if what == "" {
			what = s.Message
		}
		lines = append(lines, s.text(what))
	}
	if x.Dropped > 0 {
		lines = append(lines, "", fmt.Sprintf("%d lines were dropped in these logs.", x.Dropped))
	}
	return lines
}

// text writes a line with its inputs in the order of their names.
func (l Line) text(what string) string {
	keys := make([]string, 0, len(l.Inputs))
	for k := range l.Inputs {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "  %s %-20s %s", l.At.Format("15:04:05.000000"), l.Entry, what)
	for _, k := range keys {
		_, _ = fmt.Fprintf(&b, " %s=%v", k, l.Inputs[k])
	}
	return b.String()
}
