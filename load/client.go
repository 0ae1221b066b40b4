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

// observation is what a caller observed of one request.
type observation struct {
	class        string
	status       int
	outcome      string        // as reported by the instance; empty if it reported none
	code         string        // of an error response or event
	message      string        // of an error response or event
	firstToken   time.Duration // since the planned arrival; of a service call: time of the whole response
	stall        time.Duration
	hasStall     bool
	complete     bool // the response had its end marker
	truncated    bool // the response had its end marker but was not complete
	doubled      bool // a part of the response arrived twice or out of order
	wrongAdapter bool // a part of the response came from another adapter version
	lost         bool // no final response in time
	refused      bool // the error response reported outcome not-run
}

// client sends requests to instances as a caller.
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

// finalResponseGrace is how long after its deadline a request may receive its
// final response before it counts as lost.
const finalResponseGrace = 5 * time.Second

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

// dialFailed reports whether err is a failure to connect, after which the platform's
// load balancer tries another instance.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// generate requests a streamed completion of class.Tokens tokens and checks each
// token. The error is not nil if no response was received.
func (c *client) generate(ctx context.Context, address, model string, class Class, planned time.Time) (observation, error) {
	s := observation{class: class.Name}
	ctx, cancel := context.WithTimeout(ctx, class.Timeout+finalResponseGrace)
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
	s.recordHeaders(resp)
	if resp.StatusCode != http.StatusOK {
		s.recordError(resp.Body)
		return s, nil
	}
	s.checkStream(resp.Body, model, class.Tokens, planned)
	_, _ = io.Copy(io.Discard, resp.Body) // the trailer is available after the body was read
	s.outcome = resp.Trailer.Get("Chestnutstream-Outcome")
	s.lost = ctx.Err() != nil
	return s, nil
}

// recordHeaders records the status and the headers of a response.
func (s *observation) recordHeaders(resp *http.Response) {
	s.status = resp.StatusCode
	s.outcome = resp.Header.Get("Chestnutstream-Outcome")
	if ms, err := strconv.ParseInt(resp.Header.Get("Chestnutstream-Load-Stall-Ms"), 10, 64); err == nil {
		s.stall, s.hasStall = time.Duration(ms)*time.Millisecond, true
	}
}

// recordError records the error of an error response or event.
func (s *observation) recordError(body io.Reader) {
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

// checkStream reads an event stream and checks that each token is the next one in
// sequence and comes from the requested adapter version.
func (s *observation) checkStream(body io.Reader, model string, tokens int, planned time.Time) {
	next := 0
	for ev, err := range sse.Read(bufio.NewReader(body), nil) {
		if err != nil {
			return // the stream broke off without its end marker
		}
		switch {
		case ev.Type == "error":
			s.recordError(strings.NewReader(ev.Data))
			return
		case ev.Data == "[DONE]":
			s.complete = true
			s.truncated = next != tokens
			return
		}
		if next == 0 {
			s.firstToken = time.Since(planned)
		}
		s.checkToken(ev.Data, model, next)
		next++
	}
}

// checkToken checks the event data of the token with index next.
func (s *observation) checkToken(data, model string, next int) {
	var chunk struct {
		Model   string `json:"model"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
		s.wrongAdapter = true
		return
	}
	adapter, index, _ := strings.Cut(strings.TrimSpace(chunk.Choices[0].Text), "#")
	s.wrongAdapter = s.wrongAdapter || chunk.Model != model || adapter != model
	s.doubled = s.doubled || index != strconv.Itoa(next)
}

// call sends a request to the plain service, with an idempotency key unless key is
// empty. The error is not nil if no response was received.
func (c *client) call(ctx context.Context, method, address, path string, class Class, key string, planned time.Time) (observation, error) {
	s := observation{class: class.Name}
	ctx, cancel := context.WithTimeout(ctx, class.Timeout+finalResponseGrace)
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
	s.recordHeaders(resp)
	if resp.StatusCode >= http.StatusBadRequest {
		s.recordError(resp.Body)
		return s, nil
	}
	body, err := io.ReadAll(resp.Body)
	s.lost = ctx.Err() != nil
	if err != nil {
		return s, nil
	}
	s.firstToken = time.Since(planned)
	s.complete = true
	s.truncated = !json.Valid(body)
	return s, nil
}
