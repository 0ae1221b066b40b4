package ingress

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Ending is how a request to a backend server ended here.
type Ending struct {
	// Complete is set if the server works on the request no longer: its response was read to
	// the end or rejected the request, or the request never reached it.
	Complete bool
	Took     time.Duration // since the request was sent; 0: it was not
	Left     time.Duration // until the deadline that the server was given
}

// sentRequest is a request that is sent to a backend server.
type sentRequest struct {
	at        time.Time
	deadline  time.Time
	connected bool             // it may have reached the server
	response  *backendResponse // nil: none has begun
}

// startSending returns the record of a request that is sent to a server now.
func (x *exchange) startSending() *sentRequest {
	return &sentRequest{at: x.server.cfg.Timer.Now(), deadline: x.deadline}
}

// releaseSent releases the assignment of a request that was sent.
func (x *exchange) releaseSent(a Assignment, sent *sentRequest) {
	now := x.server.cfg.Timer.Now()
	e := Ending{Took: now.Sub(sent.at), Left: sent.deadline.Add(deadlineMargin).Sub(now)}
	if br := sent.response; br != nil {
		e.Complete = br.ended()
	} else {
		e.Complete = !sent.connected
	}
	x.server.dispatcher.Release(a, e)
}

// ended reports whether the server works on the request no longer.
func (br *backendResponse) ended() bool { return br.rejected || br.body.ended }

// trackedBody is the body of a response that records its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
	// crashed reports whether the server's process has ended. It is set for a body that ends
	// with its connection: that of a process that was killed is closed in order, too.
	crashed func() bool
}

// Read implements io.Reader. A body that was cut off by the end of its server's process ends
// with io.ErrUnexpectedEOF.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.crashed != nil && b.crashed() {
		return n, fmt.Errorf("server ended before its response without a length: %w", io.ErrUnexpectedEOF)
	}
	b.ended, b.crashed = true, nil
	return n, err
}

// endsWithConnection reports whether only the end of its connection shows where a response's
// body ends.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
