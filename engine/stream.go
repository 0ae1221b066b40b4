package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/timer"
)

// endMarker is the data of the last event of a complete stream.
const endMarker = "[DONE]"

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// StallSettings determines when a stream without events counts as stalled.
type StallSettings struct {
	Floor  time.Duration // minimum threshold
	Ceil   time.Duration // maximum threshold, and the threshold before any gap was observed
	Factor float64       // threshold as a multiple of the largest recent gap between events
}

// DefaultStallSettings returns the default settings.
func DefaultStallSettings() StallSettings {
	return StallSettings{Floor: 400 * time.Millisecond, Ceil: 2 * time.Second, Factor: 6}
}

// GapEstimator tracks the largest recent gap between two events of an engine's
// streams. The maximum decays, so that a slow period of a minute is forgotten.
type GapEstimator struct {
	mu  sync.Mutex
	max time.Duration
}

// gapDecay is the factor that each smaller gap applies to the maximum.
const gapDecay = 0.999

// Observe records a gap between two events.
func (g *GapEstimator) Observe(gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.max = max(gap, time.Duration(float64(g.max)*gapDecay))
}

// Threshold returns how long to wait for the next event before the stream
// counts as stalled.
func (g *GapEstimator) Threshold(s StallSettings) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.max == 0 {
		return s.Ceil
	}
	return min(s.Ceil, max(s.Floor, time.Duration(s.Factor*float64(g.max))))
}

// streamCursor is the state of one stream: the next expected offset, and
// whether the end marker was received. Events below the offset are duplicates
// and dropped; one above it is a gap and ends the connection, not the stream.
type streamCursor struct {
	next int
	done bool
}

// verdict is a cursor's classification of an event.
type verdict string

const (
	accept    verdict = "accept"
	duplicate verdict = "duplicate"
	gap       verdict = "gap"
	finished  verdict = "finished"
)

// step classifies the event at offset and advances the cursor.
func (c *streamCursor) step(offset int, end bool) verdict {
	switch {
	case c.done || offset < c.next:
		return duplicate
	case offset > c.next:
		return gap
	case end:
		c.done = true
		return finished
	default:
		c.next++
		return accept
	}
}

// emitError wraps an error of the emit callback.
type emitError struct{ err error }

func (e *emitError) Error() string { return e.err.Error() }
func (e *emitError) Unwrap() error { return e.err }

// errStalled ends a connection that received no event within the threshold. It
// is also returned for other faults after which the stream can be resumed.
var errStalled = errors.New("stream stalled")

// Generate implements chestnutstream.Generator. A connection that breaks or
// stalls is abandoned, and the stream is resumed from its offset on a new one.
// Generate returns nil only after the end marker. DidNotRun tells whether the
// request of a failed call did not run.
func (c *Client) Generate(ctx context.Context, address string, g chestnutstream.Generation, emit func(chestnutstream.Chunk) error) error {
	cur := &streamCursor{}
	sent := false
	gaps := c.gapEstimator(address)
	var before error // of the connection before
	for attempt := 0; ; attempt++ {
		err := c.openConnection(ctx, address, g, cur, &sent, gaps, emit)
		if err == nil {
			return nil
		}
		if !sent {
			return fmt.Errorf("generate on %s: %w: %w", address, ErrNotSent, err)
		}
		var refused *RefusedError
		if attempt > 0 && errors.As(err, &refused) {
			err = fmt.Errorf("%w: %w", ErrStreamLost, err) // the first send may have run
		}
		var emitErr *emitError
		if errors.As(err, &emitErr) || ctx.Err() != nil {
			c.cancel(address, g.RequestID)
			if before != nil {
				return fmt.Errorf("generate on %s: %w, after %w", address, err, before)
			}
			return fmt.Errorf("generate on %s: %w", address, err)
		}
		if endsStream(err, cur) || attempt >= maxResumes {
			return fmt.Errorf("generate on %s after %d chunks: %w", address, cur.next, err)
		}
		before = err
		if attempt > 0 {
			timer.Sleep(ctx, resumePause<<min(attempt, 5))
		}
	}
}

// maxResumes limits how often one stream is resumed.
const maxResumes = 8

// endsStream reports whether err ends the stream and not only its connection.
func endsStream(err error, cur *streamCursor) bool {
	var refused *RefusedError
	return errors.As(err, &refused) || cur.done
}

// openConnection opens one connection of a stream: the first sends the request,
// later ones request the remaining events. If a later one finds the stream
// unknown and nothing of it was received, the first request never arrived, or the
// engine has restarted, and it is sent again.
func (c *Client) openConnection(ctx context.Context, address string, g chestnutstream.Generation,
	cur *streamCursor, sent *bool, gaps *GapEstimator, emit func(chestnutstream.Chunk) error,
) error {
	if *sent {
		err := c.receive(ctx, resumeRequest(address, g, cur.next), cur, nil, gaps, emit)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Status != http.StatusNotFound || cur.next > 0 {
			return err
		}
	}
	err := c.receive(ctx, firstRequest(address, g), cur, sent, gaps, emit)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Code == "request-id-in-use" {
		return errStalled // our earlier request did arrive: resume it
	}
	return err
}

func firstRequest(address string, g chestnutstream.Generation) func(context.Context) (*http.Request, error) {
	return func(ctx context.Context) (*http.Request, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+g.Path, bytes.NewReader(g.Body))
		if err != nil {
			return nil, err
		}
		req.GetBody = nil
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Request-Id", g.RequestID)
		req.Header.Set("Priority", strconv.Itoa(g.Priority))
		return req, nil
	}
}

func resumeRequest(address string, g chestnutstream.Generation, from int) func(context.Context) (*http.Request, error) {
	return func(ctx context.Context) (*http.Request, error) {
		url := fmt.Sprintf("http://%s/v1/streams/%s?from=%d", address, g.RequestID, from)
		return http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	}
}

// receive sends one request and passes on the events of its response. It sets
// sent, unless nil, when the request is handed to a connection.
func (c *Client) receive(ctx context.Context, build func(context.Context) (*http.Request, error),
	cur *streamCursor, sent *bool, gaps *GapEstimator, emit func(chestnutstream.Chunk) error,
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if sent != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *sent = true }})
	}
	req, err := build(ctx)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	resp, err := c.generations.Do(req)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return parseRefusal(resp)
	}
	wait := gaps.Threshold(c.stall)
	watchdog := time.AfterFunc(wait, func() { cancel(errStalled) })
	defer watchdog.Stop()
	return readEvents(resp.Body, cur, emit, func(gap time.Duration, first bool) {
		if !first {
			gaps.Observe(gap)
		}
		watchdog.Reset(gaps.Threshold(c.stall))
	})
}

// readEvents passes the events of one connection through the cursor to emit.
func readEvents(body io.Reader, cur *streamCursor, emit func(chestnutstream.Chunk) error, progress func(time.Duration, bool)) error {
	last := time.Now()
	first := true
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("read stream: %w", err)
		}
		now := time.Now()
		progress(now.Sub(last), first)
		last, first = now, false
		offset, err := strconv.Atoi(ev.LastEventID)
		if err != nil {
			return fmt.Errorf("event id %.20q: want an offset", ev.LastEventID)
		}
		switch cur.step(offset, ev.Data == endMarker) {
		case finished:
			return nil
		case gap:
			return fmt.Errorf("event %d after %d: %w", offset, cur.next, errStalled)
		case accept:
			if err := emit(chestnutstream.Chunk{Offset: offset, Data: []byte(ev.Data)}); err != nil {
				return &emitError{err}
			}
		case duplicate:
		}
	}
	return fmt.Errorf("no end marker after %d events: %w", cur.next, io.ErrUnexpectedEOF)
}

// cancel notifies the engine, in the background, that the stream is no longer
// needed.
func (c *Client) cancel(address, requestID string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+"/v1/streams/"+requestID, http.NoBody)
		if err != nil {
			return
		}
		if resp, err := c.orders.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
}
