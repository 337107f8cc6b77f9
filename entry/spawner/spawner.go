// Package spawner runs the control tasks of an entry as actors. Each task has one
// actor, which handles one message at a time from a bounded mailbox.
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
	// mailboxSize bounds the number of messages that wait for an actor.
	mailboxSize = 256
	// throughput is the number of messages that an actor handles before it yields
	// to the dispatcher.
	throughput = 32
	// jitter is the fraction by which each interval varies either way, so that
	// entries do not act in lockstep.
	jitter = 0.1
)

// Tick asks an actor to do its periodic work.
type Tick struct{}

// Spawner creates the actors of one entry.
type Spawner struct {
	system  *actor.ActorSystem
	metrics *collector.Metrics
	pids    []*actor.PID
}

// New returns a spawner whose actor system logs to log.
func New(log hclog.Logger, c *collector.Metrics) *Spawner {
	logger := slog.New(slog.NewTextHandler(log.StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		&slog.HandlerOptions{Level: slog.LevelWarn}))
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
	return &Spawner{system: system, metrics: c}
}

// Actor is a handle that sends messages to one actor. Copies refer to the same
// actor.
type Actor struct {
	name    string
	spawner *Spawner
	pid     *actor.PID
	// queued is the number of messages sent and not yet handled.
	queued *atomic.Int64
	// tickQueued is true while a Tick waits in the mailbox.
	tickQueued *atomic.Bool
}

// Spawn starts an actor that passes its messages to receive, one at a time. Name
// is the label under which its dropped messages are counted.
func (s *Spawner) Spawn(name string, receive func(msg any)) Actor {
	a := Actor{name: name, spawner: s, queued: &atomic.Int64{}, tickQueued: &atomic.Bool{}}
	props := actor.PropsFromFunc(func(c actor.Context) {
		switch m := c.Message().(type) {
		case *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting:
		case Tick:
			a.queued.Add(-1)
			a.tickQueued.Store(false)
			receive(m)
		default:
			a.queued.Add(-1)
			receive(m)
		}
	}, actor.WithMailbox(actor.Bounded(mailboxSize)), actor.WithDispatcher(actor.NewDefaultDispatcher(throughput)))
	a.pid = s.system.Root.Spawn(props)
	s.pids = append(s.pids, a.pid)
	return a
}

// TrySend sends a message, or drops and counts it if the mailbox is full. It
// reports whether the message was sent.
func (a Actor) TrySend(msg any) bool {
	if a.queued.Load() >= mailboxSize-1 {
		a.spawner.metrics.DroppedMessages.WithLabelValues(a.name).Inc()
		return false
	}
	a.Send(msg)
	return true
}

// Send sends a message that must not be lost. It blocks while the mailbox is
// full.
func (a Actor) Send(msg any) {
	a.queued.Add(1)
	a.spawner.system.Root.Send(a.pid, msg)
}

// Trigger sends a Tick unless one is already in the mailbox.
func (a Actor) Trigger() {
	if a.tickQueued.CompareAndSwap(false, true) {
		a.Send(Tick{})
	}
}

// TriggerEvery triggers the actor at the given interval, with jitter, until ctx
// ends.
func (a Actor) TriggerEvery(ctx context.Context, interval time.Duration, rng *rand.Rand) {
	for {
		wait := time.Duration(float64(interval) * (1 - jitter + 2*jitter*rng.Float64()))
		select {
		case <-time.After(wait):
			a.Trigger()
		case <-ctx.Done():
			return
		}
	}
}

// Stop stops all actors, waits for them and shuts the actor system down.
func (s *Spawner) Stop() {
	for _, pid := range s.pids {
		_ = s.system.Root.StopFuture(pid).Wait()
	}
	s.system.Shutdown()
}
