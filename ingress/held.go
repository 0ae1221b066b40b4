package ingress

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// uncountedBytes is the size up to which bodies do not count toward Settings.HeldBytes, so
// that large ones leave room for small ones.
const uncountedBytes = 8 << 10

// errNoRoom is returned for a body that does not fit beside those that are held.
var errNoRoom = errors.New("the bodies of other requests take all memory for bodies")

// heldBytes counts the bytes of bodies that are held for requests in progress.
type heldBytes struct {
	limit   int64 // 0: none
	used    atomic.Int64
	partial atomic.Int64 // of those used, by the beginnings of events
}

func (h *heldBytes) reserve(n int64) bool {
	if h.used.Add(n) <= h.limit || h.limit <= 0 {
		return true
	}
	h.used.Add(-n)
	return false
}

// reserve reserves memory for a body until the end of the request. It reports false if
// there is none left.
func (x *exchange) reserve(n int64) bool {
	if n <= uncountedBytes {
		return true
	}
	if !x.server.held.reserve(n) {
		return false
	}
	x.reserved += n
	return true
}

// partialEventShare is the share of Settings.HeldBytes that the beginnings of events may take
// together, so that a server whose events do not end leaves room for other bodies.
const partialEventShare = 0.5

// reservePartial reserves memory for a buffer of size bytes that holds the beginning of an
// event. It reports false if there is none left.
func (x *exchange) reservePartial(size int64) bool {
	h := &x.server.held
	n := size - x.partialReserved
	if size <= uncountedBytes || n <= 0 {
		return true
	}
	limit := int64(partialEventShare * float64(h.limit))
	if h.partial.Add(n) > limit && limit > 0 {
		h.partial.Add(-n)
		return false
	}
	if !h.reserve(n) {
		h.partial.Add(-n)
		return false
	}
	x.reserved += n
	x.partialReserved += n
	return true
}

// release returns n reserved bytes.
func (x *exchange) release(n int64) {
	if n <= uncountedBytes {
		return
	}
	x.reserved -= n
	x.server.held.used.Add(-n)
}

// releaseAll returns all reserved bytes.
func (x *exchange) releaseAll() {
	x.server.held.used.Add(-x.reserved)
	x.server.held.partial.Add(-x.partialReserved)
	x.reserved, x.partialReserved = 0, 0
}

// readSized reads a body of a stated size.
func (x *exchange) readSized(r io.Reader, size int64) ([]byte, error) {
	if !x.reserve(size) {
		return nil, errNoRoom
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}

// readUnsized reads a body whose size is not stated.
func (x *exchange) readUnsized(r io.Reader) ([]byte, error) {
	body := make([]byte, 0, uncountedBytes)
	for {
		if len(body) == cap(body) {
			size := int64(cap(body))
			if !x.reserve(2 * size) {
				return nil, errNoRoom
			}
			body = append(make([]byte, 0, 2*size), body...)
			x.release(size)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// heldResponse is the beginning of a response's body that is held back, or all of it.
type heldResponse struct {
	body     []byte
	complete bool
}

// holdBack reads the body of a response up to maxBufferedBytes, or up to uncountedBytes if
// there is no memory for more. It may read one byte more of a longer one, whose remainder is
// left unread.
func (x *exchange) holdBack(resp *http.Response) (heldResponse, error) {
	size := int64(maxBufferedBytes)
	if resp.ContentLength >= 0 && resp.ContentLength < size {
		size = resp.ContentLength
	}
	if !x.reserve(size) {
		size = uncountedBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, size+1))
	if err != nil {
		return heldResponse{body: body}, fmt.Errorf("read answer: %w", err)
	}
	return heldResponse{body: body, complete: int64(len(body)) <= size}, nil
}
