package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Sizes of relayed responses.
const (
	maxBufferedBytes = 256 << 10 // a response up to this size is read completely before any of it is relayed
	relayChunkBytes  = 8 << 10
	maxEventBytes    = 1 << 20 // a larger event breaks its stream off
)

var chunkPool = sync.Pool{New: func() any { b := make([]byte, relayChunkBytes); return &b }}

// relay passes a response on to the caller. It returns false if the request is to
// be retried.
func (x *exchange) relay(a Assignment, br *backendResponse) bool {
	if status := br.resp.StatusCode; !x.route.Repeatable() && platform.PromisesNotRun(status) {
		// The server does not state that the request has not run, but its caller would take
		// the status for that.
		x.respondUnstated(a, status)
		return true
	}
	if x.timeToFirstByte == 0 {
		x.timeToFirstByte = x.server.cfg.Timer.Now().Sub(x.start)
	}
	if x.isStream(br.resp) {
		return x.relayStream(a, br)
	}
	return x.relayBuffered(a, br)
}

func (x *exchange) isStream(resp *http.Response) bool {
	if x.route.Kind != chestnutstream.RouteStreaming {
		return false
	}
	return resp.StatusCode == http.StatusOK || resp.StatusCode/100 == 2 && isEventStream(resp.Header)
}

// relayBuffered reads the response, up to maxBufferedBytes, before it relays it, so
// that the request can be retried, or reported as failed, if the response breaks off.
func (x *exchange) relayBuffered(a Assignment, br *backendResponse) bool {
	held, err := x.holdBack(br.resp)
	if aborted := x.aborted(); err != nil && aborted != nil {
		x.respondUnplaced(aborted) // the server is not at fault
		return true
	}
	if err != nil {
		x.reason = fmt.Sprintf("%s: answer broke off: %v", a.Server.ID, err)
		if a.Peer == "" {
			x.server.dispatcher.RecordResult(a, x.header.Target, Result{Outcome: fleet.Failed})
			x.avoid[a.Server.ID] = true
		}
		if x.r.Context().Err() != nil {
			x.status = statusCallerClosed
			return true
		}
		x.recordBroken(a, chestnutstream.ResponseBegun, err)
		if x.mayRetry() {
			return false
		}
		x.respondFailed(fmt.Errorf("%s", x.reason))
		return true
	}
	if br.resp.StatusCode < http.StatusMultipleChoices {
		x.recordSurvival(a)
	}
	if a.Peer == "" && br.resp.StatusCode >= http.StatusInternalServerError && x.mayRetry() && x.server.dispatcher.AllowRetry(x.service) {
		// The server itself failed. Its response is relayed if the retry on
		// another server fails.
		return x.relayRetry(a, br, held)
	}
	x.writeResponse(br.resp, held)
	return true
}

// relayRetry handles a server error as the response to a repeatable request. It
// sends the request to another server, and relays the first response (br and first)
// if that fails, too. It returns false if a stream of that server is to be resumed.
func (x *exchange) relayRetry(a Assignment, br *backendResponse, first heldResponse) bool {
	x.avoid[a.Server.ID] = true
	ctx, cancel := x.waitContext()
	next, err := x.server.dispatcher.Place(ctx, x.placement(time.Time{}))
	cancel()
	if err != nil {
		x.writeResponse(br.resp, first)
		return true
	}
	sent := x.startSending()
	defer x.releaseSent(next, sent)
	x.recordSend(next)
	second, connected, err := x.send(next, "", 0)
	sent.response, sent.connected = second, connected
	took := x.server.cfg.Timer.Now().Sub(sent.at)
	if err != nil {
		x.server.dispatcher.RecordResult(next, x.header.Target, Result{Took: took, Outcome: x.sendOutcome(connected, err)})
		x.recordBroken(next, chestnutstream.ResponseNone, err)
		x.writeResponse(br.resp, first)
		return true
	}
	defer second.close()
	r := x.result(next, second, took)
	if r.Outcome == fleet.Responded && x.isStream(second.resp) {
		if next.Peer != "" {
			return x.checkForwarded(next, second, took)
		}
		return x.checkResponse(next, second, took)
	}
	held, err := x.holdBack(second.resp)
	if err != nil || r.Outcome != fleet.Responded {
		switch {
		case x.aborted() != nil:
			r.Outcome = fleet.Inconclusive
		case r.Outcome == fleet.Responded:
			r.Outcome = fleet.Failed
		}
		x.server.dispatcher.RecordResult(next, x.header.Target, r)
		x.recordBroken(next, chestnutstream.ResponseBegun, err)
		x.writeResponse(br.resp, first)
		return true
	}
	x.server.dispatcher.RecordResult(next, x.header.Target, r)
	x.writeResponse(second.resp, held)
	return true
}

// writeResponse relays a response whose beginning is held back. A remainder is copied as it
// arrives.
func (x *exchange) writeResponse(resp *http.Response, held heldResponse) {
	x.copyHeader(resp)
	if h := x.w.Header(); resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	} else {
		h.Set("Transfer-Encoding", "chunked") // else net/http states a length, which the server has not
	}
	x.status = resp.StatusCode
	x.responseStarted.Store(true)
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(held.body); err != nil {
		x.reason = "caller: " + err.Error()
		return
	}
	if held.complete {
		return
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		x.reason = "answer broke off: " + err.Error()
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) copyHeader(resp *http.Response) {
	h := x.w.Header()
	for name, values := range platform.ResponseHeader(resp.Header) {
		h[name] = values
	}
	removeForwardHeaders(h)
	x.setForwardedResponse("")
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from detecting one
	}
}

// stream is the state of a relayed stream.
type stream struct {
	lastID      string    // of the last event with data that was relayed; "": it has none
	partial     []byte    // beginning of the next event
	events      int       // complete events from the present server
	resumed     bool      // the caller has the header of an earlier server's response
	joined      bool      // the present server's response goes on with the stream
	eventSent   bool      // an event was relayed
	hasEvents   bool      // one of the relayed events has a field: they are no text
	lastEventAt time.Time // when the newest complete event arrived
}

// takesUpStream reports whether the request continues a stream that the caller received
// in part from an earlier request.
func (x *exchange) takesUpStream() bool {
	return x.header.LastEventID != "" && x.route != nil && x.route.Kind == chestnutstream.RouteStreaming
}

// lastEventID returns the id of the event after which a server is to resume, "" for
// a request that starts at the beginning.
func (x *exchange) lastEventID() string {
	if x.stream == nil {
		return x.header.LastEventID
	}
	return x.stream.lastID
}

// relayStream relays complete events as they arrive. A stream that breaks off is
// resumed on another server if its route allows it.
func (x *exchange) relayStream(a Assignment, br *backendResponse) bool {
	flusher := http.NewResponseController(x.w)
	if x.stream != nil {
		x.stream.resumed = true
	} else {
		x.stream = &stream{}
		x.copyHeader(br.resp)
		x.status = br.resp.StatusCode
		x.responseStarted.Store(true)
		x.w.WriteHeader(br.resp.StatusCode)
	}
	x.stream.partial, x.stream.events, x.stream.joined = x.stream.partial[:0], 0, !x.stream.resumed
	buf := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(buf)
	stall := x.watchStall(a, br.cancel)
	defer stall.stop()
	for {
		n, err := br.resp.Body.Read(*buf)
		stall.recordRead(x.server.cfg.Timer.Now())
		if n > 0 {
			badEvent, writeErr := x.relayEvents(a, (*buf)[:n])
			if writeErr == nil {
				writeErr = flusher.Flush()
			}
			if writeErr != nil {
				x.status, x.reason = statusCallerClosed, "caller: "+writeErr.Error()
				return true
			}
			if badEvent != nil {
				return x.streamFailed(a, badEvent)
			}
		}
		if err == io.EOF {
			if early := x.stream.earlyEnd(br.resp); early != nil {
				return x.streamFailed(a, early)
			}
			if x.maxPause <= x.route.TargetGap && a.Peer == "" {
				x.server.dispatcher.RecordPause(a, x.maxPause)
			}
			if x.stream.events > 0 && x.stream.progress() == chestnutstream.ResponseBegun {
				x.recordSurvival(a)
			}
			return x.relayRemainder()
		}
		if err != nil {
			return x.streamFailed(a, err)
		}
	}
}

// recordPause records a pause between two events. The first one that is too long is
// reported at once, because the stream may continue for seconds.
func (x *exchange) recordPause(a Assignment, pause time.Duration) {
	allowed := x.route.TargetGap
	if a.Peer == "" && allowed > 0 && x.maxPause <= allowed && pause > allowed {
		x.server.dispatcher.RecordPause(a, pause)
	}
	x.maxPause = max(x.maxPause, pause)
}

// relayEvents takes the next bytes of a stream and relays complete events. It stops at one
// that cannot be relayed, with badEvent, or at an error of the caller's connection.
func (x *exchange) relayEvents(a Assignment, b []byte) (badEvent, writeErr error) {
	s := x.stream
	searched := len(s.partial)
	s.partial = append(s.partial, b...)
	if !x.reservePartial(int64(cap(s.partial))) {
		return fmt.Errorf("event of more than %d bytes: %w", len(s.partial), errNoRoom), nil
	}
	end := eventsEnd(s.partial, searched)
	if end == 0 {
		if len(s.partial) >= maxEventBytes {
			return fmt.Errorf("event of %d bytes exceeds the size limit", len(s.partial)), nil
		}
		return nil, nil
	}
	whole, n, badEvent := s.accept(s.partial[:end])
	if len(whole) == 0 {
		return badEvent, nil
	}
	x.countEvents(a, n)
	now := x.server.cfg.Timer.Now()
	if s.eventSent {
		x.recordPause(a, now.Sub(s.lastEventAt))
	}
	s.eventSent, s.lastEventAt = true, now
	x.recordBeginning(a)
	_, err := x.w.Write(whole)
	s.partial = append(s.partial[:0], s.partial[end:]...)
	if err != nil {
		return nil, fmt.Errorf("write: %w", err)
	}
	return badEvent, nil
}

// accept returns those of some complete events that go on with the stream, their number, and
// an error if one does not.
func (s *stream) accept(events []byte) (accepted []byte, n int, err error) {
	if s.events == 0 && s.resumed {
		events = bytes.TrimPrefix(events, byteOrderMark) // allowed only where a stream begins
	}
	for accepted = events[:0]; len(accepted) < len(events); {
		event := events[len(accepted):]
		if end := eventEnd(event); end > 0 { // the rest may be a blank line
			event = event[:end]
		}
		if err := s.follow(event); err != nil {
			return accepted, n, err
		}
		if len(bytes.Trim(event, "\r\n")) > 0 {
			n++
		}
		accepted = events[:len(accepted)+len(event)]
	}
	return accepted, n, nil
}

// follow checks that an event goes on with the stream. IDs may have gaps but increase. The
// first event of a server that resumes has one, and text is no event; only a response that
// has no event at all may be text.
func (s *stream) follow(event []byte) error {
	event = bytes.TrimPrefix(event, byteOrderMark)
	id := eventID(event)
	hasData := id != "" || hasField(event, "data")
	isEvent := hasData || hasField(event, eventFields...)
	switch {
	case len(bytes.TrimSpace(event)) == 0:
		return nil
	case (s.lastID != "" || !s.joined) && !isEvent:
		return fmt.Errorf("no event: %.40q", event)
	case hasData && containsHead(event):
		return fmt.Errorf("text inside an event: %.40q", event)
	case s.lastID != "" && (id == "" && hasData && !s.joined || id != "" && !increases(s.lastID, id)):
		return fmt.Errorf("event %.40q after %q", id, s.lastID)
	}
	if hasData {
		s.lastID, s.joined = id, true
	}
	s.hasEvents = s.hasEvents || isEvent
	return nil
}

// recordBeginning records which software version began the stream, when the caller gets
// its first event.
func (x *exchange) recordBeginning(a Assignment) {
	if !x.continues {
		x.continues, x.streamSoftware = true, a.Server.Software
	}
}

// countEvents counts the events of a server's response, and records when it got under
// way.
func (x *exchange) countEvents(a Assignment, n int) {
	before := x.stream.progress()
	x.stream.events += n
	if x.stream.progress() != before {
		x.recordSurvival(a)
	}
}

// relayRemainder relays a body without events.
func (x *exchange) relayRemainder() bool {
	if len(x.stream.partial) > 0 {
		if _, err := x.w.Write(x.stream.partial); err != nil {
			x.reason = "caller: " + err.Error()
		}
	}
	return true
}

func (x *exchange) streamFailed(a Assignment, err error) bool {
	x.reason = fmt.Sprintf("%s: stream broke off after event %q: %v", a.Server.ID, x.stream.lastID, err)
	if x.r.Context().Err() != nil {
		x.status = statusCallerClosed
		return true
	}
	if a.Peer == "" {
		x.server.dispatcher.RecordResult(a, x.header.Target, Result{Outcome: fleet.Failed})
		x.avoid[a.Server.ID] = true
	}
	x.recordBroken(a, x.stream.progress(), err)
	if x.mayRetry() && (x.stream.lastID != "" || !x.stream.eventSent) {
		return false
	}
	x.status = statusFailed
	panic(http.ErrAbortHandler)
}
