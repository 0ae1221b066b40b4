package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Sizes of relayed answers, in bytes.
const (
	wholeMost  = 256 << 10 // an answer up to this size is read whole before a byte of it goes out
	relayChunk = 8 << 10
	eventMost  = 1 << 20 // an event that is larger is none: it breaks its stream off
)

var errLongEvent = errors.New("an event has no end")

var chunks = sync.Pool{New: func() any { b := make([]byte, relayChunk); return &b }}

// relay passes an answer on.
func (x *exchange) relay(p Placed, a *sent) bool {
	if x.first == 0 {
		x.first = x.server.cfg.Timer.Now().Sub(x.began)
	}
	if x.route.Kind == chestnutstream.RouteStreaming && a.resp.StatusCode == http.StatusOK {
		return x.relayStream(p, a)
	}
	return x.relayWhole(p, a)
}

// relayWhole reads an answer whole, so that one that breaks off can be asked for
// again, or told truthfully.
func (x *exchange) relayWhole(p Placed, a *sent) bool {
	body, err := readWhole(a.resp)
	if err != nil {
		x.reason = fmt.Sprintf("%s: answer broke off: %v", p.Server.ID, err)
		x.server.dispatcher.Answered(p, x.header.Target, Result{Outcome: fleet.Failed})
		x.avoid[p.Server.ID] = true
		if x.r.Context().Err() != nil {
			x.status = statusClientGone
			return true
		}
		if x.mayRepeat() {
			return false
		}
		x.fail(fmt.Errorf("%s", x.reason))
		return true
	}
	if a.resp.StatusCode >= http.StatusInternalServerError && x.mayRepeat() && x.server.dispatcher.Again(x.service) {
		// The server's own failure, kept in case that no other one does better.
		return x.relayBetter(p, a, body)
	}
	x.writeWhole(a.resp, body)
	return true
}

// readWhole reads an answer up to wholeMost, and one byte more of a longer one,
// whose rest stays to be read.
func readWhole(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeMost+1))
	if err != nil {
		return body, fmt.Errorf("read answer: %w", err)
	}
	return body, nil
}

// relayBetter asks another server after one has failed a repeatable request,
// and passes the first answer on when that brings nothing.
func (x *exchange) relayBetter(p Placed, a *sent, body []byte) bool {
	x.avoid[p.Server.ID] = true
	next, err := x.server.dispatcher.Place(x.ctx, x.placement(time.Time{}))
	if err != nil {
		x.writeWhole(a.resp, body)
		return true
	}
	defer x.server.dispatcher.Done(next)
	began := x.server.cfg.Timer.Now()
	x.sends++
	x.servers = append(x.servers, next.Server.ID)
	b, handed, err := x.send(next, "", 0)
	took := x.server.cfg.Timer.Now().Sub(began)
	if err != nil {
		r := Result{Took: took, Outcome: fleet.Failed}
		if !handed {
			r.Outcome = fleet.Unreachable
		}
		x.server.dispatcher.Answered(next, x.header.Target, r)
		x.writeWhole(a.resp, body)
		return true
	}
	defer b.close()
	r := x.result(next, b.resp, took)
	better, err := readWhole(b.resp)
	if err != nil || r.Outcome != fleet.Answered {
		r.Outcome = fleet.Failed
		x.server.dispatcher.Answered(next, x.header.Target, r)
		x.writeWhole(a.resp, body)
		return true
	}
	x.server.dispatcher.Answered(next, x.header.Target, r)
	x.writeWhole(b.resp, better)
	return true
}

// writeWhole passes an answer on. Its part beyond wholeMost, if any, follows as
// it comes.
func (x *exchange) writeWhole(resp *http.Response, body []byte) {
	x.copyHeader(resp)
	h := x.w.Header()
	whole := len(body) <= wholeMost
	if whole && x.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.status, x.started = resp.StatusCode, true
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		x.reason = "caller: " + err.Error()
		return
	}
	if whole {
		return
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		x.reason = "answer broke off: " + err.Error()
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) copyHeader(resp *http.Response) {
	h := x.w.Header()
	for name, values := range platform.AnswerHeader(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the library guesses none then
	}
}

// stream is the state of a relayed stream: what has gone to the caller.
type stream struct {
	lastID  string    // of the last whole event that was passed on
	partial []byte    // the beginning of the next
	passed  bool      // something has gone to the caller
	at      time.Time // when the newest whole event came
}

// lastEvent returns the id after which another server is to go on, "" for a
// request that is sent from its beginning.
func (x *exchange) lastEvent() string {
	if x.stream == nil {
		return x.r.Header.Get("Last-Event-Id")
	}
	return x.stream.lastID
}

// relayStream passes whole events on as they come. A stream that breaks off is
// resumed at another server where its route allows it.
func (x *exchange) relayStream(p Placed, a *sent) bool {
	flusher := http.NewResponseController(x.w)
	if x.stream == nil {
		x.stream = &stream{}
		x.copyHeader(a.resp)
		x.status, x.started = a.resp.StatusCode, true
		x.w.WriteHeader(a.resp.StatusCode)
	}
	x.stream.partial = x.stream.partial[:0]
	buf := chunks.Get().(*[]byte)
	defer chunks.Put(buf)
	for {
		n, err := a.resp.Body.Read(*buf)
		if n > 0 {
			werr := x.pass(p, (*buf)[:n])
			if errors.Is(werr, errLongEvent) {
				return x.streamBroke(p, werr)
			}
			if werr != nil {
				x.status, x.reason = statusClientGone, "caller: "+werr.Error()
				return true
			}
			if ferr := flusher.Flush(); ferr != nil {
				x.status, x.reason = statusClientGone, "caller: "+ferr.Error()
				return true
			}
		}
		if err == io.EOF {
			if x.pause <= x.route.TargetGap {
				x.server.dispatcher.Streamed(p, x.pause)
			}
			return x.streamEnded()
		}
		if err != nil {
			return x.streamBroke(p, err)
		}
	}
}

// paused notes a pause between two events. The first that is too long is told at
// once: the stream may go on for seconds.
func (x *exchange) paused(p Placed, pause time.Duration) {
	allowed := x.route.TargetGap
	if allowed > 0 && x.pause <= allowed && pause > allowed {
		x.server.dispatcher.Streamed(p, pause)
	}
	x.pause = max(x.pause, pause)
}

// pass takes the next bytes of a stream and passes whole events on.
func (x *exchange) pass(p Placed, b []byte) error {
	s := x.stream
	s.partial = append(s.partial, b...)
	end := bytes.LastIndex(s.partial, []byte("\n\n"))
	if end < 0 {
		if len(s.partial) >= eventMost {
			return fmt.Errorf("%w: %d bytes", errLongEvent, len(s.partial))
		}
		return nil
	}
	whole := s.partial[:end+2]
	if id := lastID(whole); id != "" {
		s.lastID = id
	}
	now := x.server.cfg.Timer.Now()
	if s.passed {
		x.paused(p, now.Sub(s.at))
	}
	s.passed, s.at = true, now
	_, err := x.w.Write(whole)
	s.partial = append(s.partial[:0], s.partial[end+2:]...)
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		i++
	case bytes.HasPrefix(events, []byte("id:")):
		i = 0
	default:
		return ""
	}
	line := events[i+len("id:"):]
	if j := bytes.IndexByte(line, '\n'); j >= 0 {
		line = line[:j]
	}
	return string(bytes.TrimSpace(line))
}

// streamEnded passes on what stands behind the last whole event.
func (x *exchange) streamEnded() bool {
	if len(x.stream.partial) > 0 {
		if _, err := x.w.Write(x.stream.partial); err != nil {
			x.reason = "caller: " + err.Error()
		}
	}
	return true
}

func (x *exchange) streamBroke(p Placed, err error) bool {
	x.reason = fmt.Sprintf("%s: stream broke off after event %q: %v", p.Server.ID, x.stream.lastID, err)
	if x.r.Context().Err() != nil {
		x.status = statusClientGone
		return true
	}
	x.server.dispatcher.Answered(p, x.header.Target, Result{Outcome: fleet.Failed})
	x.avoid[p.Server.ID] = true
	if x.mayRepeat() && (x.stream.lastID != "" || !x.stream.passed) {
		return false
	}
	x.status = statusBroken
	panic(http.ErrAbortHandler)
}
