package edge

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/connlimit"
)

// Limits of what clients may send before their request is whole. The configuration's limits
// bound what callers send; the slack is for what they may count in another way, for headers
// that other instances add, and for machines that are paused for some seconds.
const (
	callerIdleTimeout = 90 * time.Second // longer than the idle timeout of callers' connections in any configuration
	headBytesSlack    = 8 << 10          // beyond maxHeaderBytes: the request line, and how lines are counted
	forwardedSlack    = 24 << 10         // for what an instance adds to the head of a forwarded request
	maxHeadBytes      = 1 << 20          // whatever the configuration states
	headTimeoutFactor = 2
	headTimeoutSlack  = time.Second
	maxHeadTimeout    = 2 * time.Minute
)

// headLimits returns the limits of the head of a request under a configuration, which may be
// nil. Other instances add up to slack bytes to it.
func headLimits(t *chestnutstream.RouteTable, slack int) connlimit.HeadLimits {
	l := connlimit.DefaultHeadLimits
	if t == nil {
		return l
	}
	if n := t.Limits.HeaderBytes; n > 0 {
		l.Bytes = min(n, maxHeadBytes) + headBytesSlack
	}
	if d := t.Limits.HeaderTimeout; d > 0 {
		l.Timeout = headTimeoutFactor*min(d, maxHeadTimeout) + headTimeoutSlack
	}
	l.Bytes, l.Timeout = min(l.Bytes+slack, maxHeadBytes), min(l.Timeout, maxHeadTimeout)
	return l
}

// listen serves h at an address within the listener's part of the connections and memory of
// the machine.
func (in *Instance) listen(kind connlimit.Kind, address string, h http.Handler) (*http.Server, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	n, slack := in.node, 0
	cfg := connlimit.Settings{
		Kind: kind, Machine: connlimit.Machine{Descriptors: n.cfg.MaxDescriptors, MemoryBytes: n.cfg.MemoryBytes}, Log: n.log, Metrics: n.metrics,
	}
	switch kind {
	case connlimit.KindPeers:
		slack = forwardedSlack
		fallthrough
	case connlimit.KindCallers:
		cfg.Reject = in.ingress.Reject("the heads of other requests take all memory for heads")
	}
	cfg.Head = func() connlimit.HeadLimits { return headLimits(n.routes.Load(), slack) }
	l := connlimit.NewListener(inner, cfg)
	s := l.Server(h, callerIdleTimeout)
	in.servers = append(in.servers, s)
	go func() {
		if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
			n.log.WithError(err).WithField("address", address).Error("listener failed")
		}
	}()
	return s, nil
}
