package balancer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"samphiremux/entry/canceler"
	"samphiremux/entry/chooser"
	"samphiremux/entry/quarantiner"
	"samphiremux/entry/retrier"
	"samphiremux/entry/roundtripper"
	"samphiremux/entry/snapshotter"
)

const (
	// bytesWindow is the number of responses over which the mean response size
	// is averaged.
	bytesWindow = 50
)

func isWrongInstance(err error) bool {
	var wrong roundtripper.ErrWrongInstance
	return errors.As(err, &wrong)
}

func isUnhealthy(err error) bool {
	var unhealthy roundtripper.ErrUnhealthy
	return errors.As(err, &unhealthy)
}

// responded reports whether a probe failed by a response.
func responded(err error) bool { return isUnhealthy(err) || isWrongInstance(err) }

// attemptResult is the result of one attempt. The response is nil unless the
// outcome is retrier.Answered or retrier.Shed.
type attemptResult struct {
	server string
	// backend is the server, unless the attempt was passed on.
	backend  snapshotter.Backend
	response *roundtripper.Response
	outcome  retrier.Outcome
	// index is the position among the attempt and its hedge.
	index int
	// attempts is the number of attempts of the request with those that another entry made.
	// It is zero for an attempt of this entry.
	attempts int
}

// isFinal reports whether the response goes to the caller. A server error
// (status 5xx) to an idempotent request is not final, since the request can be
// retried.
func (e attemptResult) isFinal(idempotent bool) bool {
	if _, ok := e.outcome.(retrier.Answered); !ok {
		return false
	}
	return !idempotent || e.response.Status < http.StatusInternalServerError
}

// attempt sends the request to one server, or to a second one too if it may be hedged.
func (b *Balancer) attempt(ctx context.Context, c *call, p *picked, state *attempts) attemptResult {
	c.tried[p.ID] = true
	if !c.route.Idempotent || !chooser.Coordinated(b.opts.Policy) {
		result := b.send(ctx, c, p)
		c.traceEnded(p.ID, result)
		state.add(result.outcome)
		return result
	}
	return b.attemptHedged(ctx, c, p, state)
}

// attemptHedged sends an idempotent request to one server, and to a second one when the first
// is late. The first final result wins and cancels the other attempt. It is apart from attempt
// since its frame would enlarge the stacks of all other requests.
func (b *Balancer) attemptHedged(ctx context.Context, c *call, p *picked, state *attempts) attemptResult {
	results := make(chan attemptResult, 2)
	var cancels []context.CancelFunc
	var begun []time.Time
	start := func(send sendFunc) {
		index := len(cancels)
		ctx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		begun = append(begun, time.Now())
		go func() {
			result := send(ctx)
			result.index = index
			results <- result
		}()
	}
	watch := b.watchServer(p)
	start(func(ctx context.Context) attemptResult { return b.send(ctx, c, p) })
	first := b.describeAttempt(c, p, begun[0])
	timer := time.NewTimer(time.Until(b.hedgeDue(c, first)))
	defer timer.Stop()
	running, looks := 1, 1
	for {
		select {
		case <-watch.changed:
			if watch.showsDue(c, first) {
				timer.Reset(0)
			}
		case <-timer.C:
			if wait := b.opts.Link.Delay(time.Now()); wait > 0 {
				// The response may wait for the own link, and so would that to a hedge.
				timer.Reset(wait)
				continue
			}
			send := b.hedge(ctx, c, state, first)
			if send == nil {
				if looks < b.maxHedgeLooks() {
					looks++
					timer.Reset(b.estimate(c.route.Name).latency)
				} else {
					watch.end()
				}
				continue
			}
			watch.end()
			b.metrics.retries.With(string(retrier.CauseHedge)).Inc()
			running++
			start(send)
		case last := <-results:
			running--
			c.traceEnded(last.server, last)
			state.add(last.outcome)
			state.sent = max(state.sent, last.attempts)
			if running == 0 || last.isFinal(true) {
				b.countHedged(last, begun, running)
				return last.withCancels(cancels)
			}
		}
	}
}

// sendFunc sends one attempt until the context ends.
type sendFunc func(ctx context.Context) attemptResult

// withCancels cancels all attempts, but the one of a response that is streamed only when its
// body is closed.
func (e attemptResult) withCancels(cancels []context.CancelFunc) attemptResult {
	for i, cancel := range cancels {
		if i == e.index && e.response != nil && e.response.Remainder != nil {
			e.response.Remainder = canceler.WrapBody(e.response.Remainder, cancel)
			continue
		}
		cancel()
	}
	return e
}

// discard ends a response that is not passed on.
func (e attemptResult) discard() {
	if e.response != nil && e.response.Remainder != nil {
		_ = e.response.Remainder.Close()
	}
}

// send sends one attempt and records what it shows about the server.
func (b *Balancer) send(ctx context.Context, c *call, p *picked) attemptResult {
	now := time.Now()
	header := c.header.Clone()
	b.opts.Headers.SetDeadline(header, c.deadline.Sub(now))
	header.Set(b.opts.Headers.Instance, p.ID)
	b.setWorkspace(header, c.identity)
	link := b.opts.Link.Start(now, 0)
	p.State.Begin()
	defer p.State.End()
	stop := b.countLongRun(c, now)
	resp, outcome := p.State.Send(ctx, p.conn, roundtripper.Request{
		Method: c.method, Host: c.host, Target: c.target, Header: header, Body: c.body, ID: c.id, Memory: c.responses,
	})
	stop()
	ended := time.Now()
	p.ended.Store(true)
	b.observe(ctx, c, p, now, link.SaturatedTime(ended), resp, outcome)
	b.countRun(c, now, outcome)
	if ctx.Err() == nil {
		go b.detectCrash(c, p, quarantiner.Attempt{Begun: now, Ended: ended}, outcome)
	}
	return attemptResult{server: p.ID, backend: p.Backend, response: resp, outcome: outcome}
}

// observe updates the state of the server and of the route after an attempt that was sent at
// a time. The own link was saturated for a part of the time since, which says nothing about
// the server.
func (b *Balancer) observe(ctx context.Context, c *call, p *picked, sent time.Time, saturated time.Duration, resp *roundtripper.Response, outcome retrier.Outcome) {
	now := time.Now()
	mostlySaturated := 2*saturated > now.Sub(sent)
	if resp != nil && resp.HasLoad {
		p.State.ObserveLoad(now, resp.Load)
	}
	if resp != nil {
		b.observeReached()
		b.observeRateLimit(now, p.Backend, resp.RateLimit)
	}
	failed := false
	switch outcome.(type) {
	case retrier.Answered:
		failed = resp.Status >= http.StatusInternalServerError
	case retrier.TimedOut:
		// Only an exceeded deadline is a failure of the server. A cancelled
		// attempt, as when the caller disconnected, counts only if it ran for
		// long.
		failed = ctx.Err() == context.DeadlineExceeded && !mostlySaturated
		if ctx.Err() == context.Canceled {
			b.observeCanceled(c, p, now.Sub(sent)-saturated)
			return
		}
	case retrier.Shed:
		if resp.Status == http.StatusMisdirectedRequest {
			p.State.SetReplaced(now)
		}
		failed = true
	case retrier.NotSent:
		if mostlySaturated && ctx.Err() != nil {
			return
		}
		p.State.Eject(now)
		b.observeUnreached(p.ID)
		return
	default:
		failed = true
	}
	if failed {
		p.State.ObserveFailure(now)
	}
	if _, answered := outcome.(retrier.Answered); answered && !failed {
		b.recordSuccess(c)
	}
	ratio := b.updateStats(c, p, now.Sub(sent), resp, failed)
	if resp != nil && !failed {
		b.observeHedgeRatio(now, c.route.Name, ratio)
	}
	b.opts.OnAttempt(Attempt{
		Service: c.service, Version: p.Version, Route: c.route.Name, Server: p.ID, LatencyRatio: ratio, Failed: failed,
	})
}

// observeCanceled records an attempt that was cancelled because its response
// was no longer needed, because the caller disconnected or another attempt won.
// The time until then is a lower bound of its latency. For a server that answers
// probes but hangs requests this is the only failure signal.
func (b *Balancer) observeCanceled(c *call, p *picked, latency time.Duration) {
	ratio := float64(latency) / (float64(b.estimate(c.route.Name).latency) * p.slowdown())
	if ratio >= hedgeRatio {
		p.State.ObserveFailure(time.Now())
	}
	b.observeHedgeRatio(time.Now(), c.route.Name, ratio)
	b.opts.OnAttempt(Attempt{Service: c.service, Version: p.Version, Route: c.route.Name, Server: p.ID, LatencyRatio: ratio})
}

// updateStats adds a successful attempt to the means of its route, and returns
// its latency relative to the expected latency.
func (b *Balancer) updateStats(c *call, p *picked, latency time.Duration, resp *roundtripper.Response, failed bool) (ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats, ok := b.routes[c.route.Name]
	if !ok {
		stats = &routeStats{}
		b.routes[c.route.Name] = stats
	}
	ratio = float64(latency) / (float64(stats.latency.Value()) * p.slowdown())
	if failed || resp == nil {
		return ratio
	}
	stats.latency.Add(time.Duration(float64(latency) / p.slowdown()))
	stats.responseBytes += (float64(len(resp.Body)) - stats.responseBytes) / bytesWindow
	return ratio
}
