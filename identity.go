package chestnutstream

import (
	"fmt"
	"net"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Lengths of the parts of an identity in bytes, so that with its prefixes it fits into the
// key of a row.
const (
	maxIdentityName    = 100
	maxIdentityAddress = 80
)

// InstanceIdentity returns what an instance is known by to the others and in the platform's
// store: its name and the address that it listens on for the others. As only one process
// can listen there, a process with the identity of an earlier one knows that the earlier
// one has ended. The same name at another address is another instance.
//
// An address of all interfaces of a machine identifies none. There the identity is that of
// the process alone. Without an address, as in tests, it is the name.
func InstanceIdentity(name, address string, incarnation uint64) string {
	if address == "" {
		return name
	}
	if !identifiesMachine(address) {
		address = fmt.Sprintf("%s#%x", address, incarnation)
	}
	return shorten(name, maxIdentityName) + "@" + shorten(address, maxIdentityAddress)
}

// shorten replaces the end of a text of more than n bytes by a hash of the text.
func shorten(s string, n int) string {
	if len(s) <= n {
		return s
	}
	sum := fmt.Sprintf("~%016x", xxhash.Sum64String(s))
	return strings.ToValidUTF8(s[:n-len(sum)], "") + sum
}

// identifiesMachine reports whether an address can be listened on by one process only.
func identifiesMachine(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || port == "0" {
		return false
	}
	ip := net.ParseIP(host)
	return ip == nil || !ip.IsUnspecified()
}

// InstanceName returns the instance name in an identity. Instances of earlier releases are
// known by their names alone.
func InstanceName(identity string) string {
	if i := strings.LastIndexByte(identity, '@'); i >= 0 {
		return identity[:i]
	}
	return identity
}
