package edge

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/ingress"
)

// A broken connection does not tell whether its server has ended, breaks off single
// responses, or was cut off. After one broke, this instance opens a new connection: an
// address that refuses it has no process any more.
const (
	crashCollectTime  = 10 * time.Millisecond  // from the first broken connection to the check, in which further ones are collected
	crashCheckTimeout = 160 * time.Millisecond // of the new connection
	crashMemory       = 3 * time.Second        // for which a crash is remembered, for responses whose end is noticed late
	maxLoggedRequests = 8                      // in the log line of a crash
)

// processKey identifies a process of a backend server.
type processKey struct {
	server string
	born   int64
}

// crashCheck is a check whether a server's process has ended, and its result.
type crashCheck struct {
	server  chestnutstream.Backend
	broken  []ingress.BrokenResponse
	done    chan struct{} // closed when crashed is known
	crashed bool
}

// RecordBroken implements ingress.Dispatcher.
func (n *Node) RecordBroken(ctx context.Context, a ingress.Assignment, b ingress.BrokenResponse) ingress.BrokenResult {
	k := processKey{a.Server.ID, a.Server.Born}
	n.mu.Lock()
	c := n.crashChecks[k]
	if c == nil {
		c = &crashCheck{server: a.Server, done: make(chan struct{})}
		n.crashChecks[k] = c
		go n.checkCrash(k, c)
	}
	late := c.crashed
	if !late {
		c.broken = append(c.broken, b)
	}
	n.mu.Unlock()
	if late {
		n.recordCrash(a.Server, []ingress.BrokenResponse{b})
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return ingress.BrokenResult{}
	}
	r := ingress.BrokenResult{Crashed: c.crashed}
	if c.crashed && b.Progress == chestnutstream.ResponseBegun {
		r.Suspected = n.suspected(ctx, a.Server.Service, b.PartIDs)
	}
	return r
}

// checkCrash finds out whether the process of a server has ended.
func (n *Node) checkCrash(k processKey, c *crashCheck) {
	time.Sleep(crashCollectTime)
	d := net.Dialer{Timeout: crashCheckTimeout, KeepAlive: -1}
	conn, err := d.DialContext(n.ctx, "tcp", c.server.Address)
	if err == nil {
		_ = conn.Close()
	}
	n.mu.Lock()
	c.crashed = errors.Is(err, syscall.ECONNREFUSED)
	broken := c.broken
	if !c.crashed {
		delete(n.crashChecks, k)
	}
	n.mu.Unlock()
	if c.crashed {
		n.recordCrash(c.server, broken)
	}
	close(c.done)
	l := n.log.WithFields(log.Fields{"server": k.server, "service": c.server.Service, "requests": len(broken)})
	if !c.crashed {
		l.WithField("check", checkResult(err)).Info("connections of a server broke")
		return
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_server_crashes_total{service="` + c.server.Service + `"}`).Inc()
	l.WithField("begun", begunRequests(broken)).Warn("server crashed")
	time.AfterFunc(crashMemory, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.crashChecks, k)
	})
}

// checkResult returns the result of a check for the log.
func checkResult(err error) string {
	if err == nil {
		return "accepts connections"
	}
	return err.Error()
}

// begunRequests returns the IDs of the requests whose response had just begun.
func begunRequests(broken []ingress.BrokenResponse) []string {
	var ids []string
	for _, b := range broken {
		if b.Progress == chestnutstream.ResponseBegun && len(ids) < maxLoggedRequests {
			ids = append(ids, b.RequestID)
		}
	}
	return ids
}
