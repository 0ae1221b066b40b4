package caller

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/peer"
)

// Credential returns a caller's bearer token, NAME:SIGNATURE. The name is signed
// with the callers' secret.
func Credential(secret, name string) string {
	return name + ":" + peer.Sign(secret, "caller", name)
}

// authenticateFilter verifies the caller's credential and sets Exchange.Caller.
type authenticateFilter struct{ secret string }

// Serve implements Filter.
func (f *authenticateFilter) Serve(x *Exchange, next func()) {
	name, err := f.callerName(x.R)
	if err != nil {
		x.W.Header().Set("WWW-Authenticate", "Bearer")
		x.refuse(http.StatusUnauthorized, &RefusedError{Code: "not-authenticated", Reason: err.Error()})
		return
	}
	x.Caller = name
	next()
}

// anonymousCaller is the caller name used when no callers' secret is configured.
const anonymousCaller = "anonymous"

func (f *authenticateFilter) callerName(r *http.Request) (string, error) {
	if f.secret == "" {
		return anonymousCaller, nil
	}
	name, signature, ok := strings.Cut(bearerToken(r), ":")
	if !ok || !chestnutstream.ValidName(name) || !peer.Verify(f.secret, signature, "caller", name) {
		return "", fmt.Errorf("want an Authorization header with the credential of a caller: Bearer NAME:SIGNATURE")
	}
	return name, nil
}
