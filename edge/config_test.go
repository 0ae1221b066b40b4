package edge

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/timer"
)

func TestMain(m *testing.M) { os.Exit(citest.Run(m)) }

// Configurations arrive late, twice, out of order, malformed and from peers, with gaps
// between their versions: the newest received one is in force, and no older one
// replaces it. The same holds for versions of adapters.
func TestConfigAndVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode(platform.Settings{Instance: "edge-a", Store: "127.0.0.1:1"}, &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, timer.NewManual(time.Unix(0, 0)), timer.Boot)
		defer n.cancel()
		newest, adapter := uint64(0), 1
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			v := rapid.Uint64Range(1, 60).Draw(t, "version")
			switch rapid.SampledFrom([]string{"store", "peer", "unreadable", "wrong", "adapter"}).Draw(t, "move") {
			case "store":
				n.adoptConfig([]byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, v)), v, "store")
				newest = max(newest, v)
			case "peer":
				n.adoptConfig([]byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, v)), v, "edge-b")
				newest = max(newest, v)
			case "unreadable":
				n.adoptConfig([]byte(`{"version":`), v, "store")
			case "wrong":
				n.adoptConfig([]byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","type":"odd"}]}`, v)), v, "store")
			case "adapter":
				n.declareVersion("version/m.a1", []byte(fmt.Sprintf(`{"model":"m","adapter":"a1","version":%d}`, v)), v)
				adapter = max(adapter, int(v))
			}
			got := uint64(0)
			if table := n.Routes(); table != nil {
				got = table.Version
			}
			if got != newest {
				t.Fatalf("version %d in force, newest received is %d", got, newest)
			}
			if declared := n.fleet.Version(adapterOf("m/a1")); declared != adapter {
				t.Fatalf("adapter version %d, newest declared is %d", declared, adapter)
			}
		}
	})
}
