package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// Fault is how a response violates the grammar.
type Fault string

// The faults.
const (
	FaultVersion Fault = "version" // not one of HTTP/1
	FaultStatus  Fault = "status"  // not three digits of 100 to 599, or 101, which no client asks for
	FaultReason  Fault = "reason"  // a control byte in the reason phrase
	FaultField   Fault = "field"   // a field, also a trailer, whose name is no token, or that has no colon
	FaultFraming Fault = "framing" // a transfer coding in HTTP/1.0 (RFC 9112, 6.1)
)

// MalformedError is the error of a response that violates the grammar.
type MalformedError struct {
	Fault Fault
	Line  string // the line with the fault, of at most maxErrorBytes bytes
}

// maxErrorBytes limits how much of a line is kept for an error.
const maxErrorBytes = 80

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed response: %s: %q", e.Fault, e.Line)
}

func newMalformedError(f Fault, line []byte) error {
	return &MalformedError{f, string(line[:min(len(line), maxErrorBytes)])}
}

// Statuses of responses.
const (
	minStatus = 100
	minFinal  = 200
	maxStatus = 599
)

// head checks the head of a response, and those of the interim responses before it, as its
// bytes arrive.
type head struct {
	partial    []byte // beginning of a line whose end has not arrived
	statusRead bool   // the status line was
	final      bool   // it is not that of an interim response
	http10     bool   // its version is HTTP/1.0
	done       bool   // what follows is the body
}

// read checks the next bytes. Those behind the head are not looked at.
func (h *head) read(b []byte) error {
	for len(b) > 0 && !h.done {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			h.partial = append(h.partial, b...)
			return nil
		}
		line := b[:end]
		if len(h.partial) > 0 {
			h.partial = append(h.partial, line...)
			line = h.partial
		}
		if err := h.readLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
		h.partial, b = h.partial[:0], b[end+1:]
	}
	if h.done {
		h.partial = nil
	}
	return nil
}

func (h *head) readLine(line []byte) error {
	switch {
	case !h.statusRead:
		h.statusRead = true
		return h.readStatusLine(line)
	case len(line) == 0:
		h.statusRead, h.done = false, h.final
		return nil
	}
	return h.readField(line)
}

var versionPrefix = []byte("HTTP/1.")

func (h *head) readStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, ok := bytes.CutPrefix(version, versionPrefix)
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return newMalformedError(FaultVersion, line)
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, ok := parseStatus(code)
	if !ok || status == http.StatusSwitchingProtocols {
		return newMalformedError(FaultStatus, line)
	}
	if slices.ContainsFunc(reason, isControl) {
		return newMalformedError(FaultReason, line)
	}
	h.final, h.http10 = status >= minFinal, minor[0] == '0'
	return nil
}

// parseStatus returns a status; ok is false if it is none.
func parseStatus(code []byte) (status int, ok bool) {
	if len(code) != 3 {
		return 0, false
	}
	for _, c := range code {
		if !isDigit(c) {
			return 0, false
		}
		status = 10*status + int(c-'0')
	}
	return status, status >= minStatus && status <= maxStatus
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isControl reports whether a byte may not be part of a reason phrase.
func isControl(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }

var transferEncoding = []byte("Transfer-Encoding")

// readField checks the name of a field. net/http checks values.
func (h *head) readField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return nil // more of the value before; net/http rejects it in the first field
	}
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || slices.ContainsFunc(name, isInvalidNameByte) {
		return newMalformedError(FaultField, line)
	}
	if h.http10 && bytes.EqualFold(name, transferEncoding) {
		return newMalformedError(FaultFraming, line)
	}
	return nil
}

func isInvalidNameByte(c byte) bool { return !httpguts.IsTokenRune(rune(c)) }
