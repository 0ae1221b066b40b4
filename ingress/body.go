package ingress

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// defaultMaxBodyBytes limits a body if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the whole body of the request. On error, status is the status to
// respond with, or 0 if the caller has closed the connection. A body that is not taken is
// read to its end: many callers read no response before they have sent their whole body.
func (x *exchange) readBody(limit int64) (body []byte, status int, err error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	r := x.r
	if r.ContentLength > limit {
		if _, err := io.CopyN(io.Discard, r.Body, limit+1); err != nil {
			return nil, 0, fmt.Errorf("read body: %w", err)
		}
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body of %d bytes, at most %d are taken", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	limited := http.MaxBytesReader(unlimited(x.w), r.Body, limit)
	if r.ContentLength > 0 {
		body, err = x.readSized(limited, r.ContentLength)
	} else {
		body, err = x.readUnsized(limited)
	}
	if errors.Is(err, errNoRoom) {
		status = statusNotRun
		if _, readErr := io.Copy(io.Discard, limited); readErr != nil {
			status, err = 0, readErr
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", limit)
	case err != nil:
		return nil, status, fmt.Errorf("read body: %w", err)
	}
	return body, 0, nil
}
