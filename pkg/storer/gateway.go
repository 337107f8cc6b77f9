package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	maxAnswerBytes = 8 << 20
	leaseNotFound  = 5 // google.rpc.Code NOT_FOUND
)

// Gateway is a Store behind the etcd v3 JSON gateway
// (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/). It tries its
// addresses in turn, beginning with the one that last answered.
type Gateway struct {
	client    *http.Client
	addresses []string
	current   atomic.Int64
	calls     atomic.Int64
}

// NewGateway returns a store reached over client at base addresses such as
// http://10.0.0.1:2379.
func NewGateway(client *http.Client, addresses ...string) *Gateway {
	return &Gateway{client: client, addresses: addresses}
}

// Calls returns the number of calls made so far.
func (g *Gateway) Calls() int64 { return g.calls.Load() }

// gatewayPair is a key-value pair in the gateway's format. encoding/json
// writes byte slices in base64, as the gateway expects.
type gatewayPair struct {
	Key      []byte   `json:"key"`
	Value    []byte   `json:"value"`
	Modified Revision `json:"mod_revision,string"`
}

type gatewayHeader struct {
	Revision Revision `json:"revision,string"`
}

func (p gatewayPair) pair() Pair {
	return Pair{Key: string(p.Key), Value: p.Value, Modified: p.Modified}
}

// errStatus is an answer of the gateway other than 200.
type errStatus struct {
	status int
	code   int
	text   string
}

func (e errStatus) Error() string { return fmt.Sprintf("store answered %d: %s", e.status, e.text) }

// errNotSent marks calls that certainly did not reach the store.
type errNotSent struct{ cause error }

func (e errNotSent) Error() string { return e.cause.Error() }
func (e errNotSent) Unwrap() error { return e.cause }

func (g *Gateway) open(ctx context.Context, path string, body any) (resp *http.Response, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("store call %s: %w", path, err)
		}
	}()
	g.calls.Add(1)
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errNotSent{err}
	}
	at := g.current.Load()
	base := g.addresses[int(at)%len(g.addresses)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(data))
	if err != nil {
		return nil, errNotSent{err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err = g.client.Do(req)
	if err != nil {
		g.current.CompareAndSwap(at, at+1)
		return nil, ErrStoreOut{Cause: err}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, readStatus(resp)
}

func readStatus(resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	var body struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
	if json.Unmarshal(data, &body) != nil {
		body.Message = string(data)
	}
	return errStatus{status: resp.StatusCode, code: body.Code, text: body.Message}
}

func (g *Gateway) call(ctx context.Context, path string, body, answer any) (err error) {
	resp, err := g.open(ctx, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("store call %s: %w", path, err)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("store call %s: %w", path, err)
	}
	return nil
}

// Get implements Store.
func (g *Gateway) Get(ctx context.Context, key string) (Pair, error) {
	pairs, _, err := g.read(ctx, struct {
		Key []byte `json:"key"`
	}{[]byte(key)})
	if err != nil {
		return Pair{}, err
	}
	if len(pairs) == 0 {
		return Pair{}, ErrNoSuchKey{Key: key}
	}
	return pairs[0], nil
}

// List implements Store.
func (g *Gateway) List(ctx context.Context, prefix string) ([]Pair, Revision, error) {
	return g.read(ctx, struct {
		Key []byte `json:"key"`
		End []byte `json:"range_end"`
	}{[]byte(prefix), prefixEnd(prefix)})
}

func (g *Gateway) read(ctx context.Context, body any) (pairs []Pair, at Revision, err error) {
	var answer struct {
		Header gatewayHeader `json:"header"`
		Pairs  []gatewayPair `json:"kvs"`
	}
	if err := g.call(ctx, "/v3/kv/range", body, &answer); err != nil {
		return nil, 0, err
	}
	for _, p := range answer.Pairs {
		pairs = append(pairs, p.pair())
	}
	return pairs, answer.Header.Revision, nil
}

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// Swap implements Store.
func (g *Gateway) Swap(ctx context.Context, guard Guard, puts ...Put) Outcome {
	type compare struct {
		Key      []byte   `json:"key"`
		Target   string   `json:"target"`
		Result   string   `json:"result"`
		Modified Revision `json:"mod_revision,string"`
	}
	type requestPut struct {
		Key   []byte  `json:"key"`
		Value []byte  `json:"value"`
		Lease LeaseID `json:"lease,string,omitempty"`
	}
	type operation struct {
		Put requestPut `json:"request_put"`
	}
	body := struct {
		Compare []compare   `json:"compare"`
		Success []operation `json:"success"`
	}{Compare: []compare{{Key: []byte(guard.Key), Target: "MOD", Result: "EQUAL", Modified: guard.Modified}}}
	for _, p := range puts {
		body.Success = append(body.Success, operation{requestPut{Key: []byte(p.Key), Value: p.Value, Lease: p.Lease}})
	}
	var answer struct {
		Header    gatewayHeader `json:"header"`
		Succeeded bool          `json:"succeeded"`
	}
	err := g.call(ctx, "/v3/kv/txn", body, &answer)
	var status errStatus
	var unsent errNotSent
	switch {
	case errors.As(err, &unsent):
		return NotDone{Cause: err}
	case errors.As(err, &status) && status.code == leaseNotFound:
		return NotDone{Cause: ErrLeaseLapsed{}}
	case errors.As(err, &status) && status.status >= 400 && status.status < 500:
		return NotDone{Cause: err}
	case err != nil:
		return Unknown{Cause: err}
	case !answer.Succeeded:
		return NotDone{Cause: ErrConflict{Key: guard.Key}}
	default:
		return Done{Revision: answer.Header.Revision}
	}
}

// Grant implements Store.
func (g *Gateway) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer struct {
		ID LeaseID `json:"ID,string"`
	}
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := g.call(ctx, "/v3/lease/grant", struct {
		TTL int64 `json:"TTL,string"`
	}{seconds}, &answer)
	return answer.ID, err
}

// Renew implements Store.
func (g *Gateway) Renew(ctx context.Context, id LeaseID) error {
	var answer struct {
		Result struct {
			TTL int64 `json:"TTL,string"`
		} `json:"result"`
	}
	err := g.call(ctx, "/v3/lease/keepalive", struct {
		ID LeaseID `json:"ID,string"`
	}{id}, &answer)
	if err != nil {
		return err
	}
	if answer.Result.TTL <= 0 {
		return ErrLeaseLapsed{ID: id}
	}
	return nil
}

// Revoke implements Store.
func (g *Gateway) Revoke(ctx context.Context, id LeaseID) error {
	return g.call(ctx, "/v3/lease/revoke", struct {
		ID LeaseID `json:"ID,string"`
	}{id}, &struct{}{})
}

// Watch implements Store.
func (g *Gateway) Watch(ctx context.Context, prefix string, after Revision, f func([]Event)) error {
	type createRequest struct {
		Key   []byte   `json:"key"`
		End   []byte   `json:"range_end"`
		Start Revision `json:"start_revision,string"`
	}
	resp, err := g.open(ctx, "/v3/watch", struct {
		Create createRequest `json:"create_request"`
	}{createRequest{[]byte(prefix), prefixEnd(prefix), after + 1}})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	for {
		events, err := nextEvents(dec)
		if err != nil {
			return fmt.Errorf("store watch of %q: %w", prefix, err)
		}
		f(events)
	}
}

func nextEvents(dec *json.Decoder) (events []Event, err error) {
	var message struct {
		Result struct {
			Compacted Revision `json:"compact_revision,string"`
			Events    []struct {
				Type string      `json:"type"`
				Pair gatewayPair `json:"kv"`
			} `json:"events"`
		} `json:"result"`
	}
	if err := dec.Decode(&message); err != nil {
		return nil, err
	}
	if message.Result.Compacted > 0 {
		return nil, ErrCompacted
	}
	for _, e := range message.Result.Events {
		events = append(events, Event{Pair: e.Pair.pair(), Deleted: e.Type == "DELETE"})
	}
	return events, nil
}
