package ingress

import (
	"sync/atomic"
	"time"
)

// The connection of a stream may hang because the path to its server is cut. The stream is
// then resumed elsewhere, before its caller gives it up. A server that is only silent still
// accepts connections.
const (
	minStallTime       = 750 * time.Millisecond // without any byte
	stallCheckInterval = 250 * time.Millisecond // between checks of a stream that has been silent for so long
)

// stallWatch aborts the response to a stream that hangs.
type stallWatch struct {
	lastReadAt atomic.Int64 // in Unix nanoseconds
	stopped    atomic.Bool
}

// watchStall starts to watch a response. The caller must stop it.
func (x *exchange) watchStall(a Assignment, abort func()) *stallWatch {
	w := &stallWatch{}
	w.recordRead(x.server.cfg.Timer.Now())
	if a.Peer != "" || !x.route.Repeatable() {
		return w
	}
	var check func()
	check = func() {
		if w.stopped.Load() {
			return
		}
		silent := x.server.cfg.Timer.Now().Sub(time.Unix(0, w.lastReadAt.Load()))
		if silent >= minStallTime && x.server.dispatcher.IsUnreachable(a) {
			abort()
			return
		}
		time.AfterFunc(max(minStallTime-silent, stallCheckInterval), check)
	}
	time.AfterFunc(minStallTime, check)
	return w
}

func (w *stallWatch) recordRead(now time.Time) { w.lastReadAt.Store(now.UnixNano()) }

func (w *stallWatch) stop() { w.stopped.Store(true) }
