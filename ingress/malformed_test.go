package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/fleet"
)

// rawHead is a responder whose response begins with a status line and some lines, and goes on
// with the fields that every response of a server has, and body. The connection is not kept: a
// request on one that its server has closed may have run.
func rawHead(lines, body string) responder {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(c, "%s\r\nConnection: close\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Server-Signature: sig\r\n\r\n%s", lines, r.Header.Get(requestIDHeader), body)
		return false
	}
}

// sendRaw sends a request and reads its connection to the end. status is 0 if there is no
// response; err tells of one that is visibly not whole.
func (f *testServer) sendRaw(t *testing.T, path string) (status int, body string, err error) {
	t.Helper()
	resp, body, err := f.exchangeRaw(t, path)
	if resp == nil {
		return 0, "", err
	}
	return resp.StatusCode, body, err
}

// exchangeRaw is sendRaw that returns the response, whose body is read; nil if there is none.
func (f *testServer) exchangeRaw(t *testing.T, path string) (resp *http.Response, body string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s: r-1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", path, requestIDHeader)
	assert.NilError(t, err)
	response, err := io.ReadAll(conn)
	if len(response) == 0 {
		return nil, "", err
	}
	resp, parseErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(response)), nil)
	assert.NilError(t, parseErr, "%q", response)
	defer resp.Body.Close()
	text, bodyErr := io.ReadAll(resp.Body)
	if err == nil {
		err = bodyErr
	}
	return resp, string(text), err
}

// assertMalformed asserts that a response that is no response counts as a broken connection: its
// request is sent to another server if that is allowed, and otherwise fails as one that may have
// run.
func assertMalformed(t *testing.T, respond responder) {
	t.Helper()
	malformed, sound := newBackend(t, "i-malformed", respond), newBackend(t, "i-sound", respondOK)
	alone, both, unbudgeted := newTestServer(t, malformed), newTestServer(t, malformed, sound), newTestServer(t, malformed, sound)
	unbudgeted.dispatcher.allowRetry = false
	peer := forwardingServer(t, malformed.l.Addr().String())
	kinds := []string{"/look/1", "/order/1", "/once/1", "/ask/1"}
	servers := []struct {
		name   string
		server *testServer
		retry  bool
		paths  []string
	}{
		{"direct", alone, false, kinds},
		{"through an instance", forwardingServer(t, alone.peerAddress(t)), false, kinds[:2]},
		{"from an instance", peer, false, kinds[:2]},
		{"without budget", unbudgeted, false, kinds[:1]},
		{"another server left", both, true, kinds},
		{"another server left, through an instance", forwardingServer(t, both.peerAddress(t)), true, kinds[:1]},
	}
	for _, s := range servers {
		for _, path := range s.paths {
			before := sound.requestCount()
			status, body, err := s.server.sendRaw(t, path)
			assert.Check(t, err == nil, "%s, %s: %v", s.name, path, err)
			if s.retry && (path == "/look/1" || path == "/ask/1") {
				assert.Check(t, status == http.StatusOK && body == "from i-sound", "%s, %s: %d %q", s.name, path, status, body)
				continue
			}
			assert.Check(t, status == http.StatusBadGateway, "%s, %s: %d %q", s.name, path, status, body)
			assert.Check(t, sound.requestCount() == before, "%s, %s: sent again", s.name, path)
		}
		s.server.dispatcher.mu.Lock()
		for _, r := range s.server.dispatcher.results {
			assert.Check(t, r.Outcome == fleet.Failed || s.retry || s.name == "through an instance", "%s: %s", s.name, r.Outcome)
		}
		assert.Check(t, len(s.server.dispatcher.results) > 0, s.name)
		s.server.dispatcher.mu.Unlock()
		awaitDone(t, s.server.handler)
	}
}

// Guards against a status that is relayed, or ends the caller's connection, though it is none of
// a final response.
func TestStatusThatIsNotFinalIsNoResponse(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "001", "099", "+20", "-20", "101", "600", "999", "20", "2000", "20x", ""} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			assertMalformed(t, rawHead("HTTP/1.1 "+status+" Odd\r\nContent-Length: 4", "oops"))
		})
	}
}

// Guards against a field that is dropped, or body that is read without the field that frames it,
// as the field's name is none.
func TestFieldWhoseNameIsNoTokenIsNoResponse(t *testing.T) {
	t.Parallel()
	const length = "Content-Length: 4"
	tests := []struct{ name, fields, body string }{
		{"blank inside", "X Odd: 1\r\n" + length, "oops"},
		{"blank at the end", "X-Odd : 1\r\n" + length, "oops"},
		{"blank in the last field", length + "\r\nX-Odd : 1", "oops"},
		{"two words", "Oops I did it: 1\r\n" + length, "oops"},
		{"length", "Content-Length : 4", "oops and what follows"},
		{"length inside", "Content Length: 4", "oops and what follows"},
		{"coding", "Transfer-Encoding : chunked", "4\r\noops\r\n0\r\n\r\n"},
		{"length beside a coding", "Transfer-Encoding : chunked\r\nContent-Length: 14", "4\r\noops\r\n0\r\n\r\n"},
		{"request ID", requestIDHeader + " : r-2\r\n" + length, "oops"},
		{"empty", ": 1\r\n" + length, "oops"},
		{"blank only", "X-Odd: 1\r\n : 2\r\n" + length + "\r\n\t\r\n X Odd : 2\r\nX : 1", "oops"},
		{"tab", "X-Odd\t: 1\r\n" + length, "oops"},
		{"NUL", "X\x00Odd: 1\r\n" + length, "oops"},
		{"escape", "X\x1bOdd: 1\r\n" + length, "oops"},
		{"CR", "X\rOdd: 1\r\n" + length, "oops"},
		{"DEL", "X\x7fOdd: 1\r\n" + length, "oops"},
		{"obs-text", "X\xe9Odd: 1\r\n" + length, "oops"},
		{"delimiter", "X(Odd): 1\r\n" + length, "oops"},
		{"no colon", "X-Odd\r\n" + length, "oops"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			assertMalformed(t, rawHead("HTTP/1.1 200 OK\r\n"+tt.fields, tt.body))
		})
	}
	for _, fields := range []string{"X Odd: 1", "Transfer-Encoding : chunked", "X\x00Odd: 1"} {
		t.Run(fmt.Sprintf("%q, of an interim response", fields), func(t *testing.T) {
			t.Parallel()
			assertMalformed(t, rawHead("HTTP/1.1 103 Early Hints\r\n"+fields+"\r\n\r\nHTTP/1.1 200 OK\r\n"+length, "oops"))
		})
	}
}

// Guards against a response whose framing is that of another version of the protocol.
func TestFramingOfAnotherVersionIsNoResponse(t *testing.T) {
	t.Parallel()
	const chunks = "4\r\noops\r\n0\r\n\r\n"
	tests := []struct{ name, head, body string }{
		{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", chunks},
		{"coding in HTTP/1.0, lower case", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked", chunks},
		{"coding beside a length in HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 14\r\nTransfer-Encoding: chunked", chunks},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 4", "oops"},
		{"HTTP/0.9", "HTTP/0.9 200 OK\r\nContent-Length: 4", "oops"},
		{"no version", "200 OK\r\nContent-Length: 4", "oops"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			assertMalformed(t, rawHead(tt.head, tt.body))
		})
	}
}

// Guards against a trailer that net/http passes over though its name is no token.
func TestMalformedTrailerBreaksOffResponse(t *testing.T) {
	t.Parallel()
	for _, trailer := range []string{"X Odd: 1", "X-Odd : 1", "X-A: 1\r\nX-Odd : 1", "X\x01: 1", ": 1"} {
		for _, announced := range []string{"", "Trailer: X-Odd\r\n"} {
			t.Run(fmt.Sprintf("%q, %q", trailer, announced), func(t *testing.T) {
				t.Parallel()
				body := fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n\r\n", len(eventsOfTruncated), eventsOfTruncated, trailer)
				here := newTestServer(t, newBackend(t, "i-1", rawHead("HTTP/1.1 200 OK\r\n"+announced+"Transfer-Encoding: chunked", body)))
				for i, s := range []*testServer{here, forwardingServer(t, here.peerAddress(t))} {
					for _, path := range []string{"/look/1", "/order/1", "/once/1", "/ask/1"} {
						status, _, err := s.sendRaw(t, path)
						assert.Check(t, err != nil || status == http.StatusBadGateway, "server %d, %s: whole, with status %d", i, path, status)
					}
				}
			})
		}
	}
}

// Guards against control bytes in a reason phrase.
func TestReasonWithControlBytesIsNoResponse(t *testing.T) {
	t.Parallel()
	for _, reason := range []string{"O\x00K", "OK\r", "\x1b[31mOK", "O\x7fK"} {
		t.Run(fmt.Sprintf("%q", reason), func(t *testing.T) {
			t.Parallel()
			assertMalformed(t, rawHead("HTTP/1.1 200 "+reason+"\r\nContent-Length: 4", "oops"))
		})
	}
}

// Guards against a check that ends with the first response of a connection.
func TestMalformedResponseOnKeptConnectionIsNoResponse(t *testing.T) {
	t.Parallel()
	for _, head := range []string{"HTTP/1.1 000 Odd\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 4"} {
		for _, first := range []string{"200 OK", "204 No Content", "304 Not Modified"} {
			t.Run(fmt.Sprintf("%.20q after %s", head, first), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				requests := map[net.Conn]int{}
				f := newTestServer(t, newBackend(t, "i-1", func(c net.Conn, r *http.Request, id string) bool {
					mu.Lock()
					defer mu.Unlock()
					if requests[c]++; requests[c] > 1 {
						return rawHead(head, "oops")(c, r, id)
					}
					_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: r-1\r\nX-Chestnutstream-Server-Signature: sig\r\n", first, requestIDHeader)
					if first == "200 OK" {
						_, err = io.WriteString(c, "Content-Length: 4\r\n\r\nfine")
					} else if err == nil {
						_, err = io.WriteString(c, "\r\n")
					}
					return err == nil
				}))
				for i, want := range []string{first[:3], "502"} {
					status, body, err := f.sendRaw(t, "/order/1")
					assert.NilError(t, err)
					assert.Equal(t, fmt.Sprint(status), want, "request %d: %q", i, body)
				}
				mu.Lock()
				defer mu.Unlock()
				assert.Equal(t, len(requests), 1, "the connection was not kept")
			})
		}
	}
}

// Guards against responses that are odd but allowed and do not reach the caller.
func TestOddResponseIsRelayed(t *testing.T) {
	t.Parallel()
	const (
		length  = "\r\nContent-Length: 4"
		oddName = "!#$%&'*+-.^_`|~09azAZ"
	)
	tests := []struct {
		name, head, body string // body as the server sends it
		status           int
		want             string // body
	}{
		{"any token as a name", "HTTP/1.1 200 OK\r\n" + oddName + ": 1\r\n1: 2" + length, "fine", 200, "fine"},
		{"no reason phrase", "HTTP/1.1 200 " + length, "fine", 200, "fine"},
		{"no blank after the status", "HTTP/1.1 200" + length, "fine", 200, "fine"},
		{"reason phrase with a tab and obs-text", "HTTP/1.1 200 tr\xe8s\tbien" + length, "fine", 200, "fine"},
		{"lines that end in LF", "HTTP/1.1 200 OK\nX-A: 1\nContent-Length: 4", "fine", 200, "fine"},
		{"empty value", "HTTP/1.1 200 OK\r\nX-Odd:" + length, "fine", 200, "fine"},
		{"value with a colon and obs-text", "HTTP/1.1 200 OK\r\nX-Odd: a : \xe9\t" + length, "fine", 200, "fine"},
		{"folded value", "HTTP/1.1 200 OK\r\nX-Odd: a\r\n b : c\r\n\td" + length, "fine", 200, "fine"},
		{"folded length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n 4", "fine", 200, "fine"},
		{"a status that has no name", "HTTP/1.1 299 Fine" + length, "fine", 299, "fine"},
		{"the highest status", "HTTP/1.1 599 Bad" + length, "fine", 599, "fine"},
		{"a later minor version", "HTTP/1.7 200 OK" + length, "fine", 200, "fine"},
		{"HTTP/1.0", "HTTP/1.0 200 OK" + length, "fine", 200, "fine"},
		{"HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\nServer: old", "fine", 200, "fine"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", "4;a=\"b c\"\r\nfine\r\n0\r\nX-T!: a\r\n\r\n", 200, "fine"},
		{"an announced trailer that does not come", "HTTP/1.1 200 OK\r\nTrailer: X T\r\nTransfer-Encoding: chunked", "4\r\nfine\r\n0\r\n\r\n", 200, "fine"},
		{"a coding beside a length", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked", "4\r\nfine\r\n0\r\n\r\n", 200, "fine"},
		{"interim responses", "HTTP/1.1 102\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK" + length, "fine", 200, "fine"},
		{"no body", "HTTP/1.1 204 No Content\r\nX-Odd: 1", "", 204, ""},
		{"what looks like a malformed head in the body", "HTTP/1.1 200 OK\r\nContent-Length: 27", "HTTP/1.1 000\r\nX Odd: 1\r\n\r\n!", 200, "HTTP/1.1 000\r\nX Odd: 1\r\n\r\n!"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			here := newTestServer(t, newBackend(t, "i-1", rawHead(tt.head, tt.body)))
			for i, s := range []*testServer{here, forwardingServer(t, here.peerAddress(t))} {
				for _, path := range []string{"/look/1", "/order/1"} {
					resp, body, err := s.exchangeRaw(t, path)
					assert.NilError(t, err, "server %d, %s", i, path)
					assert.Equal(t, resp.StatusCode, tt.status, "server %d, %s: %q", i, path, body)
					assert.Equal(t, body, tt.want, "server %d, %s", i, path)
					if strings.Contains(tt.head, oddName) {
						assert.Equal(t, resp.Header.Get(oddName), "1", "server %d, %s: %v", i, path, resp.Header)
					}
				}
			}
		})
	}
}

// Guards against a malformed response that leaves no line in the log when another server serves
// its request.
func TestMalformedResponseIsLogged(t *testing.T) {
	t.Parallel()
	logs := memory.New()
	f := newTestServer(t, newBackend(t, "i-malformed", rawHead("HTTP/1.1 200 OK\r\nX Odd: 1", "oops")), newBackend(t, "i-sound", respondOK))
	f.handler.cfg.Log = &log.Logger{Handler: logs, Level: log.WarnLevel}
	status, _, err := f.sendRaw(t, "/look/1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	awaitDone(t, f.handler)
	e := logs.Entries[0]
	assert.Equal(t, e.Message, "malformed response")
	assert.DeepEqual(t, e.Fields, log.Fields{"request-id": "r-1", "server": "i-malformed", "fault": "field", "line": "X Odd: 1"})
}
