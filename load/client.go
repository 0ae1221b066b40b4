package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/chestnutstream/chestnutstream/caller"
)

// seen is what a caller saw of one request.
type seen struct {
	class      string
	status     int
	outcome    string // as told; "" when none was
	code       string // of an error answer or event
	message    string // of an error answer or event
	firstToken time.Duration
	stall      time.Duration
	hasStall   bool
	whole      bool // the answer claimed to be whole
	truncated  bool // it claimed so and was not
	doubled    bool // a part of it came twice or out of order
	wrong      bool // another adapter version made a part of it
	lost       bool // no final answer in time
	refused    bool
}

// client sends requests as callers do.
type client struct {
	http  *http.Client
	token string
}

func newClient() *client {
	return &client{
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
		token: "Bearer " + caller.Credential(CallerSecret, CallerName),
	}
}

// finalAnswerGrace is how long after its deadline a request may get its final
// answer; after that it counts as lost.
const finalAnswerGrace = 5 * time.Second

func (c *client) send(ctx context.Context, method, address, path string, class Class, header map[string]string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.GetBody = nil
	req.Header.Set("Authorization", c.token)
	req.Header.Set("Request-Class", class.Name)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	return resp, nil
}

// dialFailed reports whether a request never reached an instance, so that the
// platform's balancer would have sent it to another.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// generate asks for an answer of class.Tokens tokens and checks each.
func (c *client) generate(ctx context.Context, address, model string, class Class, planned time.Time) (seen, error) {
	s := seen{class: class.Name}
	ctx, cancel := context.WithTimeout(ctx, class.Timeout+finalAnswerGrace)
	defer cancel()
	body, err := json.Marshal(map[string]any{"model": model, "prompt": "what is left on " + model, "max_tokens": class.Tokens, "stream": true})
	if err != nil {
		return s, fmt.Errorf("encode request: %w", err)
	}
	resp, err := c.send(ctx, http.MethodPost, address, "/v1/completions", class, nil, body)
	if err != nil {
		s.lost = ctx.Err() != nil
		return s, err
	}
	defer resp.Body.Close()
	s.note(resp)
	if resp.StatusCode != http.StatusOK {
		s.refusal(resp.Body)
		return s, nil
	}
	s.read(resp.Body, model, class.Tokens, planned)
	_, _ = io.Copy(io.Discard, resp.Body) // the trailer comes after the body's end
	s.outcome = resp.Trailer.Get("Chestnutstream-Outcome")
	s.lost = ctx.Err() != nil
	return s, nil
}

func (s *seen) note(resp *http.Response) {
	s.status = resp.StatusCode
	s.outcome = resp.Header.Get("Chestnutstream-Outcome")
	if ms, err := strconv.ParseInt(resp.Header.Get("Chestnutstream-Load-Stall-Ms"), 10, 64); err == nil {
		s.stall, s.hasStall = time.Duration(ms)*time.Millisecond, true
	}
}

func (s *seen) refusal(body io.Reader) {
	var e struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(body).Decode(&e)
	s.code, s.message = e.Error.Code, e.Error.Message
	s.refused = s.outcome == "not-run"
}

// read takes a stream and checks that each token is the next one of the right
// adapter version.
func (s *seen) read(body io.Reader, model string, tokens int, planned time.Time) {
	next := 0
	for ev, err := range sse.Read(bufio.NewReader(body), nil) {
		if err != nil {
			return // cut off: it does not claim to be whole
		}
		switch {
		case ev.Type == "error":
			s.refusal(strings.NewReader(ev.Data))
			return
		case ev.Data == "[DONE]":
			s.whole = true
			s.truncated = next != tokens
			return
		}
		if next == 0 {
			s.firstToken = time.Since(planned)
		}
		s.token(ev.Data, model, next)
		next++
	}
}

func (s *seen) token(data, model string, next int) {
	var chunk struct {
		Model   string `json:"model"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
		s.wrong = true
		return
	}
	av, index, _ := strings.Cut(strings.TrimSpace(chunk.Choices[0].Text), "#")
	s.wrong = s.wrong || chunk.Model != model || av != model
	s.doubled = s.doubled || index != strconv.Itoa(next)
}

// call calls the plain service.
func (c *client) call(ctx context.Context, method, address, path string, class Class, key string, planned time.Time) (seen, error) {
	s := seen{class: class.Name}
	ctx, cancel := context.WithTimeout(ctx, class.Timeout+finalAnswerGrace)
	defer cancel()
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	resp, err := c.send(ctx, method, address, path, class, header, nil)
	if err != nil {
		s.lost = ctx.Err() != nil
		return s, err
	}
	defer resp.Body.Close()
	s.note(resp)
	if resp.StatusCode >= http.StatusBadRequest {
		s.refusal(resp.Body)
		return s, nil
	}
	body, err := io.ReadAll(resp.Body)
	s.lost = ctx.Err() != nil
	if err != nil {
		return s, nil
	}
	s.firstToken = time.Since(planned)
	s.whole = true
	s.truncated = !json.Valid(body)
	return s, nil
}
