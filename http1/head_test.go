package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// heads are heads of responses with the fault of each; "" for those that are well-formed.
var heads = []struct {
	head  string
	fault Fault
}{
	{"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", ""},
	{"HTTP/1.1 200\r\n\r\n", ""},
	{"HTTP/1.0  404 \n\n", ""},
	{"HTTP/1.1 599 \xe9\t!\r\nA: 1\r\n b\r\n\r\n", ""},
	{"HTTP/1.1 103 Early\r\nA: 1\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", ""},
	{"HTTP/1.1 000 Odd\r\n\r\n", FaultStatus},
	{"HTTP/1.1 099 Odd\r\n\r\n", FaultStatus},
	{"HTTP/1.1 101 Odd\r\n\r\n", FaultStatus},
	{"HTTP/1.1 600 Odd\r\n\r\n", FaultStatus},
	{"HTTP/1.1 +20 Odd\r\n\r\n", FaultStatus},
	{"HTTP/1.1 2000 Odd\r\n\r\n", FaultStatus},
	{"HTTP/1.1 20\r\n\r\n", FaultStatus},
	{"HTTP/1.1\r\n\r\n", FaultStatus},
	{"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n", FaultStatus},
	{"HTTP/2.0 200 OK\r\n\r\n", FaultVersion},
	{"HTTP/1.10 200 OK\r\n\r\n", FaultVersion},
	{"http/1.1 200 OK\r\n\r\n", FaultVersion},
	{"\r\nHTTP/1.1 200 OK\r\n\r\n", FaultVersion},
	{"HTTP/1.1 200 O\x00K\r\n\r\n", FaultReason},
	{"HTTP/1.1 200 OK\r\r\n\r\n", FaultReason},
	{"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ:\r\n\r\n", ""},
	{"HTTP/1.1 200 OK\r\nA: b c: d\r\n e f : g\r\n\t\r\n\r\n", ""},
	{"HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\nA : 1\r\n\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\nA\t: 1\r\n\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\nA\x00: 1\r\n\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\nA\x7f: 1\r\n\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\nA\rB: 1\r\n\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\n(A): 1\r\n\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\n: 1\r\n\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\nA\r\n\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\nA: 1\r\n\r\r\n", FaultField},
	{"HTTP/1.1 200 OK\r\n\xe9: 1\r\n\r\n", FaultField},
	{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", FaultFraming},
	{"HTTP/1.0 200 OK\r\ntransfer-encoding:\r\n\r\n", FaultFraming},
	{"HTTP/1.0 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
	{"HTTP/1.1 103 Early\r\nA : 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", FaultField},
}

// readAll passes a head on in pieces of n bytes and more, and returns the error of the first
// piece with one.
func readAll(h *head, b []byte, n func() int) error {
	for len(b) > 0 {
		size := min(n(), len(b))
		if err := h.read(b[:size]); err != nil {
			return err
		}
		b = b[size:]
	}
	return nil
}

// Guards against verdicts that depend on how the bytes of a head arrive, or on the body.
func TestHeadIsCheckedHoweverItArrives(t *testing.T) {
	for _, tt := range heads {
		rapid.Check(t, func(rt *rapid.T) {
			var h head
			body := rapid.SliceOf(rapid.Byte()).Draw(rt, "body")
			err := readAll(&h, append([]byte(tt.head), body...), func() int { return rapid.IntRange(1, 20).Draw(rt, "size") })
			if tt.fault == "" {
				assert.NilError(rt, err, "%q", tt.head)
				assert.Assert(rt, h.done, "%q", tt.head)
				return
			}
			var malformed *MalformedError
			assert.Assert(rt, errors.As(err, &malformed), "%q: %v", tt.head, err)
			assert.Equal(rt, malformed.Fault, tt.fault, "%q", tt.head)
		})
	}
}

// FuzzHead reads arbitrary bytes as a response. What is read has the status, version and names of
// one.
func FuzzHead(f *testing.F) {
	for _, tt := range heads {
		f.Add([]byte(tt.head))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		in := bufio.NewReader(&Conn{Conn: &scriptedConn{response: bytes.NewReader(response)}})
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			assert.Assert(t, resp.StatusCode >= minStatus && resp.StatusCode <= maxStatus && resp.StatusCode != http.StatusSwitchingProtocols, "%d", resp.StatusCode)
			assert.Equal(t, resp.ProtoMajor, 1)
			for name := range resp.Header {
				assert.Assert(t, httpguts.ValidHeaderFieldName(name), "%q", name)
			}
			if resp.StatusCode >= minFinal {
				return
			}
		}
	})
}

// Guards against a malformed interim response that is passed over because the final one is sound.
func TestInterimHeadsAreChecked(t *testing.T) {
	for _, tt := range heads {
		if tt.fault != FaultField {
			continue
		}
		var h head
		interim := strings.Replace(tt.head, "200 OK", "103 Early Hints", 1)
		err := h.read([]byte(interim + "HTTP/1.1 200 OK\r\n\r\n"))
		var malformed *MalformedError
		assert.Assert(t, errors.As(err, &malformed), "%q: %v", interim, err)
		assert.Equal(t, malformed.Fault, FaultField, "%q", interim)
	}
}
