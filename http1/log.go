package http1

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

// LogMalformed logs and counts the malformed response of a server, if err means that there was
// one. requestID is empty for calls without an ID.
func LogMalformed(l log.Interface, set *metrics.Set, err error, server, requestID string) {
	var malformed *MalformedError
	if !errors.As(err, &malformed) {
		return
	}
	set.GetOrCreateCounter(`chestnutstream_malformed_responses_total{fault="` + string(malformed.Fault) + `"}`).Inc()
	l.WithFields(log.Fields{"request-id": requestID, "server": server, "fault": string(malformed.Fault), "line": malformed.Line}).Warn("malformed response")
}
