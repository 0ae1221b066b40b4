// Package oncall writes the log for on-call engineers: JSON, one object a line, to
// standard output.
//
// # Usage
//
//	h := oncall.NewHandler(os.Stdout, now)
//	defer h.Close()
//	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
//
// Logging never blocks: lines wait in a bounded queue. Lines that exceed a rate limit
// or find the queue full are dropped and counted. Warnings and errors have a separate
// rate limit and can use the whole queue, other lines only half of it, so that a flood
// of information does not displace the lines of failed requests. The number of
// dropped lines is logged at most once a second.
package oncall

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
)

// Limits of the log.
const (
	InfoLinesPerSecond    = 400 // limit below warning level; each request logs one line
	WarningLinesPerSecond = 400 // additional limit for warnings and errors
	maxQueuedLines        = 1024
	bufferBytes           = 16 << 10               // usual size of a buffer; much larger ones are not reused
	flushInterval         = 100 * time.Millisecond // lines that arrive within this time are written together
	dropReportInterval    = time.Second
)

// Handler is a log.Handler of apex/log with a bounded queue.
type Handler struct {
	w   io.Writer
	now func() time.Time

	mu           sync.Mutex
	queue        []byte // encoded lines not yet written
	queuedLines  int
	second       int64 // Unix time to which infoLines and warningLines belong
	infoLines    int
	warningLines int
	dropped      int // lines dropped since the last report
	droppedTotal int64
	wake         chan struct{}
	closed       bool
	done         chan struct{}
}

var _ log.Handler = (*Handler)(nil)

// NewHandler returns a handler that writes to w. now returns the current time.
func NewHandler(w io.Writer, now func() time.Time) *Handler {
	h := &Handler{w: w, now: now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go h.writeLoop()
	return h
}

// HandleLog implements log.Handler. It never blocks on output.
func (h *Handler) HandleLog(e *log.Entry) error {
	line := encode(h.now(), e)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || !h.admit(e.Level >= log.WarnLevel) {
		h.dropped++
		h.droppedTotal++
		return nil
	}
	h.queue = append(h.queue, line...)
	h.queuedLines++
	select {
	case h.wake <- struct{}{}:
	default:
	}
	return nil
}

// admit reports whether a line may enter the queue, and counts it. The caller must
// hold mu.
func (h *Handler) admit(warning bool) bool {
	if s := h.now().Unix(); s != h.second {
		h.second, h.infoLines, h.warningLines = s, 0, 0
	}
	if warning {
		h.warningLines++
		return h.warningLines <= WarningLinesPerSecond && h.queuedLines < maxQueuedLines
	}
	h.infoLines++
	return h.infoLines <= InfoLinesPerSecond && h.queuedLines < maxQueuedLines/2
}

// Dropped returns the number of lines dropped so far.
func (h *Handler) Dropped() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.droppedTotal
}

func (h *Handler) writeLoop() {
	defer close(h.done)
	lastReport := h.now()
	var out []byte
	for range h.wake {
		time.Sleep(flushInterval)
		h.mu.Lock()
		out, h.queue = h.queue, out[:0]
		h.queuedLines = 0
		if h.dropped > 0 && h.now().Sub(lastReport) >= dropReportInterval {
			out = append(out, encode(h.now(), &log.Entry{Level: log.WarnLevel, Message: "log lines dropped", Fields: log.Fields{"count": h.dropped}})...)
			h.dropped, lastReport = 0, h.now()
		}
		closed := h.closed
		h.mu.Unlock()
		_, _ = h.w.Write(out) // a failed write to standard output cannot be reported anywhere
		if cap(out) > 4*bufferBytes {
			out = nil
		}
		if closed {
			return
		}
	}
}

// Close writes the queued lines and stops the handler.
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
		line = []byte(`{"level":"error","message":"log entry encoding failed"}`)
	}
	return append(line, '\n')
}
