package linkgauger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphiremux/entry/linkgauger"
	"samphiremux/pkg/fixturereader"
)

// rate is 10 Mbit/s in bytes per second.
const rate = 1.25e6

var start = time.Unix(1000, 0)

// TestTimeouts guards against timeouts that pass while the link is saturated, and against
// those that are extended beside a link that is not, or without end.
func TestTimeouts(t *testing.T) {
	const timeout = 10 * time.Millisecond
	type transfer struct {
		Name                string
		Bytes, Milliseconds int
		Unlimited, Received bool
		Least, Most         time.Duration
	}
	for _, c := range fixturereader.Read[[]transfer](t, "_fixtures/timeouts.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			g := linkgauger.New(rate)
			if c.Unlimited {
				g = linkgauger.New(0)
			}
			var begun linkgauger.Timeout
			passed := time.Duration(-1)
			for ms := range 4000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				if ms < c.Milliseconds {
					if c.Received {
						g.Received(now, c.Bytes)
					} else {
						g.Sent(now, c.Bytes)
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
			if passed < c.Least || passed > c.Most {
				t.Errorf("passed after %v, want %v to %v", passed, c.Least, c.Most)
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

// TestTurns guards against a large message that is handed to the kernel as a whole, one that
// waits for another to end, and many that count as a queue which small ones wait for.
func TestTurns(t *testing.T) {
	is := is.New(t)
	g := linkgauger.New(rate)
	piece := g.PieceBytes()
	is.Equal(piece, 8<<10)
	type message struct {
		sent int
		next time.Time
		// reserved reports that a piece waits for its turn until then.
		reserved bool
	}
	messages := []*message{{next: start}, {next: start}, {next: start.Add(time.Second)}}
	for range 20 {
		messages = append(messages, &message{next: start.Add(2 * time.Second)})
	}
	for ms := range 4000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, m := range messages {
			if now.Before(m.next) {
				continue
			}
			if m.reserved {
				m.sent += piece
				g.SentReserved(now, piece)
			}
			m.reserved, m.next = true, now.Add(g.Reserve(now, piece))
		}
		if queue := g.Delay(now); queue > 30*time.Millisecond {
			t.Fatalf("queue of %v after %d ms", queue, ms)
		}
	}
	total := 0
	for i, m := range messages {
		total += m.sent
		part := rate * (2.0 / 23) // of the last two seconds
		switch i {
		case 0, 1:
			part += rate * (1.0/2 + 1.0/3)
		case 2:
			part += rate * (1.0 / 3)
		}
		is.True(float64(m.sent) > 0.9*part)
	}
	is.True(float64(total) > 3.9*rate) // the link is used
	is.True(float64(total) < 4.1*rate)
	is.Equal(linkgauger.New(0).PieceBytes(), 0)
}

// TestStalledProcess guards against a timeout that passes before a process which got no processor
// time has read the answers, and against one that is extended without an end. A timer due after
// 10 ms fires late.
func TestStalledProcess(t *testing.T) {
	const timeout, due = 60 * time.Millisecond, 10 * time.Millisecond
	for _, c := range []struct {
		name            string
		late, remaining time.Duration
		stalled         bool
	}{
		{"on time", 0, 50 * time.Millisecond, false},
		{"late as usual", 2 * time.Millisecond, 48 * time.Millisecond, false},
		{"stalled", 84 * time.Millisecond, 60 * time.Millisecond, true},
		{"stalled for long", 3 * time.Second, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			begun := linkgauger.New(0).Start(start, timeout)
			now := start.Add(due + c.late)
			begun.ObserveTimer(now, start.Add(due))
			is.Equal(begun.Remaining(now), c.remaining)
			is.Equal(begun.IsStalled(now), c.stalled)
			is.True(!begun.IsInconclusive(now)) // the link was free
			now = now.Add(c.remaining)
			begun.ObserveTimer(now, now)
			is.Equal(begun.Remaining(now), time.Duration(0))
		})
	}
}
