package edge

import (
	"time"

	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/platform"
)

// keySettings returns how long the keys of a configuration are relied on.
func (n *Node) keySettings() ingress.KeySettings {
	k := ingress.KeySettings{ConfigAge: n.configAge, FreshAge: n.cfg.ConfigApplyBound}
	if n.cfg.StrictRevoke {
		k.MaxAge = n.cfg.RevokeBound
	}
	return k
}

// configAge returns the age of the view of the configuration.
func (n *Node) configAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.viewAge(platform.TableOperator)
}
