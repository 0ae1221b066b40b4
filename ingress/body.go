package ingress

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// defaultMaxBodyBytes limits a body if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the whole body of a request. On error, status is the status to
// respond with, or 0 if the caller has closed the connection.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, status int, err error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		// Many callers read no response before they have sent their whole body.
		if _, err := io.CopyN(io.Discard, r.Body, limit+1); err != nil {
			return nil, 0, fmt.Errorf("read body: %w", err)
		}
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body of %d bytes, at most %d are taken", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	limited := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(limited, body)
	} else {
		body, err = io.ReadAll(limited)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", limit)
	case err != nil:
		return nil, 0, fmt.Errorf("read body: %w", err)
	}
	return body, 0, nil
}
