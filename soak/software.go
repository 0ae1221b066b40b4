package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"

	"github.com/chestnutstream/chestnutstream/platform"
)

// softwareVersions are the software versions of the engines, in turn.
var softwareVersions = []string{"v1", "v2"}

// maxTakeUps is the number of requests with which a client takes a broken stream up.
const maxTakeUps = 3

// takeUp takes up a stream that broke off after some events, as clients do, and checks
// that all its events are of one software version.
func (r *run) takeUp(client *http.Client, rng *rand.Rand, begun result) {
	events := wholeEvents(begun.body)
	if begun.route != "ask" || begun.status != http.StatusOK || begun.err == nil || events == "" {
		return
	}
	for n := range maxTakeUps {
		res := r.newResult(r.instances[rng.IntN(len(r.instances))], fmt.Sprintf("%s-again-%d", begun.id, n))
		res.route, res.adapter, res.parts = begun.route, begun.adapter, begun.parts
		res.headers = map[string]string{platform.HeaderResumes: begun.id, platform.HeaderLastEventID: fmt.Sprint(strings.Count(events, "\n\n") - 1)}
		res = r.send(client, res)
		if res.auth != nil {
			r.checkKeys(res)
		}
		r.recordResult(res)
		if res.status != http.StatusOK {
			continue
		}
		events += wholeEvents(res.body)
		if !beginsExpectedStream(events, begun.adapter) {
			r.reportViolation("%s: taken up by %s, the stream is %.300q", begun.id, res.id, events)
			return
		}
		if res.err == nil {
			if strings.Count(events, "\n\n") < eventsPerStream {
				r.reportViolation("%s: complete without its last event: %.300q", res.id, events)
			}
			return
		}
	}
}

// wholeEvents returns the complete events of a response.
func wholeEvents(body string) string { return body[:strings.LastIndex("\n\n"+body, "\n\n")] }

// beginsExpectedStream reports whether events are the beginning of the stream of an
// adapter by one software version.
func beginsExpectedStream(events, adapter string) bool {
	for _, software := range softwareVersions {
		if strings.HasPrefix(expectedStream(adapter, software), events) {
			return true
		}
	}
	return false
}

// restartAll ends all instances at once and starts them again.
func (r *run) restartAll() {
	done := make(chan struct{})
	for _, inst := range r.instances {
		go func() { r.mustRestart(inst, syscall.SIGKILL); done <- struct{}{} }()
	}
	for range r.instances {
		<-done
	}
}
