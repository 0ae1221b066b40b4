package edge

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/timer"
)

// A feed that the store held to the end of its wait, though there were rows, is
// told apart from one with nothing to tell.
func TestOverdueFeedIsReported(t *testing.T) {
	n := newNode(platform.Settings{Instance: "a", Zone: "z", Store: "127.0.0.1:1"}, &log.Logger{Handler: discard.New()}, timer.NewSystem(), timer.Boot)
	defer n.cancel()
	row := []chestnutstream.TableRow{{Key: "config", Version: 7}}
	steps := []struct {
		name string
		took time.Duration
		rows []chestnutstream.TableRow
		want uint64
	}{
		{"nothing new", operatorWait, nil, 0},
		{"news at once", 3 * time.Millisecond, row, 0},
		{"news at the end of the wait", operatorWait + 4*time.Millisecond, row, 1},
	}
	for _, s := range steps {
		n.feedTook(platform.TableOperator, 6, s.took, operatorWait, s.rows)
		counted := n.metrics.GetOrCreateCounter(`chestnutstream_feeds_overdue_total{table="op"}`).Get()
		assert.Equal(t, counted, s.want, s.name)
	}
}
