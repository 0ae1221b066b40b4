package ingress

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream/platform"
)

// Fingerprint is what a request may have in common with others that crash servers.
type Fingerprint struct {
	Hash    string   // of what the caller sent; a request that comes again has the same
	PartIDs []string // of the prompt
}

func (x *exchange) fingerprint() Fingerprint {
	return Fingerprint{Hash: x.hash, PartIDs: x.header.PartIDs}
}

// requestHash returns a hash of what the caller sent, without what differs where the same
// request comes again: its ID and its deadline.
func (x *exchange) requestHash() string {
	h := xxhash.New()
	header := x.r.Header
	for _, s := range []string{x.r.Method, x.r.Host, x.r.RequestURI, header.Get("Authorization"), header.Get(platform.HeaderModel), header.Get(platform.HeaderPromptParts)} {
		_, _ = h.WriteString(s + "\x00")
	}
	_, _ = h.Write(x.body)
	return strconv.FormatUint(h.Sum64(), 16)
}
