package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// drainSpec is that of the round assistant.
var drainSpec = engineSpec{model: "base", modelMB: 42700, weightsMB: 44800, adapterMB: 66, adapterSlots: 18, adapters: 3000, slots: 64, events: 14, gap: 150 * time.Millisecond}

// drainRoute is like that of the deferred briefings on the page of the two new customers:
// the latency target is 2 s and the time limit 8 s.
var drainRoute = streamRoute{timeoutMS: 8000, targetMS: 2000, gapMS: 500, attempts: 2}

const (
	busyAdapters  = 96 // more than the 72 places of four engines
	busyClients   = 2  // for each of them
	fillTime      = 8 * time.Second
	lossSlack     = 200 * time.Millisecond
	waitingCount  = 6
	waitingPeriod = 250 * time.Millisecond
)

func init() { cases["drain"] = drainWhileWaiting }

// drainWhileWaiting: an edge process gets SIGTERM while requests wait there for an adapter.
// Every request that was read must get an answer.
func drainWhileWaiting(rec *recorder, trouble bool) error {
	d, err := newDeployment(rec, 4)
	if err != nil {
		return err
	}
	defer d.close()
	var engines []*engine
	for i, zone := range zones {
		e, err := startEngine(rec, d.store, drainSpec, fmt.Sprintf("i-llm-%d", i+1), zone, fmt.Sprintf("127.0.2.%d", i+1))
		if err != nil {
			return err
		}
		defer e.close()
		engines = append(engines, e)
	}
	d.store.put("op", "config", assistantConfig(drainSpec, drainRoute))
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	target, others := d.edges[3], d.edges[:3]
	stop := make(chan struct{})
	var busy sync.WaitGroup
	c := newStreamClients(d, drainSpec)
	for i := range busyAdapters * busyClients {
		busy.Add(1)
		time.Sleep(8 * time.Millisecond)
		go func() {
			defer busy.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if !c.ask(fmt.Sprintf("busy-%03d-%04d", i, n), others[i%len(others)], fmt.Sprintf("a%d", 1+i%busyAdapters)) {
					time.Sleep(200 * time.Millisecond) // as Retry-After says, about
				}
			}
		}()
	}
	time.Sleep(fillTime)
	if trouble {
		rec.printf("fault  SIGTERM to %s", target.name)
		target.signal(syscall.SIGTERM)
	}
	start := time.Now()
	type result struct{ id, lost string }
	results := make(chan result, waitingCount)
	for i := range waitingCount {
		time.Sleep(waitingPeriod)
		id := fmt.Sprintf("waits-%d", i+1)
		go func() { results <- result{id, c.askRaw(id, target, fmt.Sprintf("a%d", 2001+i))} }()
	}
	lost, answered := 0, 0
	for range waitingCount {
		r := <-results
		switch {
		case r.lost == "":
			answered++
		case ran(engines, r.id):
			rec.summary("not counted, a server was at work: %s", r.lost)
		default:
			lost++
			rec.summary("LOST: %s", r.lost)
		}
	}
	rec.printf("all ended %.3f s after the signal", time.Since(start).Seconds())
	close(stop)
	busy.Wait()
	rec.summary("of %d requests that waited for an adapter %d got an answer, %d neither ran nor got one", waitingCount, answered, lost)
	if lost > 0 {
		return errBroken
	}
	return nil
}

// ran reports whether a server has begun to work on a request.
func ran(engines []*engine, id string) bool {
	for _, e := range engines {
		e.mu.Lock()
		n := e.runs[id]
		e.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// ask asks for a stream, and reports whether it was complete.
func (c *streamClients) ask(id string, e *edge, adapter string) bool {
	c.mu.Lock()
	before := c.complete
	c.mu.Unlock()
	c.send(id, e, adapter)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete > before
}

// askRaw sends a request on a connection of its own. It returns what is wrong if the
// connection ends without a complete answer before the time limit and later than lossSlack
// after the request was sent.
func (c *streamClients) askRaw(id string, e *edge, adapter string) string {
	rec := c.d.rec
	conn, err := net.DialTimeout("tcp", e.frontend, time.Second)
	if err != nil {
		rec.printf("answer %s none, not connected: %v", id, err)
		return ""
	}
	defer conn.Close()
	body := strings.Repeat("p", 1300)
	_, err = fmt.Fprintf(conn, "POST /ask/1 HTTP/1.1\r\nHost: ask.example\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Model: base/%s\r\nX-Chestnutstream-Token-Count: 491,70\r\nX-Chestnutstream-Prefix-Hash: 5c1e07a2:155,%08x:336\r\nX-Chestnutstream-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s", id, adapter, len(id), len(body), body)
	sent := time.Now()
	rec.printf("send   %s for %s to %s", id, adapter, e.name)
	if err != nil {
		return ""
	}
	_ = conn.SetReadDeadline(sent.Add(8500 * time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
	}
	took := time.Since(sent)
	rec.printf("answer %s %d after %.3f s, %v", id, status, took.Seconds(), err)
	if err != nil && took > lossSlack && took < 8*time.Second {
		return fmt.Sprintf("%s was sent to %s and its connection ended after %.3f s without a complete answer (%v); its time limit is 8 s", id, e.name, took.Seconds(), err)
	}
	return ""
}
