package detector_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"samphiremux/entry/detector"
)

// state is the contact under test, with the starts of the last two checks and of the
// oldest unanswered attempt.
type state struct {
	contact                *detector.Contact
	earlier, began, oldest time.Time
}

// apply applies an event, or returns what the contact says to a question.
func (s *state) apply(now time.Time, word string) string {
	c := s.contact
	switch word {
	case "send":
		s.oldest = now
	case "answer":
		s.oldest = time.Time{}
		c.RecordAnswer(now)
	case "fail":
		s.oldest = time.Time{}
		c.RecordFailure(now)
	case "check":
		s.earlier, s.began = s.began, now
		c.BeginCheck(now)
	case "reached", "not-reached":
		c.EndCheck(now, s.began, s.oldest, word == "reached")
	case "earlier-not-reached":
		c.EndCheck(now, s.earlier, s.oldest, false)
	case "due?":
		return yesNo(c.CheckDue(now, s.oldest))
	case "lost?":
		return yesNo(c.Lost())
	case "answering?":
		return yesNo(c.Answering(now))
	default:
		return "unknown word " + word
	}
	return ""
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// TestContact replays scripts of "OFFSET EVENT" and "OFFSET QUESTION ANSWER" lines.
func TestContact(t *testing.T) {
	files, err := filepath.Glob("_fixtures/*.script")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			start := time.Unix(1000, 0)
			s := &state{contact: detector.New(start)}
			for i, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
				fields := append(strings.Fields(line), "", "")
				if fields[0] == "#" {
					continue
				}
				offset, err := time.ParseDuration(fields[0])
				if err != nil {
					t.Fatal(err)
				}
				if got := s.apply(start.Add(offset), fields[1]); got != fields[2] {
					t.Errorf("line %d: %s: got %q", i+1, line, got)
				}
			}
		})
	}
}
