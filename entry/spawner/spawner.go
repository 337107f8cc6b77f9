// Package spawner runs the control duties of an entry as actors. Each duty has
// one actor with a bounded mailbox.
package spawner

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"

	"samphiremux/entry/collector"
)

const (
	// mailboxSize bounds the messages that wait for an actor.
	mailboxSize = 256
	// throughput is the number of messages an actor handles before it yields.
	throughput = 32
	// jitter is the part by which each interval varies, so that entries do not
	// act in step.
	jitter = 0.1
)

// Tick asks an actor to do its periodic work.
type Tick struct{}

// Spawner creates the actors of one entry.
type Spawner struct {
	system   *actor.ActorSystem
	counters *collector.Metrics
	pids     []*actor.PID
}

// New returns a spawner whose actor system logs to log.
func New(log hclog.Logger, c *collector.Metrics) *Spawner {
	logger := slog.New(slog.NewTextHandler(log.StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		&slog.HandlerOptions{Level: slog.LevelWarn}))
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
	return &Spawner{system: system, counters: c}
}

// Actor sends messages to one actor.
type Actor struct {
	name     string
	spawner  *Spawner
	pid      *actor.PID
	waiting  *atomic.Int64
	tickOpen *atomic.Bool
}

// Spawn starts an actor that handles each message with receive, one at a time.
func (s *Spawner) Spawn(name string, receive func(msg any)) Actor {
	d := Actor{name: name, spawner: s, waiting: &atomic.Int64{}, tickOpen: &atomic.Bool{}}
	props := actor.PropsFromFunc(func(c actor.Context) {
		switch m := c.Message().(type) {
		case *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting:
		case Tick:
			d.waiting.Add(-1)
			d.tickOpen.Store(false)
			receive(m)
		default:
			d.waiting.Add(-1)
			receive(m)
		}
	}, actor.WithMailbox(actor.Bounded(mailboxSize)), actor.WithDispatcher(actor.NewDefaultDispatcher(throughput)))
	d.pid = s.system.Root.Spawn(props)
	s.pids = append(s.pids, d.pid)
	return d
}

// TrySend sends a message that may be dropped when the mailbox is full. It reports
// false if it was dropped.
func (d Actor) TrySend(msg any) bool {
	if d.waiting.Load() >= mailboxSize-1 {
		d.spawner.counters.Dropped.WithLabelValues(d.name).Inc()
		return false
	}
	d.Send(msg)
	return true
}

// Send sends a message that must not be lost. It waits while the mailbox is
// full.
func (d Actor) Send(msg any) {
	d.waiting.Add(1)
	d.spawner.system.Root.Send(d.pid, msg)
}

// Trigger sends a Tick unless one is waiting.
func (d Actor) Trigger() {
	if d.tickOpen.CompareAndSwap(false, true) {
		d.Send(Tick{})
	}
}

// TriggerEvery kicks the actor at an interval with jitter until ctx ends.
func (d Actor) TriggerEvery(ctx context.Context, interval time.Duration, rng *rand.Rand) {
	for {
		wait := time.Duration(float64(interval) * (1 - jitter + 2*jitter*rng.Float64()))
		select {
		case <-time.After(wait):
			d.Trigger()
		case <-ctx.Done():
			return
		}
	}
}

// Stop ends all actors and waits for them.
func (s *Spawner) Stop() {
	for _, pid := range s.pids {
		_ = s.system.Root.StopFuture(pid).Wait()
	}
	s.system.Shutdown()
}
