package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// streamRoute has the settings of a route that differ between the cases.
type streamRoute struct {
	timeoutMS, targetMS, gapMS, attempts int
	resumable                            bool
}

func assistantConfig(s engineSpec, route streamRoute) []byte {
	b, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-ask", "host": "ask.example", "prefix": "/ask/", "type": "streaming", "timeoutMs": route.timeoutMS, "targetLatencyMs": route.targetMS, "targetGapMs": route.gapMS,
			"priority": 0, "service": "assistant", "maxAttempts": route.attempts, "sticky": true, "resumable": route.resumable,
		}},
		"services": []map[string]any{{
			"name": "assistant", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": s.slots, "kvCapacity": 251415, "weightsMb": s.weightsMB, "adapterSlots": s.adapterSlots, "loadsPerS": 3.3,
				"models": []map[string]any{{"name": s.model, "weightsMb": s.modelMB, "loadTimeS": 1.3, "adapters": s.adapters, "adapterSizeMb": s.adapterMB, "warmS": 0.44, "diskLoadS": 0.57}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return b
}

// streamClients ask for streams of adapters in turn.
type streamClients struct {
	d        *deployment
	client   *http.Client
	interval time.Duration // between two streams
	events   int           // of a complete stream
	wg       sync.WaitGroup

	mu                            sync.Mutex
	n, complete, refused, brokeUp int
	endedEarly                    []string // streams that ended as complete answers before their last event
}

// streamInterval is the time between two streams, unless a case sets another.
const streamInterval = 40 * time.Millisecond

func newStreamClients(d *deployment, spec engineSpec) *streamClients {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.3.1")}}
	return &streamClients{d: d, interval: streamInterval, events: spec.events, client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

func (c *streamClients) play(label string, length time.Duration, adapters int) {
	for end, i := time.Now().Add(length), 0; time.Now().Before(end); i++ {
		c.mu.Lock()
		c.n++
		id, e := fmt.Sprintf("%s-%05d", label, c.n), c.d.edges[c.n%len(c.d.edges)]
		c.mu.Unlock()
		c.wg.Add(1)
		go func() { defer c.wg.Done(); c.send(id, e, fmt.Sprintf("a%d", 1+i%adapters)) }()
		time.Sleep(c.interval)
	}
}

func (c *streamClients) send(id string, e *edge, adapter string) {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.frontend+"/ask/1", strings.NewReader(strings.Repeat("p", 1300)))
	r.Host = "ask.example"
	r.Header.Set("X-Chestnutstream-Request-Id", id)
	r.Header.Set("X-Chestnutstream-Model", "base/"+adapter)
	r.Header.Set("X-Chestnutstream-Token-Count", "491,70")
	r.Header.Set("X-Chestnutstream-Prefix-Hash", "5c1e07a2:155,"+id[len(id)-5:]+":336")
	r.Header.Set("X-Chestnutstream-Deadline-Ms", "12000")
	c.d.rec.printf("send   %s for %s to %s", id, adapter, e.name)
	status, body, err := 0, []byte(nil), error(nil)
	resp, err := c.client.Do(r)
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	events := strings.Count(string(body), "\n\n")
	c.d.rec.printf("answer %s %d, %d events, %v", id, status, events, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == http.StatusOK && err == nil && events == c.events:
		c.complete++
	case status == http.StatusOK && err == nil:
		c.endedEarly = append(c.endedEarly, fmt.Sprintf("%s: %d events and %q", id, events, body[strings.LastIndex(string(body), "\n\n")+2:]))
	case status == http.StatusOK:
		c.brokeUp++
	default:
		c.refused++
	}
}

func (c *streamClients) outcome() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d streams asked for, %d complete, %d broken off after the first event, %d without a stream", c.n, c.complete, c.brokeUp, c.refused)
}
