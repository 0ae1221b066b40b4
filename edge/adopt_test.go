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

// Configurations come late, twice, out of order, unreadable and from peers, with
// gaps between their versions: the one in force is the newest that was heard, and
// never an older one. The same holds for versions of adapters.
func TestAdoptionNeverFallsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNode(platform.Settings{Instance: "edge-a", Store: "127.0.0.1:1"}, &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, timer.NewManual(time.Unix(0, 0)), timer.Boot)
		defer n.cancel()
		newest, adapter := uint64(0), 1
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			v := rapid.Uint64Range(1, 60).Draw(t, "version")
			switch rapid.SampledFrom([]string{"store", "peer", "unreadable", "wrong", "adapter"}).Draw(t, "move") {
			case "store":
				n.adopt([]byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, v)), v, "store")
				newest = max(newest, v)
			case "peer":
				n.adopt([]byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, v)), v, "edge-b")
				newest = max(newest, v)
			case "unreadable":
				n.adopt([]byte(`{"version":`), v, "store")
			case "wrong":
				n.adopt([]byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","type":"odd"}]}`, v)), v, "store")
			case "adapter":
				n.declare("version/m.a1", []byte(fmt.Sprintf(`{"model":"m","adapter":"a1","version":%d}`, v)), v)
				adapter = max(adapter, int(v))
			}
			got := uint64(0)
			if table := n.Routes(); table != nil {
				got = table.Version
			}
			if got != newest {
				t.Fatalf("version %d in force, newest heard is %d", got, newest)
			}
			if have := n.fleet.Version(adapterOf("m/a1")); have != adapter {
				t.Fatalf("adapter version %d, newest declared is %d", have, adapter)
			}
		}
	})
}
