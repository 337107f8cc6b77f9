package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphiremux/platform/translator"
	"samphiremux/standin/platformemulator"
)

// arrival is a request that reached a cold server.
type arrival struct {
	at time.Time
	// entry is the number of the entry that the caller used.
	entry string
}

// dayServer is a backend server that may turn cold, with a few slots and a neighbour that
// slows it from time to time.
type dayServer struct {
	name, service, zone, address string
	work, lag                    time.Duration
	store                        *platformemulator.Store
	// errors logs what the HTTP server says, as that it runs out of descriptors.
	errors *log.Logger

	mu        sync.Mutex
	starts    int
	id        string
	born      int64
	sequence  int
	coldUntil time.Time
	noisy     bool
	noiseEnds time.Time
	slots     chan struct{}
	waiting   int
	server    *http.Server
	arrivals  []arrival
	requests  int
}

// start starts the server and registers it, under a new id unless it keeps the former one.
func (s *dayServer) start(cold, keepID bool) (err error) {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	if !keepID || s.id == "" {
		s.id = fmt.Sprintf("%s-%d", s.name, s.starts)
	}
	s.born, s.sequence = time.Now().UnixMilli(), 0
	s.coldUntil = time.Time{}
	if cold {
		s.coldUntil = time.Now().Add(coldTime)
	}
	s.slots, s.waiting = make(chan struct{}, coldSlots), 0
	s.server = &http.Server{Handler: s, ErrorLog: s.errors}
	server := s.server
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	s.register()
	return nil
}

func (s *dayServer) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	value, _ := json.Marshal(map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": coldSlots},
		"status": map[string]any{"state": "ready", "sequence": s.sequence, "cold-left-ms": max(0, time.Until(s.coldUntil)).Milliseconds()},
	})
	s.store.PutUnguarded("servers/"+s.id, value)
}

// crash ends the server. Its registration remains until registrationLag has passed.
func (s *dayServer) crash(ctx context.Context) {
	s.mu.Lock()
	id, born, server := s.id, s.born, s.server
	s.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(registrationLag, func() {
		s.mu.Lock()
		replaced := s.id == id && s.born != born
		s.mu.Unlock()
		if !replaced && ctx.Err() == nil {
			s.store.Commit(ctx, deleteOf("servers/"+id))
		}
	})
}

func (s *dayServer) turnCold() {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(coldTime)
	s.mu.Unlock()
	time.AfterFunc(time.Duration(rand.IntN(1500))*time.Millisecond, s.register)
}

// slowness returns how many times longer a request takes now. The caller holds the lock.
func (s *dayServer) slowness(now time.Time) float64 {
	if !now.Before(s.noiseEnds) {
		s.noisy = rand.Float64() < noisyShare
		s.noiseEnds = now.Add(time.Duration(rand.ExpFloat64() * float64(noiseTime)))
	}
	if s.noisy {
		return noiseFactor
	}
	return 1
}

// ServeHTTP implements http.Handler.
func (s *dayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	h := w.Header()
	s.mu.Lock()
	id, coldLeft, slots, slowness := s.id, max(0, s.coldUntil.Sub(now)), s.slots, s.slowness(now)
	h.Set(translator.HeaderLoad, fmt.Sprintf("%d,%d,%d,%d", len(slots), s.waiting, coldSlots, int(100*slowness)))
	if r.URL.Path == "/health" {
		s.mu.Unlock()
		h.Set(translator.HeaderInstance, id)
		if coldLeft > 0 {
			h.Set("X-Cold-Ms", strconv.FormatInt(coldLeft.Milliseconds(), 10))
		}
		return
	}
	if want := r.Header.Get(translator.HeaderExpectInstance); want != id {
		s.mu.Unlock()
		h.Set(translator.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.requests++
	if coldLeft > 0 {
		entry, _, _ := strings.Cut(r.Header.Get(translator.HeaderRequestID), "-")
		s.arrivals = append(s.arrivals, arrival{now, entry})
		slowness *= 2
	}
	s.mu.Unlock()
	time.Sleep(s.lag)
	s.mu.Lock()
	if s.waiting >= dayQueue {
		s.mu.Unlock()
		h.Set(translator.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	s.mu.Unlock()
	slots <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(float64(s.work) * slowness * (0.7 + 0.6*rand.Float64()))):
	case <-r.Context().Done():
	}
	<-slots
	h.Set(translator.HeaderRequestID, r.Header.Get(translator.HeaderRequestID))
	h.Set(translator.HeaderSignature, id)
}

// flood describes the second in which a cold server got the most requests.
type flood struct {
	requests int
	from     time.Time
	// byEntry is the number of requests by entry.
	byEntry map[string]int
}

// worst returns the second in which the server got the most requests while it was cold.
func (s *dayServer) worst() (f flood) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for last, a := range s.arrivals {
		for a.at.Sub(s.arrivals[first].at) >= time.Second {
			first++
		}
		if last-first+1 <= f.requests {
			continue
		}
		f = flood{requests: last - first + 1, from: s.arrivals[first].at, byEntry: map[string]int{}}
		for _, b := range s.arrivals[first : last+1] {
			f.byEntry[b.entry]++
		}
	}
	return f
}
