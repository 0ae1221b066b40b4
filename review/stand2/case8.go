package main

import (
	"fmt"
	"time"
)

// streamThatEndsInsideItsFirstEvent sends twenty streams one after the other. The tenth answer of a
// server ends inside its first event, in order: with the last chunk. A client must not get a stream
// that ends as complete before its last event.
func streamThatEndsInsideItsFirstEvent(rec *record, edge string, trouble bool) (broken bool, err error) {
	const streams = 20
	d, err := newDeployment(rec, edge)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.put("op", "config", streamConfig())
	for i := range 4 {
		flags := []string{fmt.Sprintf("-events=%d", streamEvents), "-gap=30ms"}
		if trouble {
			flags = append(flags, "-break-off=10")
		}
		if err := d.startServer(fmt.Sprintf("i-%d", i), "assistant", zones[i%2], "m0", flags...); err != nil {
			return false, err
		}
	}
	instances, err := d.startInstances()
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	for i := range streams {
		complete, err := sendStream(rec, instances[i%2], fmt.Sprintf("c0ffee%02d", i))
		if err != nil {
			return false, err
		}
		broken = broken || !complete
	}
	return broken, nil
}
