package commander

import "samphiremux/entry/tracker"

const (
	// maxNamed is the number of addresses that callers take from an answer.
	maxNamed = 64
	// minNear is the number of entries in the caller's own failure domain from
	// which only these are named. With fewer, the loss of one is felt.
	minNear = 2
)

// near lists the addresses of the entries that a caller in a failure domain is to
// use: those of its own domain, or all if there are too few.
func near(usable []tracker.Member, domain string) (addresses []string) {
	var own, all []string
	for _, m := range usable {
		all = append(all, m.Address)
		if m.Domain == domain {
			own = append(own, m.Address)
		}
	}
	if len(own) >= minNear {
		all = own
	}
	return all[:min(len(all), maxNamed)]
}
