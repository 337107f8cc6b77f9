package auditor

import "strings"

// route checks the values of one route.
func (a *audit) route(r Route) {
	switch {
	case r.Host.V == "":
		a.add(r.Host.At, NoEffect, "%s has no host, so no request matches it", r.At.Path)
	case strings.Contains(r.Host.V, ":"):
		a.add(r.Host.At, NoEffect, "%s never matches: requests are compared by their host without the port", r.Host.At.Path)
	}
	switch prefix := r.Prefix.V; {
	case !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/"):
		a.add(r.Prefix.At, Invalid, "%s: the prefix %q must begin and end with a slash", r.At.Path, prefix)
	case strings.ContainsAny(prefix, "?# ") || strings.ContainsFunc(prefix, isControl):
		a.add(r.Prefix.At, NoEffect, "%s never matches: a path contains no question mark, number sign, space or control character", r.Prefix.At.Path)
	}
	switch {
	case !r.TimeLimit.Present:
		a.add(r.TimeLimit.At, Contradiction, "%s is not set, so requests on the route are given up at once", r.TimeLimit.At.Path)
	case r.TimeLimit.V <= 0:
		a.add(r.TimeLimit.At, Invalid, "%s must be above 0", r.TimeLimit.At.Path)
	case r.TargetLatency.V > r.TimeLimit.V:
		a.add(r.TargetLatency.At, Invalid, "%s, %v, is above %s, %v: a response within the objective could come too late",
			r.TargetLatency.At.Path, r.TargetLatency.V, r.TimeLimit.At.Path, r.TimeLimit.V)
	}
	if r.TargetLatency.Present && r.TargetLatency.V <= 0 {
		a.add(r.TargetLatency.At, Invalid, "%s must be above 0", r.TargetLatency.At.Path)
	}
	if r.Importance.V < 0 {
		a.add(r.Importance.At, Invalid, "%s is %d but must be at least 0, the highest rank", r.Importance.At.Path, r.Importance.V)
	}
}

// attempts checks the attempts of a request. A missing number means one attempt.
func (a *audit) attempts(r Route, budget RetryBudget) {
	v := r.MaxAttempts
	switch {
	case !v.Present:
	case v.V < 1:
		a.add(v.At, Invalid, "%s is %d but must be at least 1, since the first attempt counts", v.At.Path, v.V)
	case float64(v.V-1) > budget.perRequest():
		a.add(v.At, Contradiction, "%s is %d, but the retry budget allows %.4g retries of a single request", v.At.Path, v.V, budget.perRequest())
	}
}

// destinations checks the services that share the requests of a route.
func (a *audit) destinations(r Route, services map[string]bool) {
	if len(r.Split.V) == 0 {
		a.destination(r.At, r.Service, services)
		return
	}
	sum, weighted := 0.0, true
	names := map[string]bool{}
	for _, p := range r.Split.V {
		a.destination(p.At, p.Service, services)
		if p.Service.V != "" && names[p.Service.V] {
			a.add(p.Service.At, Contradiction, "%s names service %q a second time", r.Split.At.Path, p.Service.V)
		}
		names[p.Service.V] = true
		switch {
		case !p.Weight.Present:
			weighted = false
			a.add(p.Weight.At, Invalid, "%s has no weight", p.At.Path)
		case p.Weight.V < 0:
			a.add(p.Weight.At, Invalid, "%s is %g but must not be negative", p.Weight.At.Path, p.Weight.V)
		}
		sum += max(0, p.Weight.V)
	}
	if sum == 0 {
		if weighted {
			a.add(r.Split.At, Invalid, "%s has no weight: at least one part needs a weight above 0", r.Split.At.Path)
		}
		return
	}
	for _, p := range r.Split.V {
		if p.Weight.Present && p.Weight.V == 0 {
			a.add(p.Weight.At, NoEffect, "%s is 0, so service %q gets no requests of the route", p.Weight.At.Path, p.Service.V)
		}
	}
	if r.Service.Present {
		a.add(r.Service.At, NoEffect, "%s has no effect, since the route has a split", r.Service.At.Path)
	}
}

func (a *audit) destination(owner Place, service Value[string], services map[string]bool) {
	switch {
	case service.V == "":
		a.add(service.At, Invalid, "%s names no service", owner.Path)
	case !services[service.V]:
		a.add(service.At, Invalid, "%s: service %q does not exist", owner.Path, service.V)
	}
}

// places reports routes that have the place or the name of an earlier one. Entries use the
// first of several routes at the same place, and compare hosts without regard to case.
func (a *audit) places(routes []Route) {
	type place struct{ host, prefix string }
	first, names := map[place]Route{}, map[string]Route{}
	for _, r := range routes {
		at := place{strings.ToLower(r.Host.V), r.Prefix.V}
		earlier, ok := first[at]
		switch {
		case !ok:
			first[at] = r
		case earlier.Host.V == r.Host.V:
			a.add(r.Prefix.At, Invalid, "%s has the host and prefix of %s", r.At.Path, earlier.At.Path)
		default:
			a.add(r.Prefix.At, NoEffect, "%s is hidden by %s: the case of hosts does not matter", r.At.Path, earlier.At.Path)
		}
		if earlier, ok := names[r.Name.V]; ok && r.Name.V != "" {
			a.add(r.Name.At, Contradiction, "%s has the name of %s, so metrics and logs do not tell them apart", r.At.Path, earlier.At.Path)
		}
		names[r.Name.V] = r
	}
}
