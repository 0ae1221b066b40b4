package soak

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against versions that are compared over a return of the store from a copy. Random
// runs are rarely free of other faults for long enough to check this.
func TestStoreThatReturnsFromCopyBreaksNoGuarantee(t *testing.T) {
	d, r := startFaultFreeRun(t, buildProgram(t), "edge")
	time.Sleep(warmUpDuration)
	stop := r.startClients(1)
	for i, seed := range []uint64{10, 1} { // an engine joins before it and a server leaves after it; a server leaves before it
		r.returnFromCopy(context.Background(), d.backends[i], seed)
	}
	r.checkRecovery()
	stop()
	r.checkServerCounts()
	d.close()
	assert.Assert(t, len(r.violations) == 0, strings.Join(r.violations, "\n"))
}
