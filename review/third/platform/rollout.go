package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// statusKey is where the system tells the operator of the roll-out.
	statusKey = "status/rollout/booking"
	// badAfter is the time after the order from which half of the new version's answers fail.
	badAfter = 9500 * time.Millisecond
)

// rollout plays the roll-out of a version that turns bad, while the store loses the answers of two
// writes, which it carries out some seconds later.
func rollout(w *world, trouble bool) (int, error) {
	w.configure(defaultRoutes(), nil)
	var bad atomic.Bool
	var old, next []*server
	for range 4 {
		s, err := w.addServer("booking", work)
		if err != nil {
			return cannotDo, err
		}
		old = append(old, s)
	}
	for range 4 {
		if _, err := w.addServer("catalogue", work); err != nil {
			return cannotDo, err
		}
	}
	lost := map[string]bool{}
	var mu sync.Mutex
	if trouble {
		w.onCall = func(rw http.ResponseWriter, r *http.Request) bool {
			if r.Method != http.MethodPost || r.URL.Path != "/v1/kv-txn" {
				return false
			}
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			state := stateIn(body)
			mu.Lock()
			late := map[string]time.Duration{"succeeded": 4 * time.Second, "rolled_back": 5 * time.Second}[state]
			if lost[state] {
				late = 0
			}
			lost[state] = true
			mu.Unlock()
			if late == 0 {
				return false
			}
			w.record.log("store    write of %s: no answer, done %v later", state, late)
			go func() {
				time.Sleep(late)
				answer := httptest.NewRecorder()
				again, _ := http.NewRequest(http.MethodPost, r.URL.String(), bytes.NewReader(body))
				w.handler().ServeHTTP(answer, again)
				w.record.log("store    late write of %s: status %d", state, answer.Code)
			}()
			<-r.Context().Done()
			return true
		}
	}
	for range 3 {
		if _, err := w.addEntry(); err != nil {
			return cannotDo, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return cannotDo, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	counts := &counts{}
	for _, kind := range []struct {
		method, path string
		every        time.Duration
	}{{"POST", "/book/30/100", 50 * time.Millisecond}, {"GET", "/look/20/200", 10 * time.Millisecond}} {
		wait.Go(func() {
			t := time.NewTicker(kind.every)
			defer t.Stop()
			for {
				select {
				case <-t.C:
					go w.ask(kind.method, kind.path, counts)
				case <-stop:
					return
				}
			}
		})
	}
	time.Sleep(time.Second)
	for range 4 {
		s, err := w.addVersion("booking", "v2", func(s *server, c net.Conn, r *request) bool {
			if bad.Load() && rand.IntN(2) == 0 {
				return s.answer(c, r, 500, nil)
			}
			return work(s, c, r)
		})
		if err != nil {
			return cannotDo, err
		}
		next = append(next, s)
	}
	order, _ := json.Marshal(map[string]any{"service": "booking", "target-version": "v2", "duration-s": 10})
	w.store.PutUnguarded("op/rollout/booking", order)
	w.record.log("operator orders v2")
	time.AfterFunc(badAfter, func() {
		bad.Store(true)
		w.record.log("server   v2 turns bad")
	})
	states := w.operate(stop, old, next)
	time.Sleep(85 * time.Second)
	close(stop)
	wait.Wait()
	time.Sleep(time.Second)
	w.record.log("states: %v", <-states)
	return counts.judge(w.record), nil
}

// stateIn returns the state of the roll-out that a transaction writes, if any.
func stateIn(body []byte) string {
	var t struct {
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
	}
	_ = json.Unmarshal(body, &t)
	for _, p := range t.Puts {
		var status struct {
			State string `json:"state"`
		}
		if p.Key == statusKey && json.Unmarshal(p.Value, &status) == nil && status.State != "running" {
			return status.State
		}
	}
	return ""
}

// operate does what the platform does at each state of the roll-out.
func (w *world) operate(stop <-chan struct{}, old, next []*server) <-chan []string {
	result := make(chan []string, 1)
	go func() {
		var states []string
		last := ""
		for {
			select {
			case <-stop:
				result <- states
				return
			case <-time.After(50 * time.Millisecond):
			}
			pair, err := w.store.Get(context.Background(), statusKey)
			if err != nil {
				continue
			}
			var status struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(pair.Value, &status)
			if status.State == last {
				continue
			}
			last = status.State
			states = append(states, last)
			w.record.log("operator reads state %s", last)
			switch last {
			case "succeeded":
				for _, s := range old {
					s.end()
				}
			case "rolled_back":
				time.AfterFunc(3*time.Second, func() {
					for _, s := range next {
						go s.drain(2500 * time.Millisecond)
					}
				})
			}
		}
	}()
	return result
}

// counts are the requests by the first part of their paths.
type counts struct {
	mu            sync.Mutex
	asked, served [2]int
}

// ask sends a request to an entry, and counts it.
func (w *world) ask(method, path string, n *counts) {
	id := newID()
	status := w.send(w.entries[rand.IntN(len(w.entries))], method, path, id)
	kind := 0
	if strings.HasPrefix(path, "/look/") {
		kind = 1
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked[kind]++
	if status == http.StatusOK {
		n.served[kind]++
	}
	if kind == 0 {
		w.record.log("answer   id=%s status=%d", id, status)
	}
}

// send sends a request, and returns the status of a whole answer, or zero.
func (w *world) send(e *entry, method, path, id string) int {
	c, err := net.DialTimeout("tcp", e.at(callerPort), time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 5\r\n"
	}
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\n%s\r\n", method, path, host, id, length)
	if length != "" {
		_, _ = io.WriteString(c, "rack1")
	}
	_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// judge applies the rule: a kind of request is served less than a quarter as often as all.
func (n *counts) judge(r *record) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	book := float64(n.served[0]) / float64(max(1, n.asked[0]))
	all := float64(n.served[0]+n.served[1]) / float64(max(1, n.asked[0]+n.asked[1]))
	r.log("bookings served: %d of %d (%.2f); all requests served: %.2f", n.served[0], n.asked[0], book, all)
	if book < all/4 {
		return broken
	}
	return held
}
