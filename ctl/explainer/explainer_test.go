package explainer_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"samphiremux/ctl/explainer"
)

// TestExplain checks the verdict and the steps on logs of real runs: a request refused
// without an attempt, one whose connections were lost, one that got no answer in time,
// and one that no log mentions.
func TestExplain(t *testing.T) {
	for _, c := range []struct {
		file, id, verdict string
		steps             int
	}{
		{"refused.log", "a3b3ef41e351b237", "Refused as not-run because of backend-unreachable, without being sent to a backend server.", 2},
		{"lost.log", "11983a672bc3ea2b", "Refused as outcome-unknown because of connection-lost, after 2 sends; the attempt at i-ac2d3dfcff ended as connection-lost.", 6},
		{"late.log", "90a004ad8bc009da", "Refused as outcome-unknown because of no-answer-in-time, after 1 sends; the attempt at i-1dd59bd243 ended as no-answer-in-time.", 4},
		{"late.log", "0000000000000000", "No entry logged this id", 0},
	} {
		t.Run(c.id, func(t *testing.T) {
			is := is.New(t)
			file, err := os.Open("_fixtures/" + c.file)
			is.NoErr(err)
			defer file.Close()
			e := explainer.New(c.id)
			is.NoErr(e.Read(c.file, file))
			x := e.Explain()
			is.True(strings.HasPrefix(x.Verdict, c.verdict))
			is.Equal(len(x.Steps), c.steps)
			for i := 1; i < len(x.Steps); i++ {
				is.True(!x.Steps[i].At.Before(x.Steps[i-1].At)) // steps are in order of time
			}
			is.Equal(len(x.StateChanges) > 0, c.steps > 0)
			text := strings.Join(x.Lines(), "\n")
			is.True(strings.Contains(text, c.id))
		})
	}
}

// TestEntryNameFromFileName checks that a line without a process name before its JSON
// gets the name of the file, and that lines that are not JSON are skipped.
func TestEntryNameFromFileName(t *testing.T) {
	is := is.New(t)
	e := explainer.New("r1")
	is.NoErr(e.Read("entry-7.log", strings.NewReader(
		"not JSON\n{\"@message\":\"Request.\",\"@module\":\"samphire.steerer\",\"id\":\"r1\",\"event\":\"refused\",\"reason\":\"no-document\",\"kind\":\"not-run\",\"at\":\"2026-01-01T00:00:00Z\"}\n"+
			"{\"@message\":\"Log lines dropped.\",\"event\":\"dropped\",\"lines\":12}\n{broken\n")))
	x := e.Explain()
	is.Equal(x.Steps[0].Entry, "entry-7.log")
	is.Equal(x.Dropped, 12)
	is.True(strings.Contains(strings.Join(x.Lines(), "\n"), "12 lines were dropped"))
}

// TestServersThatLeaveExplained guards against an explanation that names only the last of
// several servers that got nothing, since each said that it leaves.
func TestServersThatLeaveExplained(t *testing.T) {
	is := is.New(t)
	file, err := os.Open("_fixtures/leaving.log")
	is.NoErr(err)
	defer file.Close()
	e := explainer.New("r1")
	is.NoErr(e.Read("leaving.log", file))
	x := e.Explain()
	is.Equal(len(x.StateChanges), 2)
	text := strings.Join(x.Lines(), "\n")
	is.True(strings.Contains(text, "Backend server is leaving by its own response. server=i-1"))
	is.True(strings.Contains(text, "Backend server is leaving by its own response. server=i-2"))
	is.True(strings.Contains(text, "left-out leaving=i-1 i-2"))
	is.True(strings.Contains(x.Verdict, "no-backend-server"))
}

// TestServersThatPauseExplained guards against an explanation that does not say which servers
// got nothing since they asked for a pause, and until when.
func TestServersThatPauseExplained(t *testing.T) {
	is := is.New(t)
	file, err := os.Open("_fixtures/paused.log")
	is.NoErr(err)
	defer file.Close()
	e := explainer.New("r1")
	is.NoErr(e.Read("paused.log", file))
	x := e.Explain()
	text := strings.Join(x.Lines(), "\n")
	for _, want := range []string{
		"Backend server asks for a pause. server=i-1 until=2026-12-04T22:00:03.100000Z",
		"Pause of a backend server does not hold as stated. server=i-2 stated=7200 until=2026-12-04T22:10:00.200000Z",
		"paused=i-1 i-2",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
	is.True(strings.Contains(x.Verdict, "servers-paused"))
}

// TestDelegatedRequestExplained guards against an explanation that says that a request was
// not sent although another entry sent it.
func TestDelegatedRequestExplained(t *testing.T) {
	const (
		line   = `{"@message":"Request.","@module":"samphire.steerer","id":"r1","at":"2026-01-01T00:00:0%s`
		passed = `0Z","event":"delegated","entry":"e2","result":"responded"}`
		ended  = `3Z","event":"answered","status":200,"took-ms":70}`
		chosen = `1Z","event":"chosen","server":"i-1"}`
		server = `2Z","event":"ended","server":"i-1","outcome":"answered"}`
	)
	logOf := func(texts ...string) (text string) {
		for _, t := range texts {
			text += fmt.Sprintf(line, t) + "\n"
		}
		return text
	}
	is := is.New(t)
	e := explainer.New("r1")
	is.NoErr(e.Read("e1", strings.NewReader(logOf(passed, ended))))
	is.Equal(e.Explain().Verdict, "Answered with status 200 after 70 ms, passed on to e2 (responded); the log of that entry tells what it did.")
	is.NoErr(e.Read("e2", strings.NewReader(logOf(chosen, server))))
	is.Equal(e.Explain().Verdict, "Answered with status 200 after 70 ms, after 1 sends; the attempt at i-1 ended as answered; passed on to e2 (responded).")
}
