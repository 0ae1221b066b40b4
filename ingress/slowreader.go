package ingress

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// A caller that does not read its response blocks the goroutine that writes it, and with it
// the connection to the server, the server's place for the request, and the memory that
// holds the response. After Settings.CallerStallTimeout without progress the caller is
// disconnected, and the server is told by the end of its connection. Other callers are not
// affected: each response has its own goroutine and its own limit.

// errCallerStalled is returned by writes to a caller that has read nothing for too long.
var errCallerStalled = errors.New("the caller does not read its response")

// stallLimitedWriter is a ResponseWriter whose writes fail when the caller has taken none
// of their bytes for a timeout.
type stallLimitedWriter struct {
	http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	stalled func()
}

// limitStall returns a writer that applies Settings.CallerStallTimeout to w.
func (s *Server) limitStall(w http.ResponseWriter) http.ResponseWriter {
	if s.cfg.CallerStallTimeout <= 0 {
		return w
	}
	limited := &stallLimitedWriter{
		ResponseWriter: w, rc: http.NewResponseController(w), timeout: s.cfg.CallerStallTimeout,
		stalled: s.cfg.Metrics.GetOrCreateCounter(`chestnutstream_stalled_callers_total`).Inc,
	}
	limited.extend() // also for what net/http writes itself, such as 100 Continue
	return limited
}

// unlimited returns the writer that w applies a limit to, by which net/http recognizes its
// own.
func unlimited(w http.ResponseWriter) http.ResponseWriter {
	if limited, ok := w.(*stallLimitedWriter); ok {
		return limited.ResponseWriter
	}
	return w
}

// extend sets the time limit of the next write. The limit of the previous write, or of the
// previous request on the connection, does not apply to it.
func (w *stallLimitedWriter) extend() {
	// The connection cannot be given a limit only if it has been hijacked or closed, and the
	// write then reports that.
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.timeout))
}

// Write implements http.ResponseWriter.
func (w *stallLimitedWriter) Write(b []byte) (int, error) {
	w.extend()
	n, err := w.ResponseWriter.Write(b)
	return n, w.describe(err)
}

// FlushError flushes what was written, as http.ResponseController does.
func (w *stallLimitedWriter) FlushError() error {
	w.extend()
	return w.describe(w.rc.Flush())
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *stallLimitedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *stallLimitedWriter) describe(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	w.stalled()
	return fmt.Errorf("%w: nothing for %v", errCallerStalled, w.timeout)
}
