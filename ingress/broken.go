package ingress

import (
	"cmp"
	"io"
	"syscall"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/http1"
)

// isDisconnect reports whether an error means that the server's end of a connection
// was closed or reset.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordBroken tells the dispatcher that the connection to a server ended, if err
// means that, and records what became of the server. A prompt that may have crashed it
// is not sent to another one.
func (x *exchange) recordBroken(a Assignment, p chestnutstream.ResponseProgress, err error) {
	x.serverCrashed, x.suspected = false, false
	x.logMalformed(a, err)
	if a.Peer != "" || !isDisconnect(err) {
		return
	}
	b := BrokenResponse{RequestID: x.header.ID, Fingerprint: x.fingerprint(), Progress: p}
	r := x.server.dispatcher.RecordBroken(x.ctx, a, b)
	x.serverCrashed, x.suspected = r.Crashed, r.Suspected
}

// recordSurvival tells the dispatcher that the response to the request got under way.
func (x *exchange) recordSurvival(a Assignment) {
	if a.Peer == "" {
		x.server.dispatcher.RecordSurvival(a, x.fingerprint())
	}
}

// progress returns how far the server's response to the relayed stream has got.
func (s *stream) progress() chestnutstream.ResponseProgress {
	if s.events >= chestnutstream.MinEventsUnderWay {
		return chestnutstream.ResponseUnderWay
	}
	return chestnutstream.ResponseBegun
}

// logMalformed logs and counts a malformed response, if err means that there was one.
func (x *exchange) logMalformed(a Assignment, err error) {
	http1.LogMalformed(x.server.cfg.Log, x.server.cfg.Metrics, err, cmp.Or(a.Peer, a.Server.ID), x.header.ID)
}
