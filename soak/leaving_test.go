package soak

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Removals long after an outage, as an instance's reader stops, were taken for entries that had expired in the outage.
func TestRemovedServersGetNoRequestsLongAfterAnOutage(t *testing.T) {
	d, r := startFaultFreeRun(t, buildProgram(t), "edge")
	time.Sleep(warmUpDuration)
	stop := r.startClients(1)
	r.beginFault()
	r.faultyStore.setFaults(0, 0, 0, true)
	time.Sleep(3 * time.Second)
	r.faultyStore.setFaults(0, 0, 0, false)
	time.Sleep(recoveryBound)
	for _, inst := range r.instances { // one of them reads the list of servers for the others
		old := r.replacePlainServer()
		assert.Assert(t, old != nil)
		stopped := make(chan error, 1)
		go func() { stopped <- r.restart(inst, syscall.SIGTERM) }()
		old.Current().Leave()
		time.Sleep(drainBound + time.Second)
		late := old.Current().Counts().LatestArrivalAfterDrain
		assert.Check(t, late <= drainBound, "a request reached %s %v after its removal, as %s stopped", old.id, late, inst.name)
		r.removePlainServer(old)
		assert.NilError(t, <-stopped)
	}
	r.endFault()
	stop()
	d.close()
}
