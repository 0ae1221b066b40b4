package edge

import (
	"context"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/quarantine"
)

// A broken connection does not tell whether its server has ended, breaks off single
// responses, or was cut off. After one broke, this instance opens a new connection: an
// address that refuses it has no process any more.
const (
	crashCollectTime  = 10 * time.Millisecond  // from the first broken connection to the check, in which further ones are collected
	crashCheckTimeout = 160 * time.Millisecond // of the new connection
	crashWitnesses    = 3                      // other servers that are tried before a refused connection counts as a crash
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
	broken  []brokenResponse
	done    chan struct{} // closed when crashed is known
	crashed bool
}

// brokenResponse is a response whose connection ended.
type brokenResponse struct {
	quarantine.Run
	requestID string
}

// RecordBroken implements ingress.Dispatcher.
func (n *Node) RecordBroken(ctx context.Context, a ingress.Assignment, b ingress.BrokenResponse) ingress.BrokenResult {
	run := quarantine.Run{Traits: requestTraits(a.Target, a.Version, b.Fingerprint), Progress: b.Progress}
	if a.Target.Model == "" && run.Progress == chestnutstream.ResponseNone {
		run.Progress = chestnutstream.ResponseBegun // a plain service sends nothing before its whole response
	}
	n.mu.Lock()
	c := n.crashCheck(a.Server)
	late := c.crashed
	if !late {
		c.broken = append(c.broken, brokenResponse{run, b.RequestID})
	}
	n.mu.Unlock()
	if late {
		n.recordCrash(a.Server, []quarantine.Run{run})
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return ingress.BrokenResult{}
	}
	r := ingress.BrokenResult{Crashed: c.crashed}
	if c.crashed && run.Progress == chestnutstream.ResponseBegun {
		r.Suspected = n.suspected(ctx, a.Server.Service, run.Traits)
	}
	return r
}

// HasCrashed implements ingress.Dispatcher. A server that leaves may stop to accept connections
// before it has ended its last responses.
func (n *Node) HasCrashed(ctx context.Context, a ingress.Assignment) bool {
	n.mu.Lock()
	s := n.fleet.Server(a.Server.ID)
	if s == nil || s.Born != a.Server.Born || s.State != chestnutstream.BackendReady {
		n.mu.Unlock()
		return false
	}
	c := n.crashCheck(a.Server)
	n.mu.Unlock()
	select {
	case <-c.done:
		return c.crashed
	case <-ctx.Done():
		return false
	}
}

// crashCheck returns the check of a server's process, which it starts if there is none.
// Callers hold mu.
func (n *Node) crashCheck(server chestnutstream.Backend) *crashCheck {
	k := processKey{server.ID, server.Born}
	c := n.crashChecks[k]
	if c == nil {
		c = &crashCheck{server: server, done: make(chan struct{})}
		n.crashChecks[k] = c
		go n.checkCrash(k, c)
	}
	return c
}

// checkCrash finds out whether the process of a server has ended.
func (n *Node) checkCrash(k processKey, c *crashCheck) {
	time.Sleep(crashCollectTime)
	ctx, cancel := context.WithTimeout(n.ctx, crashCheckTimeout)
	conn, err := n.dial(ctx, "tcp", c.server.Address)
	cancel()
	if err == nil {
		_ = conn.Close()
	}
	crashed := errors.Is(err, syscall.ECONNREFUSED) && n.reachesOthers(c.server)
	n.mu.Lock()
	c.crashed = crashed
	broken, loads := c.broken, n.loadsInProgress(k)
	if !c.crashed {
		delete(n.crashChecks, k)
	}
	n.mu.Unlock()
	var runs []quarantine.Run
	for _, b := range broken {
		runs = append(runs, b.Run)
	}
	if c.crashed {
		n.recordCrash(c.server, append(runs, loads...))
	}
	close(c.done)
	l := n.log.WithFields(log.Fields{"server": k.server, "service": c.server.Service, "requests": len(broken), "loads": len(loads)})
	if !c.crashed {
		if len(broken) > 0 || err != nil { // else responses ended with their connections
			l.WithField("check", checkResult(err)).Info("connections of a server broke")
		}
		return
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_server_crashes_total{service=` + strconv.Quote(c.server.Service) + `}`).Inc()
	l.WithField("begun", begunRequests(broken)).Warn("server crashed")
	time.AfterFunc(crashMemory, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.crashChecks, k)
	})
}

// reachesOthers reports whether this instance can connect to another server than the one
// that refused a connection: if it is cut off, the refusal may not be the server's. It
// reports true if there is no other.
func (n *Node) reachesOthers(server chestnutstream.Backend) bool {
	n.mu.Lock()
	var others []chestnutstream.Backend
	for _, s := range n.fleet.Servers() {
		if s.ID != server.ID && s.Usable() {
			others = append(others, s.Backend)
		}
	}
	n.mu.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(crashWitnesses, len(others))]
	results := make(chan bool, len(others))
	for _, s := range others {
		go func() { results <- n.canConnect(s) }()
	}
	for range others {
		if <-results {
			return true
		}
	}
	return len(others) == 0
}

// loadsInProgress returns the loads that this instance has ordered from a server's
// process and that are not complete. Callers hold mu.
func (n *Node) loadsInProgress(k processKey) []quarantine.Run {
	e := n.loaders[k.server]
	if e == nil || e.Server.Born != k.born {
		return nil
	}
	var runs []quarantine.Run
	for target, version := range e.Loading() {
		runs = append(runs, quarantine.Run{Traits: []string{loadTrait(target, version)}, Progress: chestnutstream.ResponseBegun})
	}
	return runs
}

// checkResult returns the result of a check for the log.
func checkResult(err error) string {
	if err == nil {
		return "accepts connections"
	}
	return err.Error()
}

// begunRequests returns the IDs of the requests whose response had just begun.
func begunRequests(broken []brokenResponse) []string {
	var ids []string
	for _, b := range broken {
		if b.Progress == chestnutstream.ResponseBegun && len(ids) < maxLoggedRequests {
			ids = append(ids, b.requestID)
		}
	}
	return ids
}
