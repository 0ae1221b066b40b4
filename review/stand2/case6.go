package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	streamEvents = 10
	killDelay    = 350 * time.Millisecond // from the begin of the run; the stream takes a second
	settleTime   = 4 * time.Second        // until the instances know one another and the engines' owners
)

// unframedStreamOfCrashedServer sends three streams to servers whose answers have no length and
// end with their connection, and kills the server of the second one midway. A client must not
// get a stream that ends as complete before its last event.
func unframedStreamOfCrashedServer(rec *record, edge string, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec, edge)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.put("op", "config", streamConfig())
	runs := make(chan string, 16) // servers that begin a run
	d.onLine = func(server, line string) {
		if strings.HasPrefix(line, "run ") {
			runs <- server
		}
	}
	for i := range 4 {
		if err := d.startServer(fmt.Sprintf("i-%d", i), "assistant", zones[i%2], "m0", "-unframed", fmt.Sprintf("-events=%d", streamEvents)); err != nil {
			return false, err
		}
	}
	instances, err := d.startInstances()
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	for i := range 3 {
		if i == 1 && trouble {
			go func() {
				server := <-runs
				time.Sleep(killDelay)
				d.kill(server)
			}()
		}
		complete, err := sendStream(rec, instances[i%2], fmt.Sprintf("c0ffee%02d", i))
		if err != nil {
			return false, err
		}
		broken = broken || !complete
		if i != 1 || !trouble {
			<-runs
		}
	}
	return broken, nil
}

// sendStream sends a request for a stream. It reports false if its answer ends as complete
// before the last event.
func sendStream(rec *record, in *instance, id string) (ok bool, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+in.frontend+"/ask/now", bytes.NewReader(make([]byte, 1300)))
	if err != nil {
		return false, err
	}
	req.Host = "ask.example"
	for name, value := range map[string]string{"Request-Id": id, "Model": "m0", "Token-Count": "600,50", "Prefix-Hash": "5c1e07a2:155,91bd3f06:445", "Deadline-Ms": "12000"} {
		req.Header.Set("X-Chestnutstream-"+name, value)
	}
	rec.printf("client sends %s to %s", id, in.name)
	resp, err := (&http.Client{Timeout: 15 * time.Second}).Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	body, readErr := io.ReadAll(resp.Body)
	n := bytes.Count(body, []byte("data: part "))
	end := "the answer ends as complete"
	if readErr != nil {
		end = "the answer is cut: " + readErr.Error()
	}
	rec.printf("client has %d and %d of %d events for %s; %s", resp.StatusCode, n, streamEvents, id, end)
	return resp.StatusCode != http.StatusOK || readErr != nil || n == streamEvents, nil
}

// streamConfig is a configuration with a route for streams that may be resumed at a second
// server.
func streamConfig() any {
	type object = map[string]any
	return object{
		"version": 7,
		"routes": []any{object{
			"name": "ask", "host": "ask.example", "prefix": "/ask/", "type": "streaming", "timeoutMs": 12000, "targetLatencyMs": 1000, "targetGapMs": 400,
			"priority": 0, "service": "assistant", "maxAttempts": 2, "sticky": true, "resumable": true,
		}},
		"services": []any{object{"name": "assistant", "healthPath": "/health", "maxConnections": 370, "engine": object{
			"slots": 64, "kvCapacity": 250000, "weightsMb": 44800.0, "adapterSlots": 18, "loadsPerS": 3.3,
			"models": []any{object{"name": "m0", "weightsMb": 42700.0, "loadTimeS": 1.3, "adapters": 3000, "adapterSizeMb": 66.0}},
		}}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
