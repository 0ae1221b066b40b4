package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const answerLines = 10

// unframedAnswerOfCrashedServer sends three lookups to servers whose answers have no length and
// end with their connection, and kills the server of the second one midway. A client must not get
// a success whose body is a part of the server's.
func unframedAnswerOfCrashedServer(rec *record, edge string, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec, edge)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.put("op", "config", lookupConfig())
	runs := make(chan string, 16) // servers that begin a run
	d.onLine = func(server, line string) {
		if strings.HasPrefix(line, "run ") {
			runs <- server
		}
	}
	for i := range 4 {
		if err := d.startServer(fmt.Sprintf("i-%d", i), "desk", zones[i%2], "", "-unframed", fmt.Sprintf("-events=%d", answerLines), "-gap=20ms"); err != nil {
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
				time.Sleep(70 * time.Millisecond)
				d.kill(server)
			}()
		}
		whole, err := sendLookup(rec, instances[i%2], fmt.Sprintf("decade%02d", i))
		if err != nil {
			return false, err
		}
		broken = broken || !whole
		if i != 1 || !trouble {
			<-runs
		}
	}
	return broken, nil
}

// sendLookup sends a lookup. It reports false if its answer is a success with a part of the body.
func sendLookup(rec *record, in *instance, id string) (ok bool, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+in.frontend+"/stock/today", nil)
	if err != nil {
		return false, err
	}
	req.Host = "desk.example"
	req.Header.Set("X-Chestnutstream-Request-Id", id)
	req.Header.Set("X-Chestnutstream-Deadline-Ms", "600")
	rec.printf("client sends %s to %s", id, in.name)
	resp, err := (&http.Client{Timeout: 15 * time.Second}).Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	body, readErr := io.ReadAll(resp.Body)
	n := bytes.Count(body, []byte("line "))
	rec.printf("client has %d and %d of %d lines for %s; stated length %d, error %v", resp.StatusCode, n, answerLines, id, resp.ContentLength, readErr)
	return resp.StatusCode != http.StatusOK || readErr != nil || n == answerLines, nil
}

// lookupConfig is a configuration with a route for lookups that may be repeated at a second server.
func lookupConfig() any {
	type object = map[string]any
	return object{
		"version": 7,
		"routes": []any{object{
			"name": "stock", "host": "desk.example", "prefix": "/stock/", "type": "idempotent", "timeoutMs": 600, "targetLatencyMs": 100,
			"priority": 0, "service": "desk", "maxAttempts": 2,
		}},
		"services": []any{object{"name": "desk", "healthPath": "/health", "maxConnections": 110}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
