package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// BackendFaults are the faults that a Backend injects; SetFaults replaces them
// at run time.
type BackendFaults struct {
	FailEvery      int // every n-th request fails with status 500; 0 for none
	MisdirectEvery int // every n-th request runs and gets status 421, without a statement and signature; 0 for none
	Hang           bool
	BreakAfter     int  // number of events after which a stream is aborted; 0 for never
	EndEarlyEvery  int  // every n-th stream ends in order inside an event, in each framing in turn; 0 for none
	Unframed       bool // streams have no length, and end with their connection
	MalformedEvery int  // every n-th request that runs gets a response with a malformed head; 0 for none
	LoseOrderEvery int  // every n-th order gets no response and is not executed; 0 for none

	// The process ends when it begins to respond to a prompt with the part CrashPart, for
	// the adapter CrashAdapter, or to a request with the path CrashPath, and while it loads
	// the adapter or model CrashLoad. These have an effect only where OnCrash is set.
	CrashPart, CrashAdapter, CrashPath, CrashLoad string

	Pace     string  // sent in responses as the fourth number of the server's load; empty for none
	Slowdown float64 // factor of the duration of work; 0 for none
	Limit    string  // requests per second, sent in responses as the server's limit; empty for none
	Leaving  bool    // responses announce that the server is leaving
	// Brittle makes the process end when it rejects more than this many requests in a second
	// because it is full; responses say so. 0 for a sturdy server. A crash needs OnCrash.
	Brittle int
	// FinishAbandoned makes the server finish a request whose caller has closed the connection,
	// within the request's deadline. Otherwise it drops the request.
	FinishAbandoned bool
	Pause           float64 // seconds: requests are refused with this Retry-After; 0 for none

	// Every n-th request that could run is rejected, by an engine as if its adapter were
	// not loaded. 0 for none.
	RejectEvery int
	// Every n-th request that runs on a connection whose previous response was a rejection
	// is preceded by a second copy of that rejection. 0 for none. It has an effect only on
	// connections of Server.
	RepeatRejections int
}

// signalsBackpressure reports whether a fault makes responses signal backpressure.
func (f BackendFaults) signalsBackpressure() bool { return f.Limit != "" || f.Leaving || f.Pause > 0 }

// SetFaults replaces the faults in force and clears ArrivalsUnderBackpressure.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults, b.counts.ArrivalsUnderBackpressure = f, nil
}

// crashesOn reports whether the process ends when it begins to respond to a request.
func (f BackendFaults) crashesOn(r *http.Request) bool {
	if _, adapter, _ := strings.Cut(r.Header.Get("X-Chestnutstream-Model"), "/"); f.CrashAdapter != "" && adapter == f.CrashAdapter {
		return true
	}
	if f.CrashPath != "" && r.URL.Path == f.CrashPath {
		return true
	}
	if f.CrashPart == "" {
		return false
	}
	parts := strings.Split(r.Header.Get("X-Chestnutstream-Prefix-Hash"), ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool {
		return strings.HasPrefix(part, f.CrashPart+":")
	})
}

// serviceTime returns how long work takes that usually takes d.
func (f BackendFaults) serviceTime(d time.Duration) time.Duration {
	if f.Slowdown <= 0 {
		return d
	}
	return time.Duration(f.Slowdown * float64(d))
}

// setHeaders sets the pace and the backpressure headers of a response.
func (f BackendFaults) setHeaders(h http.Header) {
	if f.Pace != "" {
		h.Set("X-Chestnutstream-Server-Load", h.Get("X-Chestnutstream-Server-Load")+","+f.Pace)
	}
	if f.Limit != "" {
		h.Set("X-Chestnutstream-Server-Limit", f.Limit)
	}
	if f.Brittle > 0 {
		h.Set("X-Chestnutstream-Server-Brittle", strconv.Itoa(f.Brittle))
	}
	if f.Leaving {
		h.Set("X-Chestnutstream-Server-Leaving", "1")
	}
	if f.Pause > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.Pause, 'f', -1, 64))
	}
}

// runContext returns the context in which a request runs. It ends at the request's deadline
// and, unless the server finishes what is abandoned, when its caller closes the connection.
func (b *Backend) runContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	b.mu.Lock()
	finish := b.faults.FinishAbandoned
	b.mu.Unlock()
	if finish {
		ctx = context.WithoutCancel(ctx)
	}
	ms, err := strconv.Atoi(r.Header.Get("X-Chestnutstream-Deadline-Ms"))
	if err != nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// failure returns the status with which a request that runs is to end; 0: it does not fail.
func (b *Backend) failure(f BackendFaults, fail bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case fail:
		return http.StatusInternalServerError
	case f.MisdirectEvery > 0 && b.served%f.MisdirectEvery == 0:
		b.counts.Misdirected++
		return http.StatusMisdirectedRequest
	}
	return 0
}

// endsEarly reports whether the next stream is to end inside an event, and its number among
// those that do, from 0 on.
func (b *Backend) endsEarly(f BackendFaults) (n int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams++
	if f.EndEarlyEvery == 0 || b.streams%f.EndEarlyEvery != 0 {
		return 0, false
	}
	b.counts.EarlyEnds++
	return b.counts.EarlyEnds - 1, true
}

const (
	earlyEndFramings  = 3 // with the connection, a stated length, chunks
	maxEarlyEndEvents = 3 // whole events of a stream that ends early are fewer
	earlyEndStep      = 7 // bytes between the ends of two such streams
)

// endEarly writes the n-th stream that ends inside an event. Its framing, its number of whole
// events and the byte at which it ends change with n.
func (b *Backend) endEarly(w http.ResponseWriter, r *http.Request, from, n int) {
	model := r.Header.Get("X-Chestnutstream-Model")
	last := min(from+n/earlyEndFramings%maxEarlyEndEvents, b.cfg.Events)
	body := ""
	for i := from; i < last; i++ {
		body += b.event(i, model)
	}
	event := b.event(last, model)
	body += event[:1+n*earlyEndStep%(len(event)-1)]
	switch n % earlyEndFramings {
	case 0:
		w.Header().Set("Transfer-Encoding", "identity") // without a length
	case 1:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	_ = http.NewResponseController(w).Flush()
	_, _ = io.WriteString(w, body)
}

// malformedHeads are the beginnings of heads that are those of no response.
var malformedHeads = []string{
	"HTTP/1.1 000 Trouble\r\nContent-Length: 4",
	"HTTP/1.1 600 Trouble\r\nContent-Length: 4",
	"HTTP/1.1 101 Switching Protocols\r\nContent-Length: 4",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4",
	"HTTP/1.1 200 OK\r\nContent-Length : 4",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
}

// malformed reports whether the next response is to have a malformed head, and which one.
func (b *Backend) malformed(f BackendFaults) (head string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.MalformedEvery == 0 || b.served%f.MalformedEvery != 0 {
		return "", false
	}
	b.counts.Malformed++
	return malformedHeads[(b.counts.Malformed-1)%len(malformedHeads)], true
}

// writeMalformed writes a response that begins with a malformed head, and ends its connection.
func writeMalformed(w http.ResponseWriter, head string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	var fields bytes.Buffer
	_ = w.Header().Write(&fields) // a Buffer returns no error
	_, _ = io.WriteString(conn, head+"\r\n"+fields.String()+"\r\n4\r\noops\r\n0\r\n\r\n")
}
