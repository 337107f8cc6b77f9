package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	lateZone      = "durgapur"
	serversInZone = 5
	// crashed is the number of servers of 20 that crash, a share of 0.15, for crashTime.
	crashed   = 3
	crashTime = 4500 * time.Millisecond
	// afterChange is the time from the configuration with the later route to its first
	// requests, and afterCrash that from the return of the servers to the count.
	afterChange  = 4 * time.Second
	afterCrash   = 5 * time.Second
	countTime    = 15 * time.Second
	laterPause   = 100 * time.Millisecond
	minimumLater = 20
)

// trustZones are the numbers of entries in the zones of the Trust's site.
var trustZones = []zoneSize{{"howrah", 5}, {"salt-lake", 5}, {"barasat", 3}, {lateZone, 3}}

// tally counts the requests of a route and those that were served.
type tally struct{ sent, served int }

func (t tally) ratio() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// named returns the entries that the directory names to callers of a zone.
func (w *world) named(zone string) (named []*entry, err error) {
	addresses, err := resolve(&http.Client{Timeout: time.Second}, w.entries[0], zone)
	for _, e := range w.entries {
		if slices.Contains(addresses, e.address(callerPort)) {
			named = append(named, e)
		}
	}
	if err == nil && len(named) < 2 {
		err = fmt.Errorf("the directory names %d entries", len(named))
	}
	return named, err
}

// firstRequests sends the first requests for a page of the later route, at two entries, until
// they run on two servers. It returns while they run.
func (w *world) firstRequests(near []*entry) (page string, down []*server, done *sync.WaitGroup, err error) {
	for range 10 {
		page, down, done = fmt.Sprintf("/later/%08x-%s", rand.Uint32(), slowSuffix), nil, &sync.WaitGroup{}
		for _, e := range near[:2] {
			done.Go(func() { w.call(&http.Client{Timeout: callerDeadline}, e, http.MethodPost, page) })
		}
		time.Sleep(slowTime / 2)
		for _, s := range w.servers {
			if s.runs(page) {
				down = append(down, s)
			}
		}
		if len(down) == 2 {
			return page, down, done, nil
		}
		done.Wait()
	}
	return "", nil, nil, errors.New("the first requests of the route don't run on servers of their own")
}

// lateRoute lets servers crash while they run the first requests of a route that was added
// later. All callers of that route are in one zone and use the entries there. It checks the rule
// CONFIG on routes that were added later.
func lateRoute(w *world, trouble bool) (broken bool, err error) {
	zones := map[string]string{}
	for _, z := range trustZones {
		zones[z.zone] = region
	}
	peers := []string{w.at(100, linkPort), w.at(101, linkPort), w.at(102, linkPort)}
	for _, z := range trustZones {
		for range serversInZone {
			if err := w.addServer("racks", z.zone); err != nil {
				return false, err
			}
		}
		for range z.entries {
			if _, err := w.addEntry(z.zone, zones, peers); err != nil {
				return false, err
			}
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
	time.Sleep(calmTime)
	if err := w.put("op/config", configuration(7, "racks", route("later", "/later/", "racks", "unsafe"))); err != nil {
		return false, err
	}
	w.log("configuration 7 adds a route")
	time.Sleep(afterChange)

	near, err := w.named(lateZone)
	if err != nil {
		return false, err
	}
	page, down, first, err := w.firstRequests(near)
	if err != nil {
		return false, err
	}
	for _, s := range w.servers {
		if len(down) < crashed && !s.runs(page) {
			down = append(down, s)
		}
	}
	if trouble {
		for _, s := range down {
			s.crash()
		}
	}
	first.Wait()
	time.Sleep(crashTime)
	if trouble {
		for _, s := range down {
			if err := s.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(afterCrash)
	var later, other tally
	client := &http.Client{Transport: &http.Transport{}, Timeout: callerDeadline}
	for end := time.Now().Add(countTime); time.Now().Before(end); time.Sleep(laterPause) {
		e := near[rand.IntN(len(near))]
		later.sent++
		if a := w.call(client, e, http.MethodPost, page); a.status == http.StatusOK {
			later.served++
		}
		other.sent++
		if a := w.call(client, e, http.MethodGet, "/moved/x"); a.status == http.StatusOK {
			other.served++
		}
	}
	w.say("served: %d of %d on the route that was added later, %d of %d on the first one", later.served, later.sent, other.served, other.sent)
	return later.sent >= minimumLater && later.ratio() < other.ratio()/4, nil
}
