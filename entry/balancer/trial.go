package balancer

import (
	"context"
	"net/http"
	"time"

	"samphiremux/entry/delegator"
	"samphiremux/entry/refuser"
	"samphiremux/entry/roundtripper"
)

// maxTrialEntries is the number of entries, in the order for the request, that are asked to
// run a trial. The next one is asked if an entry does not respond.
const maxTrialEntries = 3

// admission is whether and where a request may run.
type admission int

const (
	// refusedRequest is in quarantine, or its trial runs already.
	refusedRequest admission = iota
	// ordinaryRequest may run here.
	ordinaryRequest
	// trialRequest may run as a trial only, at the first entry in the order for it.
	trialRequest
)

// admissionOf returns whether and where a request may run.
func (b *Balancer) admissionOf(c *call) admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	suspects, ok := b.suspects[c.service]
	if !ok || suspects.Len() == 0 {
		return ordinaryRequest
	}
	now, fingerprint := time.Now(), c.fingerprint()
	switch {
	case suspects.Quarantined(now, fingerprint):
		return refusedRequest
	case c.trial || !suspects.NeedsTrial(now, fingerprint):
		return ordinaryRequest
	default:
		return trialRequest
	}
}

// beginTrial makes the request the trial of this entry. It reports false if one runs already.
func (b *Balancer) beginTrial(c *call) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, fingerprint, suspects := time.Now(), c.fingerprint(), b.suspectsOf(c.service)
	c.trial = suspects.BeginTrial(now, fingerprint)
	return c.trial || (!suspects.Quarantined(now, fingerprint) && !suspects.NeedsTrial(now, fingerprint))
}

// runTrial lets the first entry in the order for a request that needs a trial run it, since
// callers may use only entries that are not. It reports here if that is this entry, and
// otherwise what came of the request.
func (b *Balancer) runTrial(ctx context.Context, c *call, state *attempts) (here bool, resp *roundtripper.Response, refusal *refuser.Refusal) {
	if c.hop != nil && c.hop.trial {
		return b.beginTrial(c), nil, state.refusal(refuser.Suspect)
	}
	for _, id := range b.opts.FirstEntries(c.fingerprint().String(), maxTrialEntries) {
		switch {
		case id == b.opts.Self:
			return b.beginTrial(c), nil, state.refusal(refuser.Suspect)
		case c.hop != nil || b.opts.Delegator == nil:
			return false, nil, state.refusal(refuser.Suspect)
		}
		r := b.delegatedRequest(c, state.sent)
		r.Trial = true
		result := b.opts.Delegator.SendTo(ctx, id, r)
		c.observeCount(result)
		if !tookTrial(result) {
			continue
		}
		resp, refusal, _ = b.conclude(ctx, c, state, result, refuser.Suspect)
		if responded, ok := result.(delegator.Responded); ok {
			b.setLeaving(c.service, responded.Leaving)
			if resp.Status < http.StatusInternalServerError {
				b.recordSuccess(c)
			}
		}
		return false, resp, refusal
	}
	return false, nil, state.refusal(refuser.Suspect)
}

// tookTrial reports whether an entry was able to decide on a request that it was to try.
func tookTrial(result delegator.Result) bool {
	switch result := result.(type) {
	case delegator.Unreached:
		return false
	case delegator.Refused:
		if result.Refusal.Kind != refuser.NotRun {
			return true
		}
		switch result.Refusal.Reason {
		case refuser.UnreachableServers, refuser.BackendUnreachable, refuser.OwnLinkSaturated, refuser.NoDocument, refuser.Stopping:
			return false
		}
	}
	return true
}

// endTrial ends the trial that the request has been, if it has.
func (b *Balancer) endTrial(c *call) {
	if !c.trial {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspectsOf(c.service).End(time.Now(), c.fingerprint())
}
