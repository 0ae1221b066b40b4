package caller

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/gorilla/mux"
)

// routeFilter determines the plain service that a call is for, and whether the
// call is idempotent.
type routeFilter struct{}

// Serve implements Filter.
func (f *routeFilter) Serve(x *Exchange, next func()) {
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
	// The path is normalized before it is matched and forwarded, so that no
	// spelling of a non-idempotent path is taken for an idempotent one.
	rest := strings.TrimPrefix(x.R.URL.Path, "/services/"+name)
	cleanPath := path.Clean("/" + rest)
	if strings.HasSuffix(rest, "/") && cleanPath != "/" {
		cleanPath += "/"
	}
	target := url.URL{Path: cleanPath, RawQuery: x.R.URL.RawQuery}
	x.Service, x.ServicePath = service, target.RequestURI()
	x.Idempotent = service.IsIdempotent(x.R.Method, cleanPath)
	next()
}
