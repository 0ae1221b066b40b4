package caller

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/peer"
)

// Credential returns the bearer token of a caller: its name and the name's
// signature under the callers' secret.
func Credential(secret, name string) string {
	return name + ":" + peer.Sign(secret, "caller", name)
}

// authenticate finds out who calls.
type authenticate struct{ secret string }

// Serve implements Filter.
func (f *authenticate) Serve(x *Exchange, next func()) {
	name, err := f.caller(x.R)
	if err != nil {
		x.W.Header().Set("WWW-Authenticate", "Bearer")
		x.refuse(http.StatusUnauthorized, &RefusedError{Code: "not-authenticated", Reason: err.Error()})
		return
	}
	x.Caller = name
	next()
}

// anonymous is the name of all callers of an instance without a callers' secret.
const anonymous = "anonymous"

func (f *authenticate) caller(r *http.Request) (string, error) {
	if f.secret == "" {
		return anonymous, nil
	}
	name, sum, ok := strings.Cut(bearer(r), ":")
	if !ok || !chestnutstream.ValidName(name) || !peer.Verify(f.secret, sum, "caller", name) {
		return "", fmt.Errorf("want an Authorization header with the credential of a caller: Bearer NAME:SIGNATURE")
	}
	return name, nil
}
