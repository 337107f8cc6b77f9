package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// uploadBytes is the size of one upload, and uploadCount the number of uploads at once.
	// Together they exceed the memory of the smallest VM.
	uploadBytes = 16 << 20
	uploadCount = 24
)

// bodyOfUnknownLength hides the length of a body, so that it is sent in chunks.
type bodyOfUnknownLength struct{ io.Reader }

// upload sends an upload to an entry and returns the status of the response, or zero if there
// was none.
func (f *fleet) upload(i int, id, text string, chunked bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), 20*callerTimeout)
	defer cancel()
	if !chunked {
		resp, _, err := f.send(ctx, i, "/book/upload", id, text)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	resp, _, err := f.sendBody(ctx, i, "/book/upload", id, bodyOfUnknownLength{strings.NewReader(text)})
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// TestUploadsFillMemory guards against an entry that runs out of memory, and with it the
// requests of other callers, since it holds many large bodies at the same time.
func TestUploadsFillMemory(t *testing.T) {
	debug.SetGCPercent(gcPercent)
	defer debug.SetGCPercent(100)
	text := strings.Repeat("x", uploadBytes)
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("in chunks %v", chunked), func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				f.respond = func(w http.ResponseWriter, r *http.Request) {
					for {
						if _, err := io.CopyN(io.Discard, r.Body, 1<<20); err != nil {
							break
						}
						time.Sleep(serverWork / 10)
					}
					_, _ = io.WriteString(w, "ok")
				}
				time.Sleep(settleTime)
				done := make(chan struct{})
				peak := make(chan int64, 1)
				go func() { peak <- peakHeap(done) }()
				var mu sync.Mutex
				statuses := map[int]int{}
				var calls sync.WaitGroup
				for n := range uploadCount {
					calls.Go(func() {
						status := f.upload(0, fmt.Sprintf("upload-%d", n), text, chunked)
						mu.Lock()
						defer mu.Unlock()
						statuses[status]++
					})
					calls.Go(func() {
						time.Sleep(time.Duration(n) * time.Millisecond)
						if !f.call(0, "/look/other", fmt.Sprintf("other-%d", n)) {
							t.Errorf("another caller is not served")
						}
					})
				}
				calls.Wait()
				close(done)
				grown := <-peak
				t.Logf("the heap grew by %d MiB; responses %v", grown>>20, statuses)
				if grown > smallestVM {
					t.Errorf("the heap grew by %d bytes, the memory of the smallest VM is %d", grown, smallestVM)
				}
				if statuses[http.StatusOK] == 0 {
					t.Errorf("no upload was served: %v", statuses)
				}
			})
		})
	}
}
