package ingress

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// bodyMost bounds a body where the configuration names no bound, in bytes.
const bodyMost = 4 << 20

// readBody reads a request's body whole. A status other than 0 says what to
// answer when it cannot be had; with 0 the caller has gone.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, status int, err error) {
	if limit <= 0 {
		limit = bodyMost
	}
	if r.ContentLength > limit {
		// Many callers read no answer before they have sent their body.
		if _, err := io.CopyN(io.Discard, r.Body, limit+1); err != nil {
			return nil, 0, fmt.Errorf("read body: %w", err)
		}
		return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("body of %d bytes, at most %d are taken", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, 0, nil
	}
	in := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(in, body)
	} else {
		body, err = io.ReadAll(in)
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
