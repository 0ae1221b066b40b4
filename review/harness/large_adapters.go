package main

import (
	"fmt"
	"time"
)

// largeAdapterSpec is that of the round assistant, but for the size of an adapter: ten of
// them fit besides the model, though there are 18 places.
var largeAdapterSpec = engineSpec{model: "base", modelMB: 42700, weightsMB: 44800, adapterMB: 200, adapterSlots: 18, adapters: 3000, slots: 64, events: 14, gap: 25 * time.Millisecond}

const (
	popularAdapters = 8
	rareAdapters    = 60
	popularTime     = 6 * time.Second
	rareTime        = 8 * time.Second
)

func init() { cases["large-adapters"] = largeAdapters }

// largeAdapters: rare adapters are asked for at once. No engine may be ordered to load more
// weights than it holds.
func largeAdapters(rec *recorder, trouble bool) error {
	d, err := newDeployment(rec, 4)
	if err != nil {
		return err
	}
	defer d.close()
	var engines []*engine
	for i, zone := range zones {
		e, err := startEngine(rec, d.store, largeAdapterSpec, fmt.Sprintf("i-llm-%d", i+1), zone, fmt.Sprintf("127.0.2.%d", i+1))
		if err != nil {
			return err
		}
		defer e.close()
		engines = append(engines, e)
	}
	d.store.put("op", "config", assistantConfig(largeAdapterSpec, streamRoute{timeoutMS: 12000, targetMS: 1000, gapMS: 400, attempts: 1}))
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	c := newStreamClients(d, largeAdapterSpec)
	c.play("popular", popularTime, popularAdapters)
	if trouble {
		rec.printf("fault  rare adapters are asked for at once")
		c.play("rare", rareTime, rareAdapters)
	} else {
		c.play("popular-too", rareTime, popularAdapters)
	}
	c.wg.Wait()
	crashes := 0
	for _, e := range engines {
		e.mu.Lock()
		crashes += len(e.crashes)
		e.mu.Unlock()
	}
	rec.summary("%d engines crashed under an order; %s", crashes, c.outcome())
	if c.complete < c.n/4 {
		if crashes == 0 {
			return fmt.Errorf("hardly any stream was served")
		}
	}
	if crashes > 0 {
		return errBroken
	}
	return nil
}
