package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"samphiremux/entry/refuser"
	"samphiremux/entry/reserver"
	"samphiremux/entry/retrier"
	"samphiremux/entry/sanitizer"
	"samphiremux/pkg/describer"
)

// readResponse reads and classifies the response. It buffers a body of up to
// MaxBufferedBytes, as far as there is room, and leaves the rest to be streamed. A response with
// the id of another attempt, or merged with another one, is rejected as mismatched.
func (r Request) readResponse(httpResp *http.Response, a *attempt, buffers *reserver.Reserver, cancel context.CancelCauseFunc) (resp *Response, o retrier.Outcome) {
	got := httpResp.Header.Get(AttemptIDHeader)
	if (got != r.AttemptID && (got != "" || r.EchoRequired)) || sanitizer.HasMergedHead(httpResp) {
		a.closeConn()
		cancel(nil)
		return nil, retrier.Mismatched{Got: got}
	}
	if httpResp.StatusCode < http.StatusOK || httpResp.StatusCode > maxStatus {
		a.closeConn()
		cancel(nil)
		return nil, retrier.Truncated{Cause: fmt.Errorf("response has the status %d", httpResp.StatusCode)}
	}
	isRefusal := slices.Contains(r.SheddingStatuses, httpResp.StatusCode) && httpResp.Header.Get(refuser.RefusalHeader) == ""
	if a.classify(isRefusal) && a.mayDiscard {
		a.closeConn()
		cancel(nil)
		return nil, retrier.Mismatched{}
	}
	if !isRefusal {
		httpResp.Body = a.checkEnd(httpResp)
	}
	body, whole, err := readBody(httpResp, buffers)
	if err != nil {
		a.closeConn()
		cancel(nil)
		return nil, bodyErrorOutcome(err)
	}
	resp = &Response{
		Status: httpResp.StatusCode, Header: httpResp.Header, Body: body,
		Draining:  httpResp.Header.Get(DrainingHeader) != "",
		RateLimit: describer.ParseRateLimit(httpResp.Header.Get(RateLimitHeader)),
	}
	if !whole && (!isRefusal || len(body) > MaxBufferedBytes) {
		resp.Remainder = &streamedBody{ReadCloser: httpResp.Body, cancel: cancel}
		return resp, retrier.Answered{}
	}
	_ = httpResp.Body.Close()
	cancel(nil)
	if isRefusal {
		return resp, retrier.Shed{}
	}
	return resp, retrier.Answered{}
}

// bodyErrorOutcome classifies an attempt whose response body could not be read whole.
func bodyErrorOutcome(err error) retrier.Outcome {
	if errors.Is(err, context.DeadlineExceeded) {
		return retrier.TimedOut{}
	}
	return retrier.Truncated{Cause: fmt.Errorf("reading response body: %w", err)}
}

// streamedBody is the unread rest of a large response body. Its Close also releases the
// context of the attempt.
type streamedBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b *streamedBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}
