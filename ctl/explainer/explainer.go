// Package explainer reconstructs the path of a request from the logs of any number
// of entries.
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

// maxLineBytes bounds the length of one log line. Reading a log with a longer line
// fails.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	// Entry is the process that wrote the line: the name before the JSON, or else
	// the name of the file.
	Entry   string         `json:"entry"`
	At      time.Time      `json:"at"`
	Module  string         `json:"part"`
	Message string         `json:"message"`
	Event   string         `json:"event,omitempty"`
	Inputs  map[string]any `json:"inputs,omitempty"`
}

// Explanation is the path of a request, in order of time.
type Explanation struct {
	ID string `json:"id"`
	// Steps are the logged decisions on the request.
	Steps []Line `json:"steps"`
	// StateChanges holds, for each entry on the path, the last state change of each
	// kind, and of each backend server, up to the entry's last step.
	StateChanges []Line `json:"beliefs"`
	// Verdict is the outcome of the request in one sentence.
	Verdict string `json:"verdict"`
	// Dropped is the number of lines that the entries dropped, by their own logs.
	Dropped int `json:"dropped"`
}

// stateMessages are the log messages that report a state change of an entry, letter for
// letter as entries log them.
var stateMessages = []string{
	"Configuration in force.", "Configuration refused.", "Failure domain changed.", "Move changed.", "Move taken back.",
	"Outcome of writing a move record is unknown.", "Outcome of writing a move record is known.",
	"Announced rollback dropped; the store holds another end of the move.",
	"Store does not answer; asking other entries.", "Store answers again.", "State taken from another entry.",
	"Settings changed.", "Entry runs.", "Entry stops.", "Registered.", "Registration not renewed.",
	"Backend server died under a request.", "Backend server is leaving by its own response.",
	"Backend server asks for a pause.", "Pause of a backend server does not hold as stated.",
}

// Explainer collects log lines that concern one request. It is not safe for
// concurrent use.
type Explainer struct {
	id           string
	steps        []Line
	stateChanges []Line
	dropped      int
}

// New returns an explainer for one request ID.
func New(id string) *Explainer { return &Explainer{id: id} }

// Read adds one log. Lines that are not JSON are skipped.
func (e *Explainer) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parse(name, s.Bytes()); ok {
			e.add(l)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log %s: %w", name, err)
	}
	return nil
}

// parse parses a log line. Log collectors may put a timestamp and the name of the
// process before the JSON; the last word there is the name. The time of a line is its
// field "at", or else the timestamp of the logger.
func parse(name string, data []byte) (l Line, ok bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	if fields := strings.Fields(string(data[:start])); len(fields) > 0 {
		name = fields[len(fields)-1]
	}
	inputs := map[string]any{}
	if err := json.Unmarshal(data[start:], &inputs); err != nil {
		return Line{}, false
	}
	l = Line{Entry: name, Inputs: inputs}
	l.Message, _ = inputs["@message"].(string)
	l.Module, _ = inputs["@module"].(string)
	l.Event, _ = inputs["event"].(string)
	timestamp, _ := inputs["at"].(string)
	if timestamp == "" {
		timestamp, _ = inputs["@timestamp"].(string)
	}
	l.At, _ = time.Parse(time.RFC3339Nano, timestamp)
	for _, key := range []string{"@message", "@module", "@level", "@timestamp", "at", "event"} {
		delete(inputs, key)
	}
	return l, l.Message != ""
}

// add keeps a line if it is a step of the request or a state change, and counts
// dropped lines.
func (e *Explainer) add(l Line) {
	id, _ := l.Inputs["id"].(string)
	switch {
	case id == e.id && e.id != "":
		delete(l.Inputs, "id")
		e.steps = append(e.steps, l)
	case l.Event == "dropped":
		if n, ok := l.Inputs["lines"].(float64); ok {
			e.dropped += int(n)
		}
	case slices.Contains(stateMessages, l.Message):
		e.stateChanges = append(e.stateChanges, l)
	}
}

// Explain returns the path of the request by the logs read so far.
func (e *Explainer) Explain() Explanation {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(e.steps, byTime)
	slices.SortStableFunc(e.stateChanges, byTime)
	return Explanation{ID: e.id, Steps: e.steps, StateChanges: e.lastStateChanges(), Verdict: e.verdict(), Dropped: e.dropped}
}

// lastStateChanges returns, for each entry on the path, the last state change of each
// kind, and of each backend server, up to the entry's last step. Steps and state changes
// must be sorted by time.
func (e *Explainer) lastStateChanges() (last []Line) {
	ends := map[string]time.Time{}
	for _, l := range e.steps {
		ends[l.Entry] = l.At
	}
	newest := map[[3]string]Line{}
	for _, c := range e.stateChanges {
		if end, ok := ends[c.Entry]; ok && !c.At.After(end) {
			server, _ := c.Inputs["server"].(string)
			newest[[3]string{c.Entry, c.Message, server}] = c
		}
	}
	for _, c := range newest {
		last = append(last, c)
	}
	slices.SortFunc(last, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Message, b.Message))
	})
	return last
}

// verdict returns the outcome of the request in one sentence.
func (e *Explainer) verdict() string {
	if len(e.steps) == 0 {
		return "No entry logged this id: the request succeeded and was not sampled, " +
			"its lines were dropped, or it reached no entry whose log was given."
	}
	last := e.steps[len(e.steps)-1]
	sends := 0
	cause, passedOn := "", ""
	for _, l := range e.steps {
		switch l.Event {
		case "chosen", "hedged":
			sends++
		case "delegated":
			passedOn = fmt.Sprintf("passed on to %v (%v)", l.Inputs["entry"], l.Inputs["result"])
		case "ended":
			cause = fmt.Sprintf("the attempt at %v ended as %v", l.Inputs["server"], l.Inputs["outcome"])
		}
	}
	attempts := fmt.Sprintf("after %d sends; %s", sends, cause)
	switch {
	case sends == 0 && passedOn != "":
		attempts = passedOn + "; the log of that entry tells what it did"
	case sends == 0:
		attempts = "without being sent to a backend server"
	case passedOn != "":
		attempts += "; " + passedOn
	}
	switch last.Event {
	case "answered":
		return fmt.Sprintf("Answered with status %v after %v ms, %s.", last.Inputs["status"], last.Inputs["took-ms"], attempts)
	case "refused":
		return fmt.Sprintf("Refused as %v because of %v, %s.", last.Inputs["kind"], last.Inputs["reason"], attempts)
	default:
		return fmt.Sprintf("The log ends with %q: the process ended, or later lines were dropped.", last.Event)
	}
}

// Lines returns the explanation as lines of text.
func (x Explanation) Lines() (lines []string) {
	lines = append(lines, "request "+x.ID, x.Verdict)
	if len(x.StateChanges) > 0 {
		lines = append(lines, "", "state changes of the entries on the path, newest last:")
	}
	for _, c := range x.StateChanges {
		lines = append(lines, c.text(c.Message))
	}
	if len(x.Steps) > 0 {
		lines = append(lines, "", "decisions:")
	}
	for _, s := range x.Steps {
		label := s.Event
		if label == "" {
			label = s.Message
		}
		lines = append(lines, s.text(label))
	}
	if x.Dropped > 0 {
		lines = append(lines, "", fmt.Sprintf("%d lines were dropped in these logs.", x.Dropped))
	}
	return lines
}

// text returns the line as text: time, entry, label and the inputs sorted by name.
func (l Line) text(label string) string {
	keys := make([]string, 0, len(l.Inputs))
	for k := range l.Inputs {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "  %s %-20s %s", l.At.Format("15:04:05.000000"), l.Entry, label)
	for _, k := range keys {
		_, _ = fmt.Fprintf(&b, " %s=%v", k, l.Inputs[k])
	}
	return b.String()
}
