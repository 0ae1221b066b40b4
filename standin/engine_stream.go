package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

type generationRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// defaultTokens is the number of generated tokens if the request has no
// max_tokens.
const defaultTokens = 16

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req generationRequest
	if !readJSON(w, r, &req) {
		return
	}
	prompt := req.Prompt
	for _, m := range req.Messages {
		prompt += m.Content + "\n"
	}
	g := &generation{
		id: r.Header.Get("Request-Id"), slot: req.Model, chat: strings.Contains(r.URL.Path, "chat"),
		limit: req.MaxTokens, changed: make(chan struct{}), lastRead: time.Now(),
	}
	g.priority, _ = strconv.Atoi(r.Header.Get("Priority"))
	if g.limit <= 0 {
		g.limit = defaultTokens
	}
	if !e.enqueue(w, g, prompt) {
		return
	}
	e.stream(w, r, g, 0)
}

// enqueue adds a generation to the queue and starts the step loop if needed. It
// returns false if it has written an error response.
func (e *Engine) enqueue(w http.ResponseWriter, g *generation, prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	slot := e.slots[g.slot]
	if slot == nil || slot.loading {
		e.counts.UnknownModel++
		writeJSON(w, http.StatusNotFound, map[string]string{"code": "unknown-model"})
		return false
	}
	if len(e.waiting) >= e.cfg.QueueLimit {
		e.counts.Refused++
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"code": "queue-full"})
		return false
	}
	if e.generations[g.id] != nil && g.id != "" {
		writeJSON(w, http.StatusConflict, map[string]string{"code": "request-id-in-use"})
		return false
	}
	e.counts.Requests++
	e.seq++
	g.seq = e.seq
	if g.id == "" {
		g.id = fmt.Sprintf("engine-%d", e.seq)
	}
	g.weights = slot.weights
	if e.faults.WrongModel {
		g.weights = "neighbour@v0"
	}
	if e.faults.Leaving && time.Since(e.leavingSince) > leavingGrace {
		e.counts.AfterLeaving++
	}
	g.abortAfterTwoTokens = e.faults.BreakEvery > 0 && e.seq%e.faults.BreakEvery == 0
	g.prefillSteps = 1 + len(prompt)/4096
	if e.touchPrefix(prefixOf(g.slot, prompt)) {
		e.counts.PrefixHits++
		g.prefillSteps = 1
	}
	e.generations[g.id] = g
	e.waiting = append(e.waiting, g)
	e.counts.MaxWaiting = max(e.counts.MaxWaiting, len(e.waiting))
	if !e.stepLoopRunning {
		e.stepLoopRunning = true
		go e.stepLoop()
	}
	return true
}

// stream sends the tokens from the offset from on as server-sent events, with
// the offset as event id, followed by the end marker.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	e.mu.Lock()
	g.readers++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		g.readers--
		g.lastRead = time.Now()
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	for {
		e.mu.Lock()
		tokens := append([]string(nil), g.tokens[min(from, len(g.tokens)):]...)
		done, broken, changed := g.done, g.broken, g.changed
		limit := g.limit
		abortNow := g.abortAfterTwoTokens && len(g.tokens) >= 2 && !done
		if abortNow {
			g.abortAfterTwoTokens = false
		}
		e.mu.Unlock()
		for _, t := range tokens {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", from, g.chunk(t, from == limit-1))
			from++
		}
		if broken || abortNow {
			flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if done {
			fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", from)
			return
		}
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

type chunkChoice struct {
	Index        int            `json:"index"`
	Text         string         `json:"text,omitempty"`
	Delta        map[string]any `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// chunk returns the JSON event of one token. Its model field is the adapter and
// version whose weights generated the token.
func (g *generation) chunk(token string, last bool) []byte {
	c := chunkChoice{}
	object := "text_completion"
	if g.chat {
		object = "chat.completion.chunk"
		c.Delta = map[string]any{"content": token}
	} else {
		c.Text = token
	}
	if last {
		stop := "stop"
		c.FinishReason = &stop
	}
	b, _ := json.Marshal(struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Model   string        `json:"model"`
		Choices []chunkChoice `json:"choices"`
	}{g.id, object, g.weights, []chunkChoice{c}})
	return b
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from: want an offset", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g := e.generations[mux.Vars(r)["id"]]
	e.counts.ResumedReads++
	e.mu.Unlock()
	if g == nil {
		writeJSON(w, http.StatusNotFound, map[string]string{"code": "unknown-stream"})
		return
	}
	e.stream(w, r, g, from)
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[mux.Vars(r)["id"]]
	if g == nil || g.done || g.broken {
		return
	}
	e.counts.Cancelled++
	e.finish(g, true)
	e.removeMatching(func(g *generation) bool { return g.broken })
}
