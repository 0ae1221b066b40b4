package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/timer"
)

// result is what a caller saw of one request.
type result struct {
	id      string
	program *program
	run     int // process of the program when it was sent
	route   string
	adapter string
	sent    time.Time
	status  int
	signed  bool
	body    string
	version int
	err     error
	beyond  int    // version that was declared over versionMax before it was sent, in calm
	named   uint64 // configuration whose own route it asked for
	due     uint64 // configuration that must have been in force when it was sent, in calm
}

// promises reports whether a status says that the request has not run and never
// will.
func promises(status int) bool {
	return status == 404 || status == 408 || status == 421 || status == 429 || status == 503
}

const clients = 6

// startClients starts callers that keep their connections open as long as the
// instances do.
func (r *run) startClients(seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for c := range clients {
		rng := rand.New(rand.NewPCG(seed, uint64(100+c)))
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				ask := r.ask
				if rng.IntN(newsEvery) == 0 {
					ask = r.askNews
				}
				r.judge(ask(client, rng, fmt.Sprintf("c%d-%d-%d", seed, c, n)))
				time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			}
		}()
	}
	return func() { cancel(); wg.Wait() }
}

func (r *run) ask(client *http.Client, rng *rand.Rand, id string) result {
	res := r.newResult(r.programs[rng.IntN(len(r.programs))], id)
	res.route = []string{"order", "look", "ask", "ask", "once"}[rng.IntN(5)]
	if res.route == "ask" || res.route == "once" {
		res.adapter = fmt.Sprintf("a%d", min(rng.IntN(adapters), rng.IntN(adapters)))
		r.mu.Lock()
		if at := r.since[res.adapter]; !at.IsZero() && time.Since(at) > versionMax && r.calm() {
			res.beyond = r.versions[res.adapter]
		}
		r.mu.Unlock()
	}
	return r.send(client, res)
}

// newResult begins a request to a program.
func (r *run) newResult(p *program, id string) result {
	p.mu.Lock()
	defer p.mu.Unlock()
	return result{id: id, program: p, run: p.run, sent: time.Now()}
}

// send sends a request and reads its answer.
func (r *run) send(client *http.Client, res result) result {
	method, prefix := http.MethodPost, "/"+res.route+"/"
	switch res.route {
	case "look":
		method = http.MethodGet
	case "news":
		prefix = newsPrefix(res.named)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("x") // the library repeats no such request by itself
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+res.program.callers+prefix+"1", body)
	if err != nil {
		res.err = err
		return res
	}
	req.GetBody = nil
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, res.id)
	req.Header.Set(platform.HeaderDeadline, "4000")
	if res.adapter != "" {
		req.Header.Set(platform.HeaderModel, "m/"+res.adapter)
	}
	resp, err := client.Do(req)
	if err != nil {
		res.err = err
		return res
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	res.status, res.body, res.err = resp.StatusCode, string(b), err
	res.signed = resp.Header.Get(platform.HeaderSignature) != ""
	res.version, _ = strconv.Atoi(resp.Header.Get(platform.HeaderWeights))
	return res
}

// judge checks what can be seen of one request at once, and keeps the rest for
// the end.
func (r *run) judge(res result) {
	if res.err == nil && res.status == http.StatusOK {
		switch {
		case !res.signed:
			r.breaks("%s: an answer without a server's signature", res.id)
		case res.adapter != "" && res.body != stream(res.adapter):
			r.breaks("%s: not the whole answer of %s: %.200q", res.id, res.adapter, res.body)
		case res.adapter != "" && res.version < res.beyond:
			r.breaks("%s: version %d of %s over %v after version %d was named", res.id, res.version, res.adapter, versionMax, res.beyond)
		}
	}
	if res.named > 0 {
		r.judgeNews(res)
	}
	r.resMu.Lock()
	defer r.resMu.Unlock()
	r.results = append(r.results, res)
}

// stream is the whole answer of an adapter.
func stream(adapter string) string {
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of m/%s\n\n", i, i, adapter)
	}
	return b.String()
}

// watchVersions checks that no process falls back to an older configuration.
func (r *run) watchVersions(ctx context.Context) {
	type seen struct {
		run     int
		version uint64
	}
	newest := map[*program]seen{}
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		timer.Sleep(ctx, 150*time.Millisecond)
		for _, p := range r.programs {
			p.mu.Lock()
			run := p.run
			p.mu.Unlock()
			v, ok := configuration(client, p)
			p.mu.Lock()
			same := run == p.run
			p.mu.Unlock()
			if !ok || !same {
				continue
			}
			if old := newest[p]; old.run == run && v < old.version {
				r.breaks("%s fell from configuration %d to %d", p.name, old.version, v)
			}
			newest[p] = seen{run, v}
		}
	}
}

func configuration(client *http.Client, p *program) (uint64, bool) {
	resp, err := client.Get("http://" + p.metrics + "/dump")
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var d struct {
		Version uint64 `json:"configuration-version"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&d); err != nil {
		return 0, false
	}
	return d.Version, true
}

// checkServedAgain checks that after the last fault everything is served.
func (r *run) checkServedAgain() {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 99))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	served := 0
	const asked = 60
	for n := range asked {
		res := r.ask(client, rng, fmt.Sprintf("again-%d-%d", r.cfg.Seed, n))
		r.judge(res)
		if res.err == nil && res.status == http.StatusOK {
			served++
		}
	}
	if served < asked*9/10 {
		r.breaks("%d of %d requests served after the last fault", served, asked)
	}
}

// checkEnd checks what backend servers have seen against what callers were told.
func (r *run) checkEnd() {
	ran := map[string]int{}
	r.mu.Lock()
	backends := append([]*backend(nil), r.backends...)
	r.mu.Unlock()
	for _, b := range backends {
		c := b.Counts()
		for id, n := range c.Ran {
			ran[id] += n
		}
		if c.OverSlots {
			r.breaks("%s was ordered to hold more adapters than it has slots", b.id)
		}
		if c.FenceFell {
			r.breaks("%s got an order with a lower fencing number than before", b.id)
		}
		if c.ShortTurn > 0 && c.ShortTurn < turnLeast {
			r.breaks("%s got orders of two holders within %v: %v", b.id, c.ShortTurn, c.Holders)
		}
	}
	logged := r.logged()
	for _, res := range r.results {
		n := ran[res.id]
		once := res.route != "look" && res.route != "ask"
		switch {
		case once && n > 1:
			r.breaks("%s: %s ran %d times", res.id, res.route, n)
		case promises(res.status) && !res.signed && n > 0 && once:
			r.breaks("%s: %d said that it has not run, and it ran", res.id, res.status)
		case res.status >= 500 && !res.signed && !logged[res.id] && !r.killedAfter(res):
			r.breaks("%s: answered %d, and no log line tells why", res.id, res.status)
		}
	}
}

// killedAfter reports whether the process that took a request was killed before
// its log can have been written.
func (r *run) killedAfter(res result) bool {
	res.program.mu.Lock()
	defer res.program.mu.Unlock()
	return res.program.run != res.run && res.program.ended.Sub(res.sent) < 6*time.Second
}

// logged returns the ids of failed requests for which a log line gives a reason.
func (r *run) logged() map[string]bool {
	ids := map[string]bool{}
	for _, p := range r.programs {
		f, err := os.Open(p.log)
		if err != nil {
			r.breaks("log of %s: %v", p.name, err)
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(make([]byte, 64<<10), 1<<20)
		for lines.Scan() {
			var line struct {
				ID     string `json:"request-id"`
				Reason string `json:"reason"`
			}
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Reason != "" {
				ids[line.ID] = true
			}
		}
		_ = f.Close()
	}
	return ids
}
