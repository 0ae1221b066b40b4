package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/standin"
)

// Repeated, reordered or missing events of a stream's connections must not
// change what the caller gets: every chunk once and in order, and the end only
// after all chunks.
func TestCursorDeliversEachChunkOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const chunks = 6
		c := &streamCursor{}
		var got []int
		ended := false
		t.Repeat(map[string]func(*rapid.T){
			"event": func(t *rapid.T) {
				offset := rapid.IntRange(0, chunks).Draw(t, "offset")
				switch c.step(offset, offset == chunks) {
				case accept:
					got = append(got, offset)
				case finished:
					ended = true
				case gap:
					if offset <= len(got) {
						t.Fatalf("event %d after %v is no gap", offset, got)
					}
				case duplicate:
					if offset > len(got) || offset == len(got) && !ended {
						t.Fatalf("event %d after %v is no duplicate", offset, got)
					}
				}
			},
			"": func(t *rapid.T) {
				for i, offset := range got {
					if i != offset {
						t.Fatalf("got %v", got)
					}
				}
				if ended && len(got) != chunks {
					t.Fatalf("ended after %v", got)
				}
			},
		})
	})
}

func TestStallThresholdFollowsObservedGaps(t *testing.T) {
	s := DefaultStallSettings()
	tests := []struct {
		name string
		gaps []time.Duration
		want time.Duration
	}{
		{"no gap observed", nil, s.Ceil},
		{"fast stream keeps the floor", []time.Duration{10 * time.Millisecond, 20 * time.Millisecond}, s.Floor},
		{"six times the largest gap", []time.Duration{100 * time.Millisecond}, 600 * time.Millisecond},
		{"limited by the ceiling", []time.Duration{time.Second}, s.Ceil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g GapEstimator
			for _, gap := range tt.gaps {
				g.Observe(gap)
			}
			assert.Equal(t, g.Threshold(s), tt.want)
		})
	}
}

// TestRefusedResumptionDoesNotMeanThatGenerationDidNotRun guards against taking the
// refusal of a later request for a broken stream for the refusal of the generation.
func TestRefusedResumptionDoesNotMeanThatGenerationDidNotRun(t *testing.T) {
	tests := []struct {
		name   string
		first  string // response to the first send; "": a refusal
		resume int    // status of the response to the resumption
		want   bool
	}{
		{"refused when first sent", "", http.StatusNotFound, true},
		{"engine restarted during the stream", "id: 0\ndata: x\n\n", http.StatusNotFound, false},
		{"engine restarted before the first event", ": accepted\n\n", http.StatusNotFound, false},
		{"resumption refused", ": accepted\n\n", http.StatusServiceUnavailable, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sends atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Method == http.MethodGet:
					http.Error(w, `{"code":"unknown-stream"}`, tt.resume)
				case sends.Add(1) > 1 || tt.first == "":
					http.Error(w, `{"code":"unknown-model"}`, http.StatusNotFound)
				default:
					_, _ = io.WriteString(w, tt.first)
					assert.Check(t, http.NewResponseController(w).Flush())
					panic(http.ErrAbortHandler)
				}
			}))
			defer srv.Close()
			g := chestnutstream.Generation{RequestID: "g", Path: "/v1/completions"}
			err := NewClient(nil).Generate(context.Background(), srv.Listener.Addr().String(), g, func(chestnutstream.Chunk) error { return nil })
			assert.Assert(t, err != nil)
			assert.Equal(t, DidNotRun(err), tt.want, "%v", err)
		})
	}
}

// TestOnlyStatedRefusalsMeanThatGenerationDidNotRun guards against taking an engine's
// failure for its refusal.
func TestOnlyStatedRefusalsMeanThatGenerationDidNotRun(t *testing.T) {
	tests := []struct {
		status int
		body   string
		want   bool
	}{
		{http.StatusServiceUnavailable, `{"code":"queue-full"}`, true},
		{http.StatusNotFound, `{"code":"unknown-model"}`, true},
		{http.StatusServiceUnavailable, "", false},
		{http.StatusInternalServerError, "out of memory", false},
		{http.StatusInternalServerError, `{"code":"failed"}`, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.status, " ", tt.body), func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer srv.Close()
			g := chestnutstream.Generation{RequestID: "g", Path: "/v1/completions"}
			err := NewClient(nil).Generate(context.Background(), srv.Listener.Addr().String(), g, func(chestnutstream.Chunk) error { return nil })
			assert.Equal(t, DidNotRun(err), tt.want, "%v", err)
		})
	}
}

// TestLateResponseToAnotherGenerationIsNotAccepted guards against taking a second
// copy of an earlier response for the response to the next generation, which would
// be reported as not run, or relayed with the other's events.
func TestLateResponseToAnotherGenerationIsNotAccepted(t *testing.T) {
	tests := []struct {
		name        string
		first       string // id of the earlier generation
		wantRefused bool   // the earlier generation is refused
	}{
		{"refusal of another request", "refused", true},
		{"events of another request", "first", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get("Request-Id")
				if id == "refused" {
					http.Error(w, `{"code":"queue-full"}`, http.StatusServiceUnavailable)
					return
				}
				_, _ = fmt.Fprintf(w, "id: 0\ndata: of %s\n\nid: 1\ndata: %s\n\n", id, endMarker)
			}))
			srv.Listener = standin.LateCopies{Listener: srv.Listener}
			srv.Start()
			defer srv.Close()
			c := NewClient(nil)
			var got []string
			generate := func(id string) error {
				return c.Generate(context.Background(), srv.Listener.Addr().String(), chestnutstream.Generation{RequestID: id, Path: "/v1/completions"}, func(chunk chestnutstream.Chunk) error {
					got = append(got, string(chunk.Data))
					return nil
				})
			}
			assert.Equal(t, generate(tt.first) != nil, tt.wantRefused)
			got = nil
			assert.NilError(t, generate("next"))
			assert.DeepEqual(t, got, []string{"of next"})
		})
	}
}

// What an engine sends in place of the next chunk must neither reach the caller nor end the
// stream.
func TestOnlyNextChunksAreReadFromStream(t *testing.T) {
	tests := []struct {
		name     string
		body     string // after chunk 0
		chunks   string
		complete bool
	}{
		{"the next chunk and the end", "id: 1\ndata: b\n\nid: 2\ndata: [DONE]\n\n", "ab", true},
		{"a chunk again", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", "ab", false},
		{"a chunk is missing", "id: 2\ndata: c\n\n", "a", false},
		{"the end is too early", "id: 2\ndata: [DONE]\n\n", "a", false},
		{"an event without an id", "data: sorry\n\n", "a", false},
		{"the end without an id", "data: [DONE]\n\n", "a", false},
		{"text", "sorry", "a", false},
		{"lines", "sorry\n\ntry again\n\n", "a", false},
		{"a head", "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 5\r\n\r\nsorry", "a", false},
		{"nothing", "", "a", false},
		{"part of an event", "id: 1\ndata: b", "a", false},
		{"part of an event, a whole line", "id: 1\ndata: b\n", "a", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, resumed := range []bool{false, true} {
				cur, chunks, body := &streamCursor{}, "", "id: 0\ndata: a\n\n"+tt.body
				if resumed {
					cur.next, chunks, body = 1, "a", tt.body
				}
				err := readEvents(strings.NewReader(body), cur, func(c chestnutstream.Chunk) error {
					chunks += string(c.Data)
					return nil
				}, func(time.Duration, bool) {})
				assert.Equal(t, err == nil, tt.complete, "%v", err)
				assert.Equal(t, chunks, tt.chunks)
			}
		})
	}
}
