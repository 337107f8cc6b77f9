package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"syscall"
	"time"
)

const (
	// region is the region of all zones.
	region = "lv-central"
	// goneZone is the zone whose entries are all lost. In callerZone, where the callers are,
	// only leftEntry is left.
	goneZone   = "jelgava-b"
	callerZone = "riga-a"
	leftEntry  = "edge-riga-a-1"
	// settleTime is the time from the readiness of all entries to the loss.
	settleTime = 10 * time.Second
	// namedTime is touch-ms and 3 s, after which no answer may name an entry that is gone.
	namedTime = 6 * time.Second
	// askTime is how long callers ask from then on, and askInterval the time between two
	// questions to an entry.
	askTime      = 15 * time.Second
	askInterval  = 250 * time.Millisecond
	allowedNames = 3
)

// zoneSize is the number of entries in a zone.
type zoneSize struct {
	zone    string
	entries int
}

// zoneSizes are the numbers of entries in the zones of the Association's site.
var zoneSizes = []zoneSize{{callerZone, 6}, {goneZone, 6}, {"ogre-c", 6}}

// isLost reports whether an entry is lost.
func (e *entry) isLost() bool {
	return e.zone == goneZone || (e.zone == callerZone && e.name != leftEntry)
}

// loseEntries kills entries for good, and asks the others where a caller is to connect. It
// checks the rule DRAIN on answers of the directory.
func loseEntries(w *world, trouble bool) (broken bool, err error) {
	zones := map[string]string{}
	for _, z := range zoneSizes {
		zones[z.zone] = region
	}
	var peers []string
	for n := range 3 {
		peers = append(peers, w.at(100+n, linkPort))
	}
	for _, z := range zoneSizes {
		for range z.entries {
			if _, err := w.addEntry(z.zone, zones, peers); err != nil {
				return false, err
			}
		}
		if err := w.addServer("racks", z.zone); err != nil {
			return false, err
		}
	}
	if err := w.put("op/config", configuration(3, "racks")); err != nil {
		return false, err
	}
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var gone []string
	if trouble {
		for _, e := range w.entries {
			if !e.isLost() {
				continue
			}
			gone = append(gone, e.address(callerPort))
			if err := e.signal(syscall.SIGKILL); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(namedTime)
	named, onlyGone, answers := 0, 0, 0
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(askTime); time.Now().Before(end); time.Sleep(askInterval) {
		for _, e := range w.entries {
			if trouble && e.isLost() {
				continue
			}
			addresses, err := resolve(client, e, callerZone)
			if err != nil {
				w.log("%s does not answer: %v", e.name, err)
				continue
			}
			answers++
			dead := 0
			for _, a := range addresses {
				if slices.Contains(gone, a) {
					dead++
				}
			}
			w.log("%s names %d addresses, %d of them gone", e.name, len(addresses), dead)
			switch {
			case dead == 0:
			case dead == len(addresses):
				onlyGone++
			default:
				named++
			}
		}
	}
	w.say("%d answers, of which %d name an entry that is gone beside one that runs, and %d name only entries that are gone", answers, named, onlyGone)
	return named > allowedNames, nil
}

// resolve asks an entry where a caller of a zone is to connect.
func resolve(client *http.Client, e *entry, zone string) (addresses []string, err error) {
	query := url.Values{"name": {movedHost}, "region": {region}, "zone": {zone}}
	resp, err := client.Get("http://" + e.address(directoryPort) + "/v1/resolve?" + query.Encode())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addrs"`
	}
	err = json.NewDecoder(resp.Body).Decode(&body)
	return body.Addresses, err
}
