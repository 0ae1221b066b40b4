// Package oncall writes the log lines that on-call engineers read: JSON, one
// object a line, to standard output.
//
// # Usage
//
//	h := oncall.NewHandler(os.Stdout, now)
//	defer h.Close()
//	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
//
// Writing never blocks the part that logs: lines wait in a bounded queue, and
// lines of a rate above LinesPerSecond, or that find the queue full, are dropped
// and counted. Lines of warnings and errors have a part of the queue and of the
// rate to themselves, so that those of failed requests are the last to go. How
// many were dropped is logged once a second at most.
package oncall

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

// Bounds of the log.
const (
	LinesPerSecond  = 400 // of information; a request has one line
	AlarmsPerSecond = 400 // of warnings and errors, beside
	queueLines      = 1024
	flushBytes      = 16 << 10
	flushPause      = 100 * time.Millisecond // lines are written together
	dropsEvery      = time.Second
)

// Handler is an apex/log handler with a bounded queue.
type Handler struct {
	w   io.Writer
	now func() time.Time

	mu      sync.Mutex
	buf     []byte
	lines   int
	second  int64
	info    int // lines in this second
	alarms  int
	dropped int
	total   int64
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

var _ log.Handler = (*Handler)(nil)

// NewHandler returns a handler that writes to w.
func NewHandler(w io.Writer, now func() time.Time) *Handler {
	h := &Handler{w: w, now: now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go h.run()
	return h
}

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(e *log.Entry) error {
	line := encode(h.now(), e)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.admit(e.Level >= log.WarnLevel) {
		h.dropped++
		h.total++
		return nil
	}
	h.buf = append(h.buf, line...)
	h.lines++
	select {
	case h.wake <- struct{}{}:
	default:
	}
	return nil
}

// admit reports whether a line may enter the queue. Callers hold mu.
func (h *Handler) admit(alarm bool) bool {
	if s := h.now().Unix(); s != h.second {
		h.second, h.info, h.alarms = s, 0, 0
	}
	if alarm {
		h.alarms++
		return h.alarms <= AlarmsPerSecond && h.lines < queueLines
	}
	h.info++
	return h.info <= LinesPerSecond && h.lines < queueLines/2
}

// Dropped returns the number of lines dropped so far.
func (h *Handler) Dropped() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

func (h *Handler) run() {
	defer close(h.done)
	told := h.now()
	var out []byte
	for range h.wake {
		time.Sleep(flushPause)
		h.mu.Lock()
		out, h.buf = h.buf, out[:0]
		h.lines = 0
		if h.dropped > 0 && h.now().Sub(told) >= dropsEvery {
			out = append(out, encode(h.now(), &log.Entry{Level: log.WarnLevel, Message: "log lines dropped", Fields: log.Fields{"count": h.dropped}})...)
			h.dropped, told = 0, h.now()
		}
		closed := h.closed
		h.mu.Unlock()
		_, _ = h.w.Write(out) // there is nowhere to tell that standard output is gone
		if cap(out) > 4*flushBytes {
			out = nil
		}
		if closed {
			return
		}
	}
}

// Close writes what waits and stops.
func (h *Handler) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
	<-h.done
}

func encode(now time.Time, e *log.Entry) []byte {
	m := make(map[string]any, len(e.Fields)+3)
	for k, v := range e.Fields {
		if err, ok := v.(error); ok {
			v = err.Error()
		}
		m[k] = v
	}
	m["time"], m["level"], m["message"] = now.UTC().Format("2006-01-02T15:04:05.000Z"), e.Level.String(), e.Message
	line, err := json.Marshal(m)
	if err != nil {
		line = []byte(`{"level":"error","message":"a log line could not be encoded"}`)
	}
	return append(line, '\n')
}
