package entry

import (
	"fmt"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/peer"
)

// Policy selects the decision policies of an instance.
type Policy string

// The policies.
const (
	PolicyDefault Policy = "default"
	PolicyNaive   Policy = "naive"
)

// Settings are the settings of an entry instance.
type Settings struct {
	Name           string
	Region         string
	Zone           string
	CallerAddress  string // where callers and operators connect, "host:port"
	PeerAddress    string // where peers connect, "host:port"
	Platform       string // address of the platform, "host:port"
	Peers          string // comma-separated seed addresses; the platform's list adds more peers
	PeerSecret     string
	OperatorSecret string
	CallerSecret   string // if empty, callers are not authenticated
	Policy         Policy
	DrainTimeout   time.Duration
	MemoryMB       int // memory that the process may use; 0: not stated
	MaxDescriptors int // file descriptors that the process may open; 0: its limit
	Timer          chestnutstream.Timer
	Log            log.Interface
	Dial           chestnutstream.DialFunc // may be nil; then the network is dialed directly

	PeerInterval        time.Duration
	PeerIntervalPerPeer time.Duration
	Scheduler           engine.SchedulerSettings
	Placement           engine.PlacementSettings
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Region: "region", CallerAddress: "127.0.0.1:8080", PeerAddress: "127.0.0.1:8081",
		Policy: PolicyDefault, DrainTimeout: 10 * time.Minute,
		PeerInterval: peer.DefaultInterval, PeerIntervalPerPeer: peer.DefaultIntervalPerPeer,
		Scheduler: engine.DefaultSchedulerSettings(), Placement: engine.DefaultPlacementSettings(),
	}
}

// Check returns an error that names the first invalid setting and the expected
// value.
func (s Settings) Check() error {
	names := []struct{ flag, value string }{
		{"name", s.Name}, {"region", s.Region}, {"availability-zone", s.Zone},
	}
	for _, n := range names {
		if !chestnutstream.ValidName(n.value) {
			return fmt.Errorf("-%s %q: want a name of letters, digits, '-', '_' or '.'", n.flag, n.value)
		}
	}
	addresses := []struct{ flag, value string }{
		{"caller-address", s.CallerAddress}, {"peer-address", s.PeerAddress}, {"platform", s.Platform},
	}
	for _, a := range addresses {
		if _, port, err := net.SplitHostPort(a.value); err != nil || port == "" {
			return fmt.Errorf("-%s %q: want HOST:PORT", a.flag, a.value)
		}
	}
	secrets := []struct{ flag, value string }{
		{"peer-secret", s.PeerSecret}, {"operator-secret", s.OperatorSecret},
	}
	for _, x := range secrets {
		if len(x.value) < minSecretBytes {
			return fmt.Errorf("-%s: want at least %d characters", x.flag, minSecretBytes)
		}
	}
	if s.Policy != PolicyDefault && s.Policy != PolicyNaive {
		return fmt.Errorf("-policy %q: want %s or %s", s.Policy, PolicyDefault, PolicyNaive)
	}
	if s.DrainTimeout <= 0 {
		return fmt.Errorf("-drain-timeout %v: want more than 0", s.DrainTimeout)
	}
	if s.MemoryMB < 0 {
		return fmt.Errorf("-memory-mb %d: want 0 or more", s.MemoryMB)
	}
	if s.MaxDescriptors < 0 {
		return fmt.Errorf("-max-descriptors %d: want 0 or more", s.MaxDescriptors)
	}
	return nil
}

// minSecretBytes is the minimum length of a secret.
const minSecretBytes = 16
