package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Traffic of the case: orders that come a few dozen at once.
const (
	orderClump    = 48
	orderInterval = 500 * time.Millisecond
	calmTime      = 2 * time.Second
	copyTime      = 5 * time.Second // of the disruption
	copyShare     = 0.03            // of the answers of the servers concerned
)

func init() { cases["foreign-rejection"] = foreignRejection }

// foreignRejection: servers send a second copy of some rejections late, at the point where
// the response to the next request on the connection is expected. No order may run twice.
func foreignRejection(rec *recorder, trouble bool) error {
	d, err := newDeployment(rec, 4)
	if err != nil {
		return err
	}
	defer d.close()
	var servers []*plainServer
	for i, zone := range zones {
		s, err := startPlainServer(rec, d.store, fmt.Sprintf("i-desk-%d", i+1), "desk", zone, fmt.Sprintf("127.0.2.%d", i+1), 6, 4)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	d.store.put("op", "config", deskConfig())
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	orders := newOrderClients(d)
	orders.play("before", calmTime)
	if trouble {
		for _, s := range servers[:2] {
			s.setCopyRate(copyShare)
		}
		rec.printf("fault  two of four servers send late second answers: at most %.0f%% of their answers", 100*copyShare)
	}
	orders.play("during", copyTime)
	for _, s := range servers {
		s.mu.Lock()
		if s.copyRate > 0 {
			rec.summary("%s: %d second copies of %d answers", s.id, s.copies, s.answers)
		}
		s.mu.Unlock()
		s.setCopyRate(0)
	}
	orders.play("after", calmTime)
	orders.wg.Wait()
	return orders.judge(servers)
}

func deskConfig() []byte {
	b, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-order", "host": "desk.example", "prefix": "/order/", "type": "non_idempotent", "timeoutMs": 600, "targetLatencyMs": 100, "priority": 2, "service": "desk", "maxAttempts": 1},
			{"name": "r-stock", "host": "desk.example", "prefix": "/stock/", "type": "idempotent", "timeoutMs": 600, "targetLatencyMs": 100, "priority": 2, "service": "desk", "maxAttempts": 2},
		},
		"services": []map[string]any{{"name": "desk", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return b
}

// orderClients send orders, each under an id of its own, and never send one again.
type orderClients struct {
	d        *deployment
	client   *http.Client
	wg       sync.WaitGroup
	mu       sync.Mutex
	n        int
	statuses map[string]int
}

func newOrderClients(d *deployment) *orderClients {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.3.1")}}
	return &orderClients{d: d, client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}}, statuses: map[string]int{}}
}

func (o *orderClients) play(label string, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(orderInterval) {
		for range orderClump {
			o.n++
			id, e := fmt.Sprintf("%s-%05d", label, o.n), o.d.edges[o.n%len(o.d.edges)]
			o.wg.Add(1)
			go func() { defer o.wg.Done(); o.send(id, e) }()
		}
	}
}

func (o *orderClients) send(id string, e *edge) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.frontend+"/order/1", io.NopCloser(bytes.NewReader(bytes.Repeat([]byte("o"), 600))))
	r.Host, r.ContentLength = "desk.example", 600
	r.Header.Set("X-Chestnutstream-Request-Id", id)
	r.Header.Set("X-Chestnutstream-Deadline-Ms", "600")
	o.d.rec.printf("send   %s to %s", id, e.name)
	status := 0
	resp, err := o.client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	o.d.rec.printf("answer %s %d %v", id, status, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.statuses[id] = status
}

// judge applies the rule TWICE to all orders, and counts what else was seen.
func (o *orderClients) judge(servers []*plainServer) error {
	twice, refused, served := 0, 0, 0
	for id, status := range o.statuses {
		runs := 0
		for _, s := range servers {
			s.mu.Lock()
			runs += s.runs[id]
			s.mu.Unlock()
		}
		if status == http.StatusOK {
			served++
		}
		if runs > 1 {
			twice++
			o.d.rec.summary("TWICE: order %s ran %d times; its answer was %d", id, runs, status)
		}
		if runs > 0 && (status == 408 || status == 421 || status == 429 || status == 503) {
			refused++
			o.d.rec.summary("(REFUSED: order %s ran, and was answered %d)", id, status)
		}
	}
	o.d.rec.summary("%d orders, %d answered 200, %d ran more than once, %d ran and were answered as not run", len(o.statuses), served, twice, refused)
	if served < len(o.statuses)/4 {
		return fmt.Errorf("hardly any order was served")
	}
	if twice > 0 {
		return errBroken
	}
	return nil
}
