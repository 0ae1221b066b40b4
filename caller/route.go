package caller

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/gorilla/mux"
)

// route finds the plain service that a call is for, and whether the call may be
// repeated.
type route struct{}

// Serve implements Filter.
func (f *route) Serve(x *Exchange, next func()) {
	name, err := url.PathUnescape(mux.Vars(x.R)["service"])
	service, ok := x.Config.Services[name]
	if err != nil || !ok {
		x.refuse(http.StatusNotFound, &RefusedError{Code: "unknown-service", Reason: "no such service"})
		return
	}
	if !service.Allows(x.Caller) {
		x.refuse(http.StatusForbidden, &RefusedError{Code: "not-allowed", Reason: x.Caller + " may not use service " + name})
		return
	}
	// The path is judged in the form in which the service will read it, so that
	// no spelling of a non-idempotent path passes for an idempotent one.
	rest := strings.TrimPrefix(x.R.URL.Path, "/services/"+name)
	clean := path.Clean("/" + rest)
	if strings.HasSuffix(rest, "/") && clean != "/" {
		clean += "/"
	}
	target := url.URL{Path: clean, RawQuery: x.R.URL.RawQuery}
	x.Service, x.ServicePath = service, target.RequestURI()
	x.Idempotent = service.IsIdempotent(x.R.Method, clean)
	next()
}
