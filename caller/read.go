package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// maxTimeout limits the timeout that a caller may request.
const maxTimeout = 24 * time.Hour

// readFilter determines the request's class and deadline and reads its body. The
// deadline applies to reading the body and to all later filters.
type readFilter struct{}

// Serve implements Filter.
func (f *readFilter) Serve(x *Exchange, next func()) {
	class, err := requestClass(x.Config, x.R.Header.Get("Request-Class"))
	if err != nil {
		x.refuse(http.StatusBadRequest, &RefusedError{Code: "unknown-class", Reason: err.Error()})
		return
	}
	x.Class = class
	timeout, err := requestTimeout(x.R.Header.Get("Request-Timeout-Ms"), class)
	if err != nil {
		x.refuse(http.StatusBadRequest, &RefusedError{Code: "bad-timeout", Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(x.Ctx, timeout)
	defer cancel()
	x.Ctx = ctx
	x.Body, err = io.ReadAll(http.MaxBytesReader(x.W, x.R.Body, x.Config.Limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, &RefusedError{Code: "body-too-large", Reason: fmt.Sprintf("the body is over %d bytes", tooLarge.Limit)})
	case err != nil:
		x.refuse(http.StatusBadRequest, &RefusedError{Code: "bad-body", Reason: "the body could not be read: " + err.Error()})
	default:
		next()
	}
}

// requestClass returns the class named by the request. If name is empty, it
// returns the class "default" or, if there is none, the least urgent class. A
// built-in default applies if no classes are configured.
func requestClass(cfg *chestnutstream.Configuration, name string) (chestnutstream.ClassSettings, error) {
	if name != "" {
		c, ok := cfg.Classes[name]
		if !ok {
			return c, fmt.Errorf("no request class %.80q", name)
		}
		return c, nil
	}
	if c, ok := cfg.Classes["default"]; ok {
		return c, nil
	}
	lowest := chestnutstream.ClassSettings{Name: "default", Urgency: 1, Timeout: time.Minute, QueueLimit: 64}
	found := false
	for _, c := range cfg.Classes {
		if !found || c.Urgency < lowest.Urgency || c.Urgency == lowest.Urgency && c.Name < lowest.Name {
			lowest, found = c, true
		}
	}
	return lowest, nil
}

func requestTimeout(header string, class chestnutstream.ClassSettings) (time.Duration, error) {
	if header == "" {
		return class.Timeout, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, fmt.Errorf("request-timeout-ms %.40q: want 1 to %d", header, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}
