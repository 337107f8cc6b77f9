package sender

import (
	"errors"
	"io"
	"net/http"

	"samphiremux/entry/reserver"
)

// firstBufferBytes is the size of the first buffer of a body of unknown length.
const firstBufferBytes = 4 << 10

// ShareBuffers bounds the memory of the response bodies that are being read, over the senders
// that share it. A body that finds no room is streamed from there on.
func (s *Sender) ShareBuffers(memory *reserver.Reserver) { s.buffers = memory }

// readBody reads the body of a response up to MaxBufferedBytes, or less if there is no room.
// If the body is longer, whole is false, body holds its start and the rest can be read from
// the response.
func readBody(r *http.Response, memory *reserver.Reserver) (body []byte, whole bool, err error) {
	if r.Body == http.NoBody {
		// The response to HEAD has no body, though it may state a length.
		return []byte{}, true, nil
	}
	held, taken := memory.Hold(), int64(0)
	defer held.Release()
	size := int64(firstBufferBytes)
	if r.ContentLength >= 0 {
		// Buffers that grow would leave as much garbage as the last one holds.
		size = r.ContentLength
	}
	for {
		size = min(size, MaxBufferedBytes+1)
		if !held.Resize(taken + size) {
			return body, false, nil
		}
		taken += size
		body = append(make([]byte, 0, size), body...)
		for int64(len(body)) < size {
			n, err := r.Body.Read(body[len(body):size])
			body = body[:len(body)+n]
			switch {
			case errors.Is(err, io.EOF):
				return body, true, nil
			case err != nil:
				return nil, false, err
			}
		}
		switch {
		case size > MaxBufferedBytes:
			return body, false, nil
		case size == r.ContentLength:
			// Reads to the end of the message, so that the connection is reusable.
			_, err = io.Copy(io.Discard, r.Body)
			return body, true, err
		}
		size = max(2*size, firstBufferBytes)
	}
}
