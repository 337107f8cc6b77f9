package roundtripper

import (
	"net/http"
	"time"

	"samphiremux/pkg/describer"
)

// Notice is what a backend server says of itself in the head of a response, whatever
// becomes of the request.
type Notice interface{ isNotice() }

// Leaving says that the server is shutting down.
type Leaving struct{}

// Paused says that the server refused a request and wants no more from this entry for some
// time.
type Paused struct{ describer.Pause }

func (Leaving) isNotice() {}
func (Paused) isNotice()  {}

// OnNotice sets the function that is called with each notice of the server, possibly
// concurrently. It must be called before the client is used.
func (cl *Client) OnNotice(f func(Notice)) { cl.onNotice = f }

// observe passes on what the head of a response says of the server. It is called as soon
// as the head is read, since the body may break off and the request may end first. A
// response of another server, which now has the address, says nothing of this one.
func (cl *Client) observe(rep reply) {
	got := rep.Header.Get(cl.headers.Instance)
	if rep.StatusCode == http.StatusMisdirectedRequest || (got != "" && got != cl.id) {
		return
	}
	if cl.headers.ReadLeaving(rep.Header) {
		cl.onNotice(Leaving{})
	}
	if rep.StatusCode != http.StatusServiceUnavailable {
		return
	}
	if p := cl.headers.ReadPause(time.Now(), rep.Header); p != (describer.Pause{}) {
		cl.onNotice(Paused{p})
	}
}
