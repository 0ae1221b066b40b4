package ingress

import (
	"bytes"
	"fmt"
	"io"
	"iter"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/chestnutstream/chestnutstream/platform"
)

// Bytes of event streams, as in https://html.spec.whatwg.org/multipage/server-sent-events.html.
var (
	lf            = []byte("\n")
	cr            = []byte("\r")
	byteOrderMark = []byte("\xef\xbb\xbf")

	// Line ends of which the second is that of a blank line. CR alone ends a line only in
	// bytes without LF: servers write it inside of data.
	blankLF = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}
	blankCR = [][]byte{[]byte("\r\r")}
)

// eventFields are the names of fields of events. A comment has the name "".
var eventFields = []string{"", "data", "event", "id", "retry", strings.ToLower(platform.HeaderWeightVersions)}

// eventsEnd returns the number of bytes of b up to the end of its last whole event, 0 if it
// has none. The first bytes of b, up to searched, are known to end no event.
func eventsEnd(b []byte, searched int) int {
	from := max(searched-2, 0) // CR LF may follow on them
	end := 0
	for _, blank := range blankLines(b) {
		if i := bytes.LastIndex(b[from:], blank); i >= 0 {
			end = max(end, from+i+len(blank))
		}
	}
	return end
}

// eventEnd returns the number of bytes of the first whole event of b, 0 if it has none.
func eventEnd(b []byte) int {
	end := 0
	for _, blank := range blankLines(b) {
		if i := bytes.Index(b, blank); i >= 0 && (end == 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

func blankLines(b []byte) [][]byte {
	if bytes.Contains(b, lf) {
		return blankLF
	}
	return blankCR
}

// lines returns the lines of an event, without their ends.
func lines(event []byte) iter.Seq[[]byte] {
	end := lf
	if !bytes.Contains(event, lf) {
		end = cr
	}
	return func(yield func([]byte) bool) {
		for line := range bytes.SplitSeq(event, end) {
			if !yield(bytes.TrimSuffix(line, cr)) {
				return
			}
		}
	}
}

// hasField reports whether an event has a field with one of the names. A line without a
// colon is a field without a value.
func hasField(event []byte, names ...string) bool {
	for line := range lines(event) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if len(line) > 0 && slices.Contains(names, string(name)) {
			return true
		}
	}
	return false
}

// eventID returns the id of an event, "" if it has none.
func eventID(event []byte) string {
	for line := range lines(event) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// containsHead reports whether the head of another response cuts into an event. It ends with
// the blank line of the head, and has lines that are no fields or, before the cut, end
// otherwise.
func containsHead(event []byte) bool {
	if !bytes.HasSuffix(event, []byte("\r\n\r\n")) {
		return false
	}
	for line := range lines(event) {
		if len(line) > 0 && !hasField(line, eventFields...) {
			return true
		}
	}
	return bytes.Count(event, lf) != bytes.Count(event, []byte("\r\n"))
}

// increases reports whether the ID of an event may follow on that of the last one.
func increases(last, id string) bool {
	m, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return id != last
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return err == nil && n > m
}

// isEncoded reports whether the bytes of a response are not those of its media type.
func isEncoded(h http.Header) bool {
	encoding := h.Get("Content-Encoding")
	return encoding != "" && !strings.EqualFold(encoding, "identity")
}

// isEventStream reports whether a response is a stream of events by its header.
func isEventStream(h http.Header) bool {
	return !isEncoded(h) && slices.ContainsFunc(h.Values("Content-Type"), func(v string) bool {
		mediaType, _, _ := mime.ParseMediaType(v) // known also if a parameter is malformed
		return mediaType == "text/event-stream"
	})
}

// beginsEvent reports whether the first line of a body, of which b is the beginning, is that of
// an event. JSON, for instance, is not. A line without a colon, or a part of one, is taken for
// a field only if the header states no media type.
func beginsEvent(h http.Header, b []byte) bool {
	if isEncoded(h) {
		return false
	}
	b = bytes.TrimLeft(bytes.TrimPrefix(b, byteOrderMark), "\r\n")
	end := bytes.IndexAny(b, "\r\n")
	line := b
	if end >= 0 {
		line = b[:end]
	}
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case hasColon:
		return slices.Contains(eventFields, string(name))
	case h.Get("Content-Type") != "":
		return false
	case end >= 0:
		return slices.Contains(eventFields, string(name))
	}
	cut := func(field string) bool { return strings.HasPrefix(field, string(name)) }
	return slices.ContainsFunc(eventFields, cut) || bytes.HasPrefix(byteOrderMark, b)
}

// earlyEnd returns an error if the end of a server's response cannot be the end of the stream,
// though its framing is complete: it is inside an event, or nothing but the end of the
// connection shows that there are no events. Text without events is a whole response only
// with its own header. A server that resumes may have no more events, in a response that is a
// stream.
func (s *stream) earlyEnd(resp *http.Response) error {
	unframed := endsWithConnection(resp)
	early := unframed && s.events == 0
	partial := len(bytes.Trim(s.partial, "\r\n"))
	switch {
	case partial > 0:
		isEvents := s.hasEvents || isEventStream(resp.Header) || s.events == 0 && beginsEvent(resp.Header, s.partial)
		early = unframed || s.resumed || isEvents
	case !s.joined:
		early = unframed || !s.eventSent || !isEventStream(resp.Header)
	}
	if !early {
		return nil
	}
	return fmt.Errorf("response ends in order after %d events and %d bytes of the next one: %w", s.events, partial, io.ErrUnexpectedEOF)
}
