// Package kit holds the stand-ins of the review's cases: the platform's store, backend
// servers, clients, and the platform that starts the machines' processes.
package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is the platform's store as PROTOCOL.md describes it. It keeps its whole history.
type Store struct {
	Address string

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]time.Time
	ttls    map[int64]time.Duration
	changed chan struct{}
}

// StartStore serves a store on a free port of an IP address.
func StartStore(ip string) *Store {
	s := &Store{rev: 100, items: map[string]item{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{}, changed: make(chan struct{})}
	l := Listen(ip)
	s.Address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// Listen listens on a free port of an IP address.
func Listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		Fail("listen on %s: %v", ip, err)
	}
	return l
}

func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, until := range s.leases {
		if now.After(until) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

func (s *Store) apply(puts []put, remove []string) int64 {
	s.rev++
	for _, p := range puts {
		created := s.rev
		if old, ok := s.items[p.Key]; ok {
			created = old.Created
		}
		it := item{Key: p.Key, Value: p.Value, Revision: s.rev, Created: created, Lease: p.Lease}
		s.items[p.Key] = it
		s.history = append(s.history, it)
	}
	for _, k := range remove {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, item{Key: k, Revision: s.rev, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

// Put writes a key as the operator or a backend does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		Fail("encoding %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]put{{Key: key, Value: data}}, nil)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{"as-of": rev})
			return
		}
		reply(w, 200, struct {
			item
			AsOf int64 `json:"as-of"`
		}{it, rev})
	case path == "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/v1/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/v1/kv-txn":
		s.serveTxn(w, r)
	case path == "/v1/kv-lease":
		var body struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.mu.Lock()
		s.rev++
		id := s.rev
		s.ttls[id] = time.Duration(body.TTL) * time.Millisecond
		s.leases[id] = time.Now().Add(s.ttls[id])
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease": id, "ttl-ms": body.TTL})
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/v1/kv-keep/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.leases[id] = time.Now().Add(s.ttls[id])
		}
		ttl := s.ttls[id]
		s.mu.Unlock()
		if !ok {
			reply(w, 404, struct{}{})
			return
		}
		reply(w, 200, map[string]any{"ttl-ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/v1/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, struct{}{})
			return
		}
		reply(w, 200, struct{}{})
	default:
		reply(w, 404, struct{}{})
	}
}

// pageSize is the number of items in a page of a range.
const pageSize = 500

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	reply(w, 200, map[string]any{"items": items, "has-more": more, "as-of": rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, 200, map[string]any{"events": events, "as-of": rev})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect-rev"`
		Puts   []put    `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, struct{}{})
			return
		}
		if p.Lease != 0 {
			if _, ok := s.leases[p.Lease]; !ok {
				reply(w, 404, struct{}{})
				return
			}
		}
	}
	for _, e := range body.Expect {
		if s.items[e.Key].Revision != e.Revision {
			items := []item{}
			for _, e := range body.Expect {
				if it, ok := s.items[e.Key]; ok {
					items = append(items, it)
				}
			}
			reply(w, 412, map[string]any{"items": items})
			return
		}
	}
	reply(w, 200, map[string]any{"revision": s.apply(body.Puts, body.Remove)})
}
