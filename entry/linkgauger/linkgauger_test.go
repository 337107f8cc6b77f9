package linkgauger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/linkgauger"
)

// rate is 10 Mbit/s in bytes per second.
const rate = 1.25e6

var start = time.Unix(1000, 0)

// TestTimeouts guards against timeouts that pass while the link is saturated, and against
// those that are extended beside a link that is not, or without end.
func TestTimeouts(t *testing.T) {
	const timeout = 10 * time.Millisecond
	for _, c := range []struct {
		name string
		rate float64
		// bytes are transferred in each millisecond, for a number of them.
		bytes, milliseconds int
		received            bool
		// least and most bound when the timeout passes that begins after 40 ms.
		least, most time.Duration
	}{
		{"idle", rate, 0, 0, false, timeout, timeout},
		{"no rate", 0, 540_000, 1, false, timeout, timeout},
		{"small responses", rate, 300, 500, false, timeout, timeout},
		{"small responses received", rate, 300, 500, true, timeout, timeout},
		{"one response handed to the kernel", rate, 540_000, 1, false, 400 * time.Millisecond, 405 * time.Millisecond},
		{"sending at the rate", rate, 1250, 200, false, timeout, timeout},
		{"sending beyond the rate", rate, 2500, 200, false, 365 * time.Millisecond, 375 * time.Millisecond},
		{"receiving at the rate", rate, 1250, 430, true, 400 * time.Millisecond, 450 * time.Millisecond},
		{"receiving over a link that is slower than stated", rate, 900, 600, true, 570 * time.Millisecond, 640 * time.Millisecond},
		{"saturated for long", rate, 1250, 3000, true, timeout + linkgauger.MaxExtension, timeout + linkgauger.MaxExtension},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := linkgauger.New(c.rate)
			var begun linkgauger.Timeout
			passed := time.Duration(-1)
			for ms := range 4000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				if ms < c.milliseconds {
					if c.received {
						g.Received(now, c.bytes)
					} else {
						g.Sent(now, c.bytes)
					}
				}
				if ms == 40 {
					begun = g.Start(now, timeout)
				}
				if ms >= 40 && passed < 0 && begun.Remaining(now) == 0 {
					passed = now.Sub(start) - 40*time.Millisecond
					is.Equal(begun.IsInconclusive(now), passed == timeout+linkgauger.MaxExtension)
				}
			}
			if passed < c.least || passed > c.most {
				t.Errorf("passed after %v, want %v to %v", passed, c.least, c.most)
			}
		})
	}
}

// TestLimit guards against a timeout that is extended beyond the deadline of its request, or
// cut short by one that is near.
func TestLimit(t *testing.T) {
	is := is.New(t)
	g := linkgauger.New(rate)
	g.Sent(start, 540_000)
	begun := g.Start(start, 10*time.Millisecond)
	is.Equal(begun.WithLimit(start.Add(100*time.Millisecond)).Remaining(start), 100*time.Millisecond)
	is.Equal(begun.WithLimit(start.Add(time.Millisecond)).Remaining(start), 10*time.Millisecond)
	is.True(begun.IsInconclusive(start.Add(100 * time.Millisecond)))
	is.True(!begun.IsInconclusive(start.Add(450 * time.Millisecond)))
	var none *linkgauger.Gauger
	none.Sent(start, 540_000)
	is.Equal(none.Start(start, 10*time.Millisecond).Remaining(start), 10*time.Millisecond)
}

// TestTurns guards against a large message that is handed to the kernel as a whole, and one
// that waits for another to end.
func TestTurns(t *testing.T) {
	is := is.New(t)
	g := linkgauger.New(rate)
	piece := g.PieceBytes()
	is.Equal(piece, 8<<10)
	type message struct {
		sent int
		next time.Time
	}
	messages := []*message{{next: start}, {next: start}, {next: start.Add(time.Second)}}
	for ms := range 2000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, m := range messages {
			if !now.Before(m.next) {
				m.sent += piece
				m.next = now.Add(g.Reserve(now, piece))
			}
		}
		if queue := g.Delay(now); queue > 40*time.Millisecond {
			t.Fatalf("queue of %v after %d ms", queue, ms)
		}
	}
	t.Log(messages[0].sent, messages[1].sent, messages[2].sent)
	total := float64(messages[0].sent + messages[1].sent + messages[2].sent)
	is.True(total > 1.95*rate) // the link is used
	is.True(total < 2.05*rate)
	third := rate / 3
	for _, sent := range []int{messages[0].sent, messages[1].sent} {
		is.True(float64(sent) > 0.9*(rate/2+third))
	}
	is.True(float64(messages[2].sent) > 0.9*third)
	is.Equal(linkgauger.New(0).PieceBytes(), 0)
}
