package platformer

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"samphiremux/pkg/storer"
)

// gRPC codes of the gateway's errors.
const (
	codeInvalid     = 3
	codeNotFound    = 5
	codeUnavailable = 14
)

type wirePair struct {
	Key      []byte          `json:"key"`
	Value    []byte          `json:"value,omitempty"`
	Modified storer.Revision `json:"mod_revision,string"`
}

func wirePairs(pairs []storer.Pair) (wire []wirePair) {
	for _, p := range pairs {
		wire = append(wire, wirePair{Key: []byte(p.Key), Value: p.Value, Modified: p.Modified})
	}
	return wire
}

type wireHeader struct {
	Revision storer.Revision `json:"revision,string"`
}

// Handler serves the store as the subset of the etcd v3 JSON gateway that
// storer.Gateway calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.serveRange)
	mux.HandleFunc("POST /v3/kv/txn", s.serveTxn)
	mux.HandleFunc("POST /v3/lease/grant", s.serveGrant)
	mux.HandleFunc("POST /v3/lease/keepalive", s.serveKeepalive)
	mux.HandleFunc("POST /v3/lease/revoke", s.serveRevoke)
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		writeError(w, http.StatusBadRequest, codeInvalid, err)
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, status, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}{code, err.Error()})
}

func writeAnswer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Key []byte `json:"key"`
		End []byte `json:"range_end"`
	}
	if !decode(w, r, &body) {
		return
	}
	answer := struct {
		Header wireHeader `json:"header"`
		Pairs  []wirePair `json:"kvs"`
	}{}
	if len(body.End) > 0 {
		pairs, at, err := s.List(r.Context(), string(body.Key))
		if err != nil {
			writeError(w, http.StatusServiceUnavailable, codeUnavailable, err)
			return
		}
		answer.Header.Revision, answer.Pairs = at, wirePairs(pairs)
		writeAnswer(w, answer)
		return
	}
	pair, err := s.Get(r.Context(), string(body.Key))
	var absent storer.ErrNoSuchKey
	switch {
	case errors.As(err, &absent):
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, err)
		return
	default:
		answer.Pairs = wirePairs([]storer.Pair{pair})
	}
	writeAnswer(w, answer)
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Compare []struct {
			Key      []byte          `json:"key"`
			Modified storer.Revision `json:"mod_revision,string"`
		} `json:"compare"`
		Success []struct {
			Put struct {
				Key   []byte         `json:"key"`
				Value []byte         `json:"value"`
				Lease storer.LeaseID `json:"lease,string"`
			} `json:"request_put"`
		} `json:"success"`
	}
	if !decode(w, r, &body) {
		return
	}
	if len(body.Compare) != 1 {
		writeError(w, http.StatusBadRequest, codeInvalid, errors.New("exactly one compare is served"))
		return
	}
	var puts []storer.Put
	for _, op := range body.Success {
		puts = append(puts, storer.Put{Key: string(op.Put.Key), Value: op.Put.Value, Lease: op.Put.Lease})
	}
	guard := storer.Guard{Key: string(body.Compare[0].Key), Modified: body.Compare[0].Modified}
	answer := struct {
		Header    wireHeader `json:"header"`
		Succeeded bool       `json:"succeeded"`
	}{}
	switch o := s.Swap(r.Context(), guard, puts...).(type) {
	case storer.Done:
		answer.Header.Revision, answer.Succeeded = o.Revision, true
		writeAnswer(w, answer)
	case storer.NotDone:
		var lapsed storer.ErrLeaseLapsed
		if errors.As(o.Cause, &lapsed) {
			writeError(w, http.StatusNotFound, codeNotFound, o.Cause)
			return
		}
		writeAnswer(w, answer)
	case storer.Unknown:
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, o.Cause)
	}
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"TTL,string"`
	}
	if !decode(w, r, &body) {
		return
	}
	id, err := s.Grant(r.Context(), time.Duration(body.TTL)*time.Second)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, err)
		return
	}
	writeAnswer(w, struct {
		ID  string `json:"ID"`
		TTL string `json:"TTL"`
	}{strconv.FormatInt(int64(id), 10), strconv.FormatInt(body.TTL, 10)})
}

type leaseBody struct {
	ID storer.LeaseID `json:"ID,string"`
}

func (s *Store) serveKeepalive(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if !decode(w, r, &body) {
		return
	}
	type result struct {
		TTL int64 `json:"TTL,string"`
	}
	err := s.Renew(r.Context(), body.ID)
	var lapsed storer.ErrLeaseLapsed
	switch {
	case errors.As(err, &lapsed):
		writeAnswer(w, struct {
			Result result `json:"result"`
		}{result{0}})
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, err)
	default:
		writeAnswer(w, struct {
			Result result `json:"result"`
		}{result{1}})
	}
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if !decode(w, r, &body) {
		return
	}
	if err := s.Revoke(r.Context(), body.ID); err != nil {
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, err)
		return
	}
	writeAnswer(w, struct{}{})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Create struct {
			Key   []byte          `json:"key"`
			Start storer.Revision `json:"start_revision,string"`
		} `json:"create_request"`
	}
	if !decode(w, r, &body) {
		return
	}
	type wireEvent struct {
		Type string   `json:"type,omitempty"`
		Pair wirePair `json:"kv"`
	}
	type result struct {
		Compacted storer.Revision `json:"compact_revision,string,omitempty"`
		Events    []wireEvent     `json:"events,omitempty"`
	}
	type message struct {
		Result result `json:"result"`
	}
	w.Header().Set("Content-Type", "application/json")
	flush := http.NewResponseController(w).Flush
	_ = flush()
	err := s.Watch(r.Context(), string(body.Create.Key), body.Create.Start-1, func(events []storer.Event) {
		var m message
		for _, e := range events {
			we := wireEvent{Pair: wirePairs([]storer.Pair{e.Pair})[0]}
			if e.Deleted {
				we.Type = "DELETE"
			}
			m.Result.Events = append(m.Result.Events, we)
		}
		_ = json.NewEncoder(w).Encode(m)
		_ = flush()
	})
	if errors.Is(err, storer.ErrCompacted) {
		_ = json.NewEncoder(w).Encode(message{result{Compacted: s.compactedAt()}})
	}
}

func (s *Store) compactedAt() storer.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.compacted, 1)
}

// VMList stands in for the platform's list of live and leaving VMs. What it
// serves lags behind what was set by a fixed time.
type VMList struct {
	lag time.Duration

	mu      sync.Mutex
	current []VM
	served  []VM
}

// VM is one line of the list.
type VM struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// NewVMList returns an empty list that lags by lag.
func NewVMList(lag time.Duration) *VMList { return &VMList{lag: lag} }

// Set changes the list. It is served after the lag.
func (l *VMList) Set(vms []VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = vms
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.served = vms
	})
}

// ServeHTTP answers with the list.
func (l *VMList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	vms := l.served
	l.mu.Unlock()
	writeAnswer(w, struct {
		VMs []VM `json:"vms"`
	}{vms})
}

// Served returns the list as it is served.
func (l *VMList) Served() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served
}
