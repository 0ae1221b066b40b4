package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// statusClientGone stands in logs for a caller that left before its answer.
const statusClientGone = 499

// retryPause is what a caller is told to wait when no server took its request.
const retryPause = time.Second

// maxCollected bounds an answer that is collected for a caller that does not
// stream, in bytes.
const maxCollected = 16 << 20

// wrongAdapterError says that an answer was made by another adapter version
// than the request names.
type wrongAdapterError struct {
	Want chestnutstream.AdapterVersion
	Got  string
}

// Error implements error.
func (e *wrongAdapterError) Error() string {
	return fmt.Sprintf("the answer was made by %q, not by %s", e.Got, e.Want)
}

// relay passes an engine's chunks on to the caller, as server-sent events or
// collected into one answer. Every chunk is checked for the adapter version
// that made it before a byte of it goes out.
type relay struct {
	x       *Exchange
	stream  bool
	mark    []byte // how a chunk of the right adapter version names it
	sent    bool   // the caller has seen a part of the answer
	flusher http.Flusher
	text    strings.Builder
	last    chunkBody
}

type chunkBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created,omitempty"`
	Model   string `json:"model"`
	Choices []struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage,omitempty"`
}

func newRelay(x *Exchange) *relay {
	flusher, _ := x.W.(http.Flusher)
	return &relay{
		x: x, stream: x.Generation.Stream, flusher: flusher,
		mark: []byte(`"model":"` + x.Resolved.AdapterVersion.String() + `"`),
	}
}

// started reports whether the caller has seen a part of the answer.
func (r *relay) started() bool { return r.sent }

// chunk takes one chunk of the answer.
func (r *relay) chunk(c chestnutstream.Chunk) error {
	if c.Offset == 0 {
		r.text.Reset()
	}
	if !r.stream {
		return r.collect(c)
	}
	if err := r.check(c.Data); err != nil {
		return err
	}
	if !r.sent {
		r.open()
	}
	return r.event(c.Data)
}

// check makes sure that a chunk names the adapter version. The plain text is
// looked for first, since it is found in nearly every chunk.
func (r *relay) check(data []byte) error {
	if bytes.Count(data, []byte(`"model"`)) == 1 && bytes.Contains(data, r.mark) {
		return nil
	}
	var c chunkBody
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode chunk: %w", err)
	}
	return r.checkModel(c.Model)
}

func (r *relay) checkModel(model string) error {
	if model != r.x.Resolved.AdapterVersion.String() {
		return &wrongAdapterError{Want: r.x.Resolved.AdapterVersion, Got: model}
	}
	return nil
}

func (r *relay) collect(c chestnutstream.Chunk) error {
	r.last = chunkBody{}
	if err := json.Unmarshal(c.Data, &r.last); err != nil {
		return fmt.Errorf("decode chunk: %w", err)
	}
	if err := r.checkModel(r.last.Model); err != nil {
		return err
	}
	for _, choice := range r.last.Choices {
		r.text.WriteString(choice.Text)
		r.text.WriteString(choice.Delta.Content)
	}
	if r.text.Len() > maxCollected {
		return fmt.Errorf("the answer is over %d bytes; ask for a stream", maxCollected)
	}
	return nil
}

func (r *relay) open() {
	r.sent = true
	r.x.Status = http.StatusOK
	h := r.x.W.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", outcomeHeader)
	r.x.W.WriteHeader(http.StatusOK)
}

func (r *relay) event(data []byte) error {
	b := make([]byte, 0, len(data)+8)
	b = append(b, "data: "...)
	b = append(b, data...)
	b = append(b, "\n\n"...)
	if _, err := r.x.W.Write(b); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if r.flusher != nil {
		r.flusher.Flush()
	}
	return nil
}

// finish ends an answer that is whole.
func (r *relay) finish() {
	r.x.Outcome = chestnutstream.Ran
	if !r.stream {
		r.answer()
		return
	}
	if !r.sent {
		r.open()
	}
	_ = r.event([]byte("[DONE]"))
	r.x.W.Header().Set(outcomeHeader, string(r.x.Outcome))
}

// abort ends a stream that is not whole: an error event in place of the end
// marker, and the outcome in the trailer.
func (r *relay) abort(err error) {
	r.x.Outcome = chestnutstream.Unknown
	body, _ := json.Marshal(r.x.errorBody("answer-lost", "the stream ended before its end: "+errorText(err)))
	_, _ = r.x.W.Write([]byte("event: error\n"))
	_ = r.event(body)
	r.x.W.Header().Set(outcomeHeader, string(r.x.Outcome))
}

type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// answer writes the collected answer.
func (r *relay) answer() {
	choice := answerChoice{}
	if len(r.last.Choices) > 0 {
		choice.FinishReason = r.last.Choices[0].FinishReason
	}
	text := r.text.String()
	object := "text_completion"
	if strings.HasSuffix(r.x.R.URL.Path, "/chat/completions") {
		object = "chat.completion"
		choice.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	r.x.Status = http.StatusOK
	h := r.x.W.Header()
	h.Set("Content-Type", "application/json")
	h.Set(outcomeHeader, string(r.x.Outcome))
	_ = json.NewEncoder(r.x.W).Encode(struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []answerChoice  `json:"choices"`
		Usage   json.RawMessage `json:"usage,omitempty"`
	}{r.x.ID, object, r.x.Began.Unix(), r.x.Resolved.AdapterVersion.String(), []answerChoice{choice}, r.last.Usage})
}
