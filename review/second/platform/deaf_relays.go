package main

import (
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	entriesPerZone = 3
	// turnedAwayShare is the largest share of the entries that the store turns away, and
	// awayTime for how long.
	turnedAwayShare = 0.35
	awayTime        = 9 * time.Second
	// calmTime is the time without disruption before each round. It exceeds touch-ms, and the
	// relays are elected again in it.
	calmTime       = 8 * time.Second
	rounds         = 5
	changeDelay    = 500 * time.Millisecond
	configDeadline = 2 * time.Second
	// watchInterval exceeds the time of one watch of an entry.
	watchInterval = 3 * time.Second
	callInterval  = 40 * time.Millisecond
)

// change is a version of the configuration and what it says of the route.
type change struct {
	version int
	service string
	acked   time.Time
}

// deafRelays lets the store turn the entries away that watch it, and serve the others, while
// the operators move a route to another service. It checks the rule CONFIG for entries that the
// store serves.
func deafRelays(w *world, trouble bool) (broken bool, err error) {
	zones := map[string]string{"a": "r", "b": "r"}
	for _, zone := range []string{"a", "b"} {
		for _, service := range []string{"racks", "vans"} {
			for range 2 {
				if err := w.addServer(service, zone); err != nil {
					return false, err
				}
			}
		}
	}
	peers := []string{w.at(100, linkPort), w.at(101, linkPort), w.at(102, linkPort)}
	for n := range 2 * entriesPerZone {
		if _, err := w.addEntry([]string{"a", "b"}[n%2], zones, peers); err != nil {
			return false, err
		}
	}
	var changes []change
	configure := func(service string) error {
		w.version += 3
		err := w.put("op/config", configuration(w.version, service))
		changes = append(changes, change{w.version, service, time.Now()})
		w.log("configuration %d acknowledged: the route goes to %s", w.version, service)
		return err
	}
	if err := configure("racks"); err != nil {
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

	var mu sync.Mutex
	got := map[*entry][]answer{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, e := range w.entries {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: callerDeadline}
			for {
				select {
				case <-stop:
					return
				case <-time.After(callInterval):
				}
				a := w.call(client, e, http.MethodGet, "/moved/x")
				mu.Lock()
				got[e] = append(got[e], a)
				mu.Unlock()
			}
		})
	}
	turnedAway := map[int][]*entry{}
	for round := range rounds {
		time.Sleep(calmTime)
		var watching []*entry
		for _, e := range w.entries {
			if e.door.watches(watchInterval) {
				watching = append(watching, e)
			}
		}
		if limit := int(turnedAwayShare * float64(len(w.entries))); len(watching) > limit {
			w.log("%d entries watch the store, more than the share that is turned away", len(watching))
			watching = watching[:limit]
		}
		if len(watching) == 0 {
			err = errors.New("no entry watches the store")
			break
		}
		if trouble {
			for _, e := range watching {
				w.log("the store turns %s away", e.name)
				e.door.setAway(true)
			}
			turnedAway[round+1] = watching
		}
		time.Sleep(changeDelay)
		if err = configure([]string{"vans", "racks"}[round%2]); err != nil {
			break
		}
		time.Sleep(awayTime - changeDelay)
		for _, e := range watching {
			e.door.setAway(false)
		}
		w.log("the store serves all")
	}
	close(stop)
	callers.Wait()
	if err != nil {
		return false, err
	}
	return judge(w, changes, turnedAway, got), nil
}

// judge counts the requests that were sent later than the deadline after a configuration was
// acknowledged and that ran as only an older one allows, at entries that the store serves. The
// first configuration has no round.
func judge(w *world, changes []change, turnedAway map[int][]*entry, got map[*entry][]answer) (broken bool) {
	for round, c := range changes {
		next := time.Now()
		if round+1 < len(changes) {
			next = changes[round+1].acked
		}
		stale, last := 0, time.Duration(0)
		for e, answers := range got {
			if slices.Contains(turnedAway[round], e) {
				continue
			}
			for _, a := range answers {
				late := a.sent.Sub(c.acked)
				if late > configDeadline && a.sent.Before(next) && a.status == http.StatusOK && a.service != c.service {
					stale++
					last = max(last, late)
					w.log("CONFIG: request %s, sent to %s %v after configuration %d was acknowledged, ran at %s", a.id, e.name, late, c.version, a.service)
				}
			}
		}
		if stale > 0 {
			broken = true
			w.say("configuration %d: %d requests ran at the old service, the last sent %.2f s after the acknowledgement", c.version, stale, last.Seconds())
		}
	}
	return broken
}
