package main

import (
	"fmt"
	"time"
)

var earlyEndSpec = engineSpec{model: "base", modelMB: 42700, weightsMB: 44800, adapterMB: 66, adapterSlots: 18, adapters: 3000, slots: 64, events: 14, gap: 25 * time.Millisecond}

const (
	greyTime    = 4 * time.Second
	greyWindows = 12
	failShare   = 0.45
	breakShare  = 0.05
)

func init() { cases["early-end"] = earlyEnd }

// earlyEnd: servers fail part of their requests, and some answers have no length and end in
// the middle of an event. No stream may end as complete before its last event.
func earlyEnd(rec *recorder, trouble bool) error {
	d, err := newDeployment(rec, 4)
	if err != nil {
		return err
	}
	defer d.close()
	var engines []*engine
	for i, zone := range zones {
		e, err := startEngine(rec, d.store, earlyEndSpec, fmt.Sprintf("i-llm-%d", i+1), zone, fmt.Sprintf("127.0.2.%d", i+1))
		if err != nil {
			return err
		}
		defer e.close()
		engines = append(engines, e)
	}
	d.store.put("op", "config", assistantConfig(earlyEndSpec, streamRoute{timeoutMS: 12000, targetMS: 1000, gapMS: 400, attempts: 2, resumable: true}))
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	c := newStreamClients(d, earlyEndSpec)
	c.interval = 10 * time.Millisecond
	c.play("calm", 4*time.Second, 24)
	for i := range greyWindows {
		if trouble {
			for j, e := range engines {
				f := engineFaults{failShare: failShare}
				if j == 1 || j == 3 {
					f.breakShare = breakShare
				}
				e.setFaults(f)
			}
		}
		c.play(fmt.Sprintf("grey%d", i), greyTime, 24)
		for _, e := range engines {
			e.setFaults(engineFaults{})
		}
		c.play(fmt.Sprintf("pause%d", i), time.Second, 24)
	}
	c.wg.Wait()
	for _, s := range c.endedEarly {
		rec.summary("ORDER: ended as complete before its last event: %s", s)
	}
	rec.summary("%d streams ended early as complete; %s", len(c.endedEarly), c.outcome())
	if len(c.endedEarly) > 0 {
		return errBroken
	}
	return nil
}
