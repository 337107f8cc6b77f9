package commander

import "samphiremux/entry/tracker"

const (
	// maxAddresses is the largest number of addresses that callers accept in an
	// answer.
	maxAddresses = 64
	// minDomainEntries is the number of entries in the caller's failure domain from
	// which only these are returned. With only one, its loss would leave the caller
	// without an entry.
	minDomainEntries = 2
)

// callerAddresses lists the addresses of the entries that a caller in a failure domain
// should use: those of its own domain, or all if there are too few.
func callerAddresses(usable []tracker.Member, domain string) (addresses []string) {
	var own, all []string
	for _, m := range usable {
		all = append(all, m.Address)
		if m.Domain == domain {
			own = append(own, m.Address)
		}
	}
	if len(own) >= minDomainEntries {
		all = own
	}
	return all[:min(len(all), maxAddresses)]
}
