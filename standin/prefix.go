package standin

import (
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

// CacheEvent reports that a prompt prefix was added to or evicted from the prefix
// cache.
type CacheEvent struct {
	Seq    int    `json:"seq"`
	Prefix string `json:"prefix"`
	Cached bool   `json:"cached"`
}

func (e *Engine) kv(w http.ResponseWriter, r *http.Request) {
	prefix := mux.Vars(r)["prefix"]
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPut {
		e.touchPrefix(prefix)
		return
	}
	for _, p := range e.prefixes {
		if p == prefix {
			writeJSON(w, http.StatusOK, map[string]string{"prefix": prefix})
			return
		}
	}
	http.Error(w, "not cached", http.StatusNotFound)
}

// touchPrefix marks a prefix as the most recently used one and reports whether it
// was cached. The least recently used prefix is evicted above PrefixLimit.
// Callers hold mu.
func (e *Engine) touchPrefix(prefix string) bool {
	hit := false
	for i, p := range e.prefixes {
		if p == prefix {
			e.prefixes = append(e.prefixes[:i], e.prefixes[i+1:]...)
			hit = true
			break
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	if !hit {
		e.recordCacheEvent(prefix, true)
	}
	if len(e.prefixes) > e.cfg.PrefixLimit {
		e.recordCacheEvent(e.prefixes[0], false)
		e.prefixes = e.prefixes[1:]
	}
	return hit
}

// recordCacheEvent records a cache event. Every seventh event is lost, to simulate
// an unreliable event stream. Callers hold mu.
func (e *Engine) recordCacheEvent(prefix string, cached bool) {
	e.eventSeq++
	if e.eventSeq%7 != 0 {
		e.events = append(e.events, CacheEvent{Seq: e.eventSeq, Prefix: prefix, Cached: cached})
	}
	if len(e.events) > 1024 {
		e.events = e.events[512:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	n := max(0, len(e.events)-8) // the 8 newest events are withheld: events arrive late
	events := append([]CacheEvent{}, e.events[:n]...)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

// prefixOf returns the cache key of the first half of a prompt for an adapter
// slot.
func prefixOf(slot, prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(slot+"\x00"+prompt[:len(prompt)/2]))
}
